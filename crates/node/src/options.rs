//! Options of a node, with the baseline policy that replaces its load balancing in comparisons.

use std::net::SocketAddr;

use bbv_core::id::Vm;
use rand::rngs::SmallRng;

/// Picks a VM for an attempt from the service, the VMs already tried and the VMs in the fleet
/// list; a policy to compare the node's own against.
pub type BaselinePolicy =
    Box<dyn Fn(&str, &[Vm], &[Vm], &mut SmallRng) -> Option<Vm> + Send + Sync>;

/// Options that a node is created with.
pub struct Options {
    /// VM that the node runs on.
    pub vm: Vm,
    /// Availability zone of the VM.
    pub zone: String,
    /// Service of the upstream beside the node.
    pub service: String,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Maximum number of outstanding tickets that have not expired.
    pub tickets: usize,
    /// Peers to pull the configuration from before the fleet list is known.
    pub peers: Vec<SocketAddr>,
    /// Wall-clock time at the start in milliseconds, used only to report delays.
    pub wall_ms: Option<u64>,
    /// Policy that replaces the node's own load balancing and admission control.
    pub baseline: Option<BaselinePolicy>,
}
