//! Configuration: reading the platform, and the exchange of changes with peers.

use std::sync::Arc;

use bbv_core::catalogue::check_document;
use bbv_core::documents::{CatchUp, ChangeOutcome, DocumentChange, is_reader};
use bbv_core::id::Vm;
use bbv_core::units::{MS, Micros, Revision, SEC};
use bbv_wire::{PeerRequest, Reply};
use rand::Rng;
use rand::seq::IndexedRandom;

use crate::audit::Event;
use crate::node::Node;
use crate::ports::Published;

const EXCHANGE_EVERY: Micros = 500 * MS;
const FANOUT: usize = 3;
const PARTNERS: usize = 4;
const PULL_WITHIN: Micros = SEC;
const READERS: usize = 2;
const WATCH: Micros = 10 * SEC;
const BACKOFF_MIN: Micros = 200 * MS;
const BACKOFF_MAX: Micros = 10 * SEC;
const SEED_WAIT: Micros = SEC;
const IDLE_READER: Micros = SEC;

impl Node {
    /// Takes changes that a peer or the platform passed on, and passes new ones on.
    pub(crate) fn take_changes(self: &Arc<Self>, changes: &[DocumentChange]) {
        let taken = self.lock().documents.apply(changes, check_document);
        self.apply(taken);
    }

    fn take_snapshot(self: &Arc<Self>, through: Revision, docs: &[DocumentChange]) {
        let taken = self.lock().documents.apply_snapshot(through, docs, check_document);
        self.apply(taken);
    }

    pub(crate) fn take_published(self: &Arc<Self>, published: &Published) {
        if published.snapshot {
            self.take_snapshot(published.through, &published.changes);
        } else {
            self.take_changes(&published.changes);
            self.take_snapshot(published.through, &[]);
        }
    }

    fn take_since(self: &Arc<Self>, since: CatchUp) {
        match since {
            CatchUp::Changes(changes) => self.take_changes(&changes),
            CatchUp::Snapshot(through, docs) => self.take_snapshot(through, &docs),
        }
    }

    fn apply(self: &Arc<Self>, taken: Vec<ChangeOutcome>) {
        if taken.is_empty() {
            return;
        }
        let now = self.now();
        let mut push = Vec::new();
        {
            let mut state = self.lock();
            let clock_ms = state.wall_ms(now);
            for one in taken {
                let (change, event, cause) = match one {
                    ChangeOutcome::InForce(change) => {
                        (change, Event::InForce, "accepted".to_owned())
                    }
                    ChangeOutcome::Refused(change, reason) => (change, Event::Refused, reason),
                };
                if event == Event::InForce {
                    state.apply_document(now, &change);
                } else {
                    self.metrics.refused_docs.inc();
                }
                let delay = clock_ms.map(|ms| ms.saturating_sub(change.published_ms));
                let delay = delay.filter(|_| change.published_ms > 0);
                let (key, revision) = (change.key.clone(), change.revision);
                state.audit.write_revision(now, event, &key, &cause, revision, delay);
                push.push(change);
            }
            state.update_gate(now);
            state.refresh_candidates(now);
            self.metrics.revision.set(state.documents.through().cast_signed());
        }
        self.push(push);
    }

    /// Passes new changes on to a few peers at random.
    fn push(self: &Arc<Self>, changes: Vec<DocumentChange>) {
        if changes.len() > PUSH_MAX {
            return;
        }
        for vm in self.peers(FANOUT) {
            let node = Arc::clone(self);
            let changes = changes.clone();
            tokio::spawn(async move {
                let _ = node.ask(vm, PeerRequest::Push(changes)).await;
            });
        }
    }

    /// Returns up to `count` partners in random order.
    ///
    /// Partners stay the same while they can be reached, since a new connection costs far
    /// more than a message.
    fn peers(&self, count: usize) -> Vec<Vm> {
        let now = self.now();
        let mut state = self.lock();
        let state = &mut *state;
        let fleet = &state.fleet;
        state.sync_peers.retain(|vm| fleet.member(*vm).is_some() && fleet.reachable(now, *vm));
        if state.sync_peers.len() < PARTNERS {
            for vm in fleet.sample(now, state.me.vm, PARTNERS, &mut state.rng) {
                if state.sync_peers.len() < PARTNERS && !state.sync_peers.contains(&vm) {
                    state.sync_peers.push(vm);
                }
            }
        }
        state.sync_peers.choose_multiple(&mut state.rng, count).copied().collect()
    }

    /// Returns the partner whose turn it is.
    fn next_partner(&self) -> Option<Vm> {
        self.peers(0);
        let mut state = self.lock();
        if state.sync_peers.is_empty() {
            return None;
        }
        state.sync_peers.rotate_left(1);
        state.sync_peers.last().copied()
    }

    /// Asks the node on `vm` for the changes that this node lacks.
    pub(crate) async fn pull(self: &Arc<Self>, vm: Vm) {
        let through = self.lock().documents.through();
        let until = self.now() + PULL_WITHIN;
        let reply = self.timer.timeout_at(until, self.ask(vm, PeerRequest::Pull(through))).await;
        self.lock().pulling = false;
        if let Some(Ok(Reply::Changes(since))) = reply {
            self.take_since(since);
            self.caught_up();
        }
    }

    /// Asks the peers of the settings, before the list is known.
    pub(crate) async fn pull_seeds(self: &Arc<Self>) {
        for addr in &self.options.peers {
            let through = self.lock().documents.through();
            let ask = self.envelope(PeerRequest::Pull(through));
            let Ok(reply) = (self.ports.link)(*addr, ask).await else { continue };
            if let Reply::Changes(since) = reply.reply {
                self.take_since(since);
            }
        }
        if self.lock().documents.through() > 0 {
            self.caught_up();
        }
    }

    pub(crate) fn caught_up(&self) {
        let now = self.now();
        let mut state = self.lock();
        if state.documents.through() > 0 {
            state.node_event(now, "caught_up");
        }
    }

    /// Exchanges changes with one partner after the other, often enough to keep the
    /// connections to them open.
    pub(crate) async fn exchange(self: Arc<Self>) {
        let mut ticks = self.timer.every(EXCHANGE_EVERY);
        loop {
            ticks.next().await;
            if let Some(vm) = self.next_partner() {
                self.pull(vm).await;
            }
        }
    }

    fn reader(&self) -> bool {
        let state = self.lock();
        let zone = &state.zone;
        let peers = state.fleet.members().filter(|m| m.listed.zone == *zone && !m.listed.leaving);
        let vms: Vec<u64> = peers.map(|member| u64::from(member.listed.vm.0)).collect();
        let me = u64::from(state.me.vm.0);
        vms.is_empty() || is_reader(zone, me, &vms, READERS)
    }

    /// Watches the platform while this node is a reader of its zone.
    pub(crate) async fn read_platform(self: Arc<Self>) {
        let mut backoff = BACKOFF_MIN;
        let mut first = true;
        if !self.options.peers.is_empty() {
            // Peers are asked first, so that a fleet that starts does not read all at once.
            let jitter = self.lock().rng.random_range(SEED_WAIT..=2 * SEED_WAIT);
            self.timer.sleep(jitter).await;
            first = self.lock().documents.through() == 0;
        }
        loop {
            if !first && !self.reader() {
                self.timer.sleep(IDLE_READER).await;
                continue;
            }
            let through = self.lock().documents.through();
            let wait = if first { 0 } else { WATCH };
            self.metrics.platform_reads.inc();
            let result = (self.ports.platform)(through, wait).await;
            match result {
                Ok(published) => {
                    first = false;
                    backoff = BACKOFF_MIN;
                    self.take_published(&published);
                    self.caught_up();
                    if published.through < through {
                        // The platform answers from an older state than is in force.
                        self.timer.sleep(BACKOFF_MAX).await;
                    }
                }
                Err(error) => {
                    log::warn!("event=platform-read error={error:?}");
                    // A node that has caught up from peers need not be a reader.
                    first = first && self.lock().documents.through() == 0;
                    let jitter = self.lock().rng.random_range(0..=backoff);
                    self.timer.sleep(backoff / 2 + jitter).await;
                    backoff = (backoff * 2).min(BACKOFF_MAX);
                }
            }
        }
    }
}

const PUSH_MAX: usize = 64;
