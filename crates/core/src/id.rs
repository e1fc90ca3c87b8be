//! Identifiers of VMs, node processes and attempts in bbv-node.
//!
//! They distinguish a restarted process from its predecessor, which matters whenever nodes
//! restart, under any load.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Number of a VM in the platform's list of VMs.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Vm(pub u32);

impl fmt::Display for Vm {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "vm-{}", self.0)
    }
}

/// One run of the node process on a VM.
///
/// A process that restarts at the same address has a different incarnation.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct NodeId {
    /// VM on which the process runs.
    pub vm: Vm,
    /// Random number generated when the process starts.
    pub incarnation: u64,
}

impl fmt::Display for NodeId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:x}", self.vm, self.incarnation)
    }
}

/// Identifier of one attempt: the ingress that sends it and a serial number.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct AttemptId {
    /// Node that sends the attempt.
    pub node: NodeId,
    /// Serial number, unique within one incarnation of the node.
    pub serial: u64,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.node, self.serial)
    }
}
