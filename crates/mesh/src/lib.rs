//! A transparent HTTP load balancer: one node beside each upstream.
//!
//! The node that a caller sends a request to is its *ingress*; the node beside the
//! upstream that runs it is its *gate*, the only way to that upstream. The decisions are
//! those of `bbv-core`; this crate moves bytes and keeps time.

mod answer;
pub mod event;
mod follow;
mod gate;
mod ingress;
pub mod logs;
mod message;
mod metrics;
mod node;
mod notice;
mod peer;
mod pool;
mod probe;
mod send;
mod server;
pub mod settings;
mod state;

pub use node::Node;
pub use server::{RunningNode, start};
