//! A node of a trial with its upstream.

use std::net::SocketAddr;
use std::sync::Arc;

use bbv_core::id::Vm;
use bbv_core::units::Micros;
use bbv_node::Node;
use tokio::task::JoinHandle;

use crate::model::Model;

/// One node with its upstream.
#[derive(Clone)]
pub struct Member {
    /// VM.
    pub vm: Vm,
    /// Address of the node.
    pub addr: SocketAddr,
    /// Zone of the VM.
    pub zone: String,
    /// Service of the upstream.
    pub service: String,
    /// Node.
    pub node: Arc<Node>,
    /// Upstream.
    pub model: Arc<Model>,
    /// Time at which the node started.
    pub started: Micros,
    /// Tasks of the node, which end with its process.
    pub tasks: Arc<Vec<JoinHandle<()>>>,
}
