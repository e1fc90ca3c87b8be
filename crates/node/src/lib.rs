//! The node that runs beside each upstream: ingress for callers and gate of its upstream.
//!
//! [`Node`] runs the decisions of `bbv-core` over [`Ports`], which are closures. The
//! `bbv-node` program puts HTTP and QUIC behind them; tests put fakes behind them and
//! run the same node in virtual time.

mod admission;
pub mod audit;
mod config;
pub mod front;
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
mod stop;
mod tasks;
pub use bbv_timer as timer;
pub mod upstream;

pub use node::Node;
pub use options::{Options, Pick};
pub use status::Status;
