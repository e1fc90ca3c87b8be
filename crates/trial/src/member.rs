//! A node of a simulated trial together with its upstream.

use std::net::SocketAddr;
use std::sync::Arc;

use bbv_core::id::Vm;
use bbv_core::units::Micros;
use bbv_node::Node;
use tokio::task::JoinHandle;

use crate::model::UpstreamModel;

/// A node and its simulated upstream, which share a VM.
#[derive(Clone)]
pub struct SimulatedMember {
    /// VM that both run on.
    pub vm: Vm,
    /// Address of the node.
    pub addr: SocketAddr,
    /// Zone of the VM.
    pub zone: String,
    /// Service of the upstream.
    pub service: String,
    /// Node under test.
    pub node: Arc<Node>,
    /// Simulated upstream.
    pub model: Arc<UpstreamModel>,
    /// Time at which the node started.
    pub started: Micros,
    /// Tasks of the node, aborted when its process exits.
    pub tasks: Arc<Vec<JoinHandle<()>>>,
}
