//! Proves that the store has no newer routing than this node, for keys that may have been taken away.
//!
//! A node that reads the store has proofs of its own. The others ask one that does, and count from the
//! moment of the question, so that a late answer never makes knowledge look newer than it is.

use std::collections::VecDeque;
use std::net::IpAddr;
use std::sync::Arc;

use bbv_core::freshness::Freshness;
use bbv_core::units::{MS, Micros, Revision, SEC};
use rand::Rng;
use rand::seq::IteratorRandom;
use tokio::net::UdpSocket;

use crate::datagram::Datagram;
use crate::event::{self, Event};
use crate::message::Known;
use crate::node::Node;
use crate::notice::vm_of;
use crate::quota::GRANT_TIME;
use crate::settings::Settings;

/// Interval of questions.
const ASK_INTERVAL: Micros = 500 * MS;
/// Interval of questions while keys are not accepted, or no routing is known yet.
const URGENT_INTERVAL: Micros = 50 * MS;
/// Age from which nodes of other zones and regions are asked too.
const FAR_AGE: Micros = 2_500 * MS;
/// Number of questions whose answers are awaited.
const MAX_OPEN: usize = 16;
/// Difference of clocks between the store, which acknowledges a routing, and this node, over the time in
/// which keys that were taken away have to be refused.
const CLOCK_MARGIN: Micros = 250 * MS;

/// Number of watches, one after the other, in the time in which keys that were taken away have to be
/// refused.
const KEY_WATCHES: Micros = 5;
/// Number of watches in the time for which a proof lets a node grant quotas.
const GRANT_WATCHES: Micros = 4;

/// Question to another node.
struct OpenQuestion {
    id: u32,
    to: IpAddr,
    asked_at: Micros,
}

/// What is proven of the routing known, by the clock that also runs while the VM is suspended.
#[derive(Default)]
pub(crate) struct Proof {
    freshness: Freshness,
    open: VecDeque<OpenQuestion>,
    /// Whether keys were accepted when that was last checked.
    accepts: bool,
}

impl Proof {
    /// Records that the store had no newer routing than this node at `proven_at`.
    pub fn confirm(&mut self, proven_at: Micros) {
        self.freshness.confirm(proven_at, Some(0));
    }

    /// Returns the time since the store is proven to have had no newer routing.
    pub fn age(&self, since_boot: Micros) -> Option<Micros> {
        self.freshness.age(since_boot)
    }

    /// Returns whether that is longer ago than `limit`, or not proven at all.
    pub fn is_older(&self, since_boot: Micros, limit: Micros) -> bool {
        self.freshness.is_older(since_boot, limit)
    }

    /// Returns the time of question `id` to `from`, which ends it.
    fn close(&mut self, id: u32, from: IpAddr) -> Option<Micros> {
        let index = self.open.iter().position(|open| open.id == id && open.to == from)?;
        self.open.remove(index).map(|open| open.asked_at)
    }
}

impl Settings {
    /// Returns the age of proofs from which keys are refused, if there is a limit.
    pub(crate) fn proof_limit(&self) -> Option<Micros> {
        self.revocation.map(|limit| limit.saturating_sub(CLOCK_MARGIN))
    }
}

impl Node {
    /// Returns whether requests need keys.
    pub(crate) fn needs_keys(&self) -> bool {
        let state = self.lock();
        state.view.routing.as_ref().is_some_and(|routing| !routing.organisations.is_empty())
    }

    /// Returns whether this node cannot accept keys yet, as it has just started.
    pub(crate) fn awaits_proof(&self) -> bool {
        self.needs_keys()
            && self.settings.revocation.is_some()
            && self.lock().proof.age(self.timer.since_boot()).is_none()
    }

    /// Returns the longest time for which a watch of the routing waits, if organisations limit it: the proofs of
    /// calls in a row have to be recent.
    pub(crate) fn watch_limit(&self) -> Option<Micros> {
        let keys = self.settings.revocation.unwrap_or(Micros::MAX) / KEY_WATCHES;
        self.needs_keys().then_some(keys.min(GRANT_TIME / GRANT_WATCHES))
    }

    /// Keeps this node's knowledge proven for the lifetime of the process.
    pub(crate) async fn ask_proofs(self: Arc<Self>, socket: Arc<UdpSocket>) {
        loop {
            let has_routing = self.lock().view.routing.is_some();
            let urgent = !has_routing || self.needs_keys() && !self.renew_proof(&socket);
            self.timer.sleep(if urgent { URGENT_INTERVAL } else { ASK_INTERVAL }).await;
        }
    }

    /// Asks other nodes if this one has no recent proof of its own; returns whether keys are accepted.
    fn renew_proof(&self, socket: &UdpSocket) -> bool {
        let age = self.lock().proof.age(self.timer.since_boot());
        let accepts = self.note_acceptance(age);
        for to in self.proof_sources(age) {
            self.ask_proof(socket, to);
        }
        let now = self.now();
        self.lock().quotas.forget_old(now);
        accepts
    }

    /// Logs whether keys are accepted, if that has changed; returns it.
    fn note_acceptance(&self, age: Option<Micros>) -> bool {
        let limit = self.settings.proof_limit().unwrap_or(Micros::MAX);
        let accepts = age.is_some_and(|age| age <= limit);
        if std::mem::replace(&mut self.lock().proof.accepts, accepts) != accepts {
            let age = age.map_or(-1, |age| (age / MS) as i64);
            event::info(Event::KeysAccepted, &[("accepted", &accepts), ("proof_age_ms", &age)]);
        }
        accepts
    }

    /// Returns the nodes to ask: a reader of this zone if one is known, or else any node of this region;
    /// with others of this and other regions if the latest proof is old.
    fn proof_sources(&self, age: Option<Micros>) -> Vec<IpAddr> {
        if self.reads_store() && age.is_some_and(|age| age < FAR_AGE) {
            return Vec::new();
        }
        let mut sources: Vec<IpAddr> = self.heard_reader().into_iter().collect();
        let old = age.is_none_or(|age| age >= FAR_AGE);
        if sources.is_empty() || old {
            sources.extend(self.random_peer());
        }
        if old {
            // The store may be out of reach for the whole region.
            sources.extend(self.random_remote_peer());
        }
        sources
    }

    fn heard_reader(&self) -> Option<IpAddr> {
        let mut state = self.lock();
        let state = &mut *state;
        let readers: Vec<u64> = state.readers.heard().collect();
        let vms = state.index.vms().map(|(ip, _)| ip);
        vms.filter(|ip| readers.contains(&u64::from(vm_of(*ip).0))).choose(&mut state.rng)
    }

    fn ask_proof(&self, socket: &UdpSocket, to: IpAddr) {
        let asked_at = self.timer.since_boot();
        let id = {
            let mut state = self.lock();
            let id = state.rng.random();
            state.proof.open.push_back(OpenQuestion { id, to, asked_at });
            if state.proof.open.len() > MAX_OPEN {
                state.proof.open.pop_front();
            }
            id
        };
        self.send_datagram(socket, to, &Datagram::AskProof { id });
    }

    /// Returns the answer to question `id` of another node.
    pub(crate) fn answer_proof(&self, id: u32) -> Datagram {
        let since_boot = self.timer.since_boot();
        let state = self.lock();
        Datagram::Proof { id, control: state.view.control, age: state.proof.age(since_boot) }
    }

    /// Applies the answer of the node at `from`.
    pub(crate) fn apply_proof(
        self: &Arc<Self>,
        from: IpAddr,
        id: u32,
        control: Revision,
        age: Option<Micros>,
    ) {
        {
            let mut state = self.lock();
            let Some(asked_at) = state.proof.close(id, from) else { return };
            if control <= state.view.control && state.control.confirmed {
                if let Some(age) = age {
                    state.proof.confirm(asked_at.saturating_sub(age));
                }
                return;
            }
        }
        self.learn_known(from, Known { control, ..Known::default() });
    }

    /// Updates the gauge of the age of proofs.
    pub(crate) fn update_proof_gauge(&self) {
        let age = self.lock().proof.age(self.timer.since_boot());
        let seconds = age.map_or(f64::INFINITY, |age| age as f64 / SEC as f64);
        self.metrics.proof_age.set(seconds);
    }
}
