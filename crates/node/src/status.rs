//! Status page of a node.

use std::collections::BTreeMap;

use bbv_core::load::Load;
use bbv_core::units::{Micros, Revision};
use serde::{Deserialize, Serialize};

use crate::node::Node;

/// What a node tells operators about itself.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Status {
    /// Identity of the process.
    pub node: String,
    /// Availability zone.
    pub zone: String,
    /// Service of its upstream.
    pub service: String,
    /// State of the node.
    pub state: String,
    /// State of the upstream.
    pub upstream: String,
    /// Reason for which the gate refuses new work, if it does.
    pub closed: Option<String>,
    /// Revision up to which every change is known.
    pub revision: Revision,
    /// Revision of each document in force.
    pub in_force: BTreeMap<String, Revision>,
    /// Share of listed peers that cannot be reached, from 0 to 1.
    pub unreachable: f64,
    /// Whether more than half of the listed peers cannot be reached.
    pub isolated: bool,
    /// Load of the upstream.
    pub load: Load,
    /// Operation records kept.
    pub operations: usize,
    /// Time since the start.
    pub up: Micros,
}

impl Node {
    /// Returns the status at this moment.
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
