//! Status page of a node, for operators.

use std::collections::BTreeMap;

use bbv_core::load::Load;
use bbv_core::units::{Micros, Revision};
use serde::{Deserialize, Serialize};

use crate::node::Node;

/// Status of a node.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Status {
    /// Id of the process.
    pub node: String,
    /// Availability zone.
    pub zone: String,
    /// Service of the upstream.
    pub service: String,
    /// State of the node.
    pub state: String,
    /// State of the upstream.
    pub upstream: String,
    /// Reason why the gate refuses new work, if it is closed.
    pub closed: Option<String>,
    /// Revision up to which the node has every change.
    pub revision: Revision,
    /// Revision of each document in force.
    pub in_force: BTreeMap<String, Revision>,
    /// Share of the listed peers that are unreachable, from 0 to 1.
    pub unreachable: f64,
    /// Whether more than half of the listed peers are unreachable.
    pub isolated: bool,
    /// Load of the upstream.
    pub load: Load,
    /// Number of operation records that the node keeps.
    pub operations: usize,
    /// Time since the process started.
    pub up: Micros,
}

impl Node {
    /// Returns the current status.
    pub fn status(&self) -> Status {
        let now = self.now();
        let state = self.lock();
        let docs = state.documents.docs().iter();
        let unreachable = state.fleet.unreachable_share(now);
        Status {
            node: state.me.to_string(),
            zone: state.zone.clone(),
            service: state.service.clone(),
            state: state.node_state_name().to_owned(),
            upstream: state.upstream_chart.name(state.upstream_state).to_owned(),
            closed: state.closed_reason().map(|refusal| refusal.to_string()),
            revision: state.documents.through(),
            in_force: docs.map(|(key, change)| (key.clone(), change.revision)).collect(),
            unreachable,
            isolated: unreachable > 0.5,
            load: state.gate.load(now),
            operations: state.ticket_owners.values().map(|owner| owner.len()).sum(),
            up: now,
        }
    }
}
