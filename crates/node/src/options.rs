//! What a node is told when it starts.

use std::net::SocketAddr;

use bbv_core::id::Vm;
use rand::rngs::SmallRng;

/// Choice of a target by a baseline: service, VMs already tried, VMs in the list.
pub type Pick = Box<dyn Fn(&str, &[Vm], &[Vm], &mut SmallRng) -> Option<Vm> + Send + Sync>;

/// What a node is told when it starts.
pub struct Options {
    /// VM that it runs on.
    pub vm: Vm,
    /// Availability zone of the VM.
    pub zone: String,
    /// Service of the upstream beside it.
    pub service: String,
    /// Seed of its random numbers.
    pub seed: u64,
    /// Unexpired tickets that it may have outstanding.
    pub tickets: usize,
    /// Peers asked for the configuration before the list is known.
    pub peers: Vec<SocketAddr>,
    /// Wall clock in milliseconds at the start, only used to state delays.
    pub wall_ms: Option<u64>,
    /// Baseline in place of the node's own steering and admission.
    pub baseline: Option<Pick>,
}
