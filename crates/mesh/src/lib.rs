//! A transparent HTTP load balancer: one node beside each upstream.
//!
//! The node that receives a request from a caller is its *ingress*; the node beside the
//! upstream that runs the request is its *gate*, through which all requests to that upstream
//! pass. `bbv-core` makes the decisions; this crate does the I/O and supplies the time.

mod activity;
mod ahead;
mod allowance;
mod attempt;
mod body;
mod completion;
mod content;
mod credential;
mod datagram;
pub mod event;
mod exchange;
mod field_room;
mod follow;
mod gate;
mod head_limits;
mod homes;
mod ingress;
mod knowledge;
pub mod logs;
mod message;
mod metrics;
mod node;
mod notice;
mod open_run;
mod pool;
mod probe;
mod progress;
mod proof;
mod quota;
mod regions;
mod replay;
mod resident;
mod response;
mod send;
mod send_result;
mod server;
pub mod settings;
mod shed;
mod state;
mod tapped;
mod verdict;
mod withheld;

pub use node::Node;
pub use server::{RunningNode, start};
