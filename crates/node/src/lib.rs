//! A node that runs beside each upstream: ingress for callers and gate of its upstream.
//!
//! [`Node`] connects the state machines of `bbv-core` to [`ports::Ports`], which are closures. The
//! `bbv-node` program implements them with HTTP and QUIC; simulations implement them in memory
//! and run the same node in virtual time.

mod admission;
pub mod audit;
pub mod caller_api;
mod config;
mod http_client;
mod ingress;
pub mod metrics;
mod node;
mod operate;
mod options;
pub mod outcome;
pub mod platform;
pub mod ports;
pub mod quic;
pub mod server;
pub mod settings;
mod state;
mod status;
pub mod stop;
mod tasks;
pub use bbv_timer as timer;
pub mod upstream;

pub use node::Node;
pub use options::{BaselinePolicy, Options};
pub use status::Status;
