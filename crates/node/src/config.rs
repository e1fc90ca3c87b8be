//! Keeps the configuration current: a few nodes per zone read the platform, and all nodes
//! exchange changes with peers.

use std::sync::Arc;

use bbv_core::catalogue::check_document;
use bbv_core::documents::{CatchUp, ChangeOutcome, DocumentChange, is_reader};
use bbv_core::id::Vm;
use bbv_core::units::{MS, Micros, Revision, SEC};
use bbv_wire::{PeerRequest, Reply};
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

use crate::audit::Event;
use crate::node::Node;
use crate::ports::Published;

const SYNC_INTERVAL: Micros = 500 * MS;
const PUSH_FANOUT: usize = 3;
const MAX_SYNC_PEERS: usize = 4;
const PULL_TIMEOUT: Micros = SEC;
const READERS_PER_ZONE: usize = 2;
/// Longest time for which a read waits for changes. A connection that has gone silent is found when the
/// response is overdue, early enough for a change to be in force within 4 s.
const WATCH_TIMEOUT: Micros = SEC;
/// XORed with the seed of a node to seed the waits of [`Node::wait_for_news`].
const AGED_SEED_MASK: u64 = 0xa9ed;
const MIN_BACKOFF: Micros = 200 * MS;
/// Longest backoff, without jitter, after which the end of an outage is noticed.
const MAX_BACKOFF: Micros = SEC;
const MIN_READ_DELAY: Micros = SEC;
const READER_CHECK_INTERVAL: Micros = SEC;
/// Age of the documents from which a node reads the platform itself. Together with the waits until it does and
/// a read, it is less than the 4 s in which a change is in force.
const MAX_AGE: Micros = 2 * SEC;
/// Interval at which the age is checked.
const AGE_CHECK_INTERVAL: Micros = 250 * MS;
/// Longest wait of a node whose documents are too old, since one read by one of them serves its peers.
const MAX_AGED_DELAY: Micros = SEC;
/// Mean interval of such reads in a zone while they fail, whatever the number of its nodes.
const FAILED_INTERVAL: Micros = 250 * MS;

impl Node {
    /// Applies changes from a peer or the platform, and pushes new ones to peers.
    pub(crate) fn apply_changes(self: &Arc<Self>, changes: &[DocumentChange]) {
        let outcomes = self.lock().documents.apply(changes, check_document);
        self.process_outcomes(outcomes);
    }

    fn apply_snapshot(self: &Arc<Self>, through: Revision, docs: &[DocumentChange]) {
        let outcomes = self.lock().documents.apply_snapshot(through, docs, check_document);
        self.process_outcomes(outcomes);
    }

    pub(crate) fn apply_published(self: &Arc<Self>, published: &Published) {
        if published.snapshot {
            self.apply_snapshot(published.through, &published.changes);
        } else {
            self.apply_changes(&published.changes);
            self.apply_snapshot(published.through, &[]);
        }
    }

    fn apply_catch_up(self: &Arc<Self>, catch_up: CatchUp) {
        match catch_up {
            CatchUp::Changes(changes) => self.apply_changes(&changes),
            CatchUp::Snapshot(through, docs) => self.apply_snapshot(through, &docs),
        }
    }

    /// Puts applied changes into effect, writes the audit trail and pushes the changes to peers.
    fn process_outcomes(self: &Arc<Self>, outcomes: Vec<ChangeOutcome>) {
        if outcomes.is_empty() {
            return;
        }
        let now = self.now();
        let mut new_changes = Vec::new();
        {
            let mut state = self.lock();
            let wall_ms = state.wall_ms(now);
            for outcome in outcomes {
                let (change, event, cause) = match outcome {
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
                let delay = wall_ms.map(|ms| ms.saturating_sub(change.published_ms));
                let delay = delay.filter(|_| change.published_ms > 0);
                let (key, revision) = (change.key.clone(), change.revision);
                state.audit.write_revision(now, event, &key, &cause, revision, delay);
                new_changes.push(change);
            }
            state.update_gate(now);
            state.refresh_candidates(now);
            self.metrics.revision.set(state.documents.through().cast_signed());
        }
        self.push(new_changes);
    }

    /// Sends new changes to a few random peers; nodes pull larger sets themselves.
    fn push(self: &Arc<Self>, changes: Vec<DocumentChange>) {
        if changes.len() > MAX_PUSHED_CHANGES {
            return;
        }
        for vm in self.sample_sync_peers(PUSH_FANOUT) {
            let node = Arc::clone(self);
            let changes = changes.clone();
            tokio::spawn(async move {
                let _ = node.send_request(vm, PeerRequest::Push(changes)).await;
            });
        }
    }

    /// Returns up to `count` sync peers in random order.
    ///
    /// Sync peers are replaced only when they become unreachable, since a new connection costs
    /// far more than a message.
    fn sample_sync_peers(&self, count: usize) -> Vec<Vm> {
        let now = self.now();
        let mut state = self.lock();
        let state = &mut *state;
        let fleet = &state.fleet;
        state.sync_peers.retain(|vm| fleet.member(*vm).is_some() && fleet.reachable(now, *vm));
        if state.sync_peers.len() < MAX_SYNC_PEERS {
            for vm in fleet.sample(now, state.me.vm, MAX_SYNC_PEERS, &mut state.rng) {
                if state.sync_peers.len() < MAX_SYNC_PEERS && !state.sync_peers.contains(&vm) {
                    state.sync_peers.push(vm);
                }
            }
        }
        state.sync_peers.choose_multiple(&mut state.rng, count).copied().collect()
    }

    /// Returns the next sync peer in rotation.
    fn next_sync_peer(&self) -> Option<Vm> {
        self.sample_sync_peers(0);
        let mut state = self.lock();
        if state.sync_peers.is_empty() {
            return None;
        }
        state.sync_peers.rotate_left(1);
        state.sync_peers.last().copied()
    }

    /// Pulls the changes that this node lacks from the node on `vm`.
    pub(crate) async fn pull(self: &Arc<Self>, vm: Vm) {
        let through = self.lock().documents.through();
        let deadline = self.now() + PULL_TIMEOUT;
        let reply = self
            .timer
            .timeout_at(deadline, self.send_request(vm, PeerRequest::Pull(through)))
            .await;
        self.lock().pulling = false;
        if let Some(Ok(Reply::Changes(catch_up))) = reply {
            self.apply_catch_up(catch_up);
            self.mark_caught_up();
        }
    }

    /// Pulls the configuration from the peers in the settings, before the fleet list is known.
    pub(crate) async fn pull_from_seeds(self: &Arc<Self>) {
        for addr in &self.options.peers {
            let through = self.lock().documents.through();
            let request = self.request_envelope(PeerRequest::Pull(through));
            let Ok(reply) = (self.ports.link)(*addr, request).await else { continue };
            if let Reply::Changes(catch_up) = reply.reply {
                self.apply_catch_up(catch_up);
            }
        }
        if self.lock().documents.through() > 0 {
            self.mark_caught_up();
        }
    }

    /// Reports `caught_up` to the node's state chart once the node has any configuration.
    pub(crate) fn mark_caught_up(&self) {
        let now = self.now();
        let mut state = self.lock();
        if state.documents.through() > 0 {
            state.node_event(now, "caught_up");
        }
    }

    /// Pulls changes from each sync peer in turn, often enough to keep the connections open.
    pub(crate) async fn sync_with_peers(self: Arc<Self>) {
        let mut ticks = self.timer.every(SYNC_INTERVAL);
        loop {
            ticks.next().await;
            if let Some(vm) = self.next_sync_peer() {
                self.pull(vm).await;
            }
        }
    }

    /// Returns whether this node is one of the nodes of its zone that read the platform.
    fn is_platform_reader(&self) -> bool {
        let state = self.lock();
        let me = u64::from(state.me.vm.0);
        let vms = state.zone_vms();
        vms.is_empty() || is_reader(&state.zone, me, &vms, READERS_PER_ZONE)
    }

    fn is_aged(&self) -> bool {
        let now = self.now();
        self.lock().freshness.is_older(now, MAX_AGE)
    }

    /// Waits for a while in which other nodes read the platform; returns whether this node has to read it
    /// itself, since what it hears is too old. `failed` tells whether its latest read failed.
    async fn wait_for_news(&self, failed: bool, rng: &mut SmallRng) -> bool {
        let end = self.now() + READER_CHECK_INTERVAL;
        while !self.is_aged() {
            if self.now() >= end {
                return false;
            }
            self.timer.sleep(AGE_CHECK_INTERVAL).await;
        }
        let nodes = self.lock().zone_vms().len() as Micros;
        let spread = if failed { 2 * nodes * FAILED_INTERVAL } else { MAX_AGED_DELAY };
        self.timer.sleep(rng.random_range(0..=spread)).await;
        self.is_aged()
    }

    /// Records what the platform answered to a read that began at `asked`, unless it answers from an older
    /// state.
    fn confirm_read(&self, asked: Micros, published: &Published) {
        let now = self.now();
        let mut state = self.lock();
        if published.through >= state.documents.through() {
            state.confirm_documents(now, published.through, Some(now.saturating_sub(asked)));
        }
    }

    /// Reads the platform once, then watches it while this node is a reader of its zone.
    pub(crate) async fn read_platform(self: Arc<Self>) {
        let mut backoff = MIN_BACKOFF;
        let mut first = true;
        let mut failed = false;
        // A generator of its own leaves the choices of the other tasks as they are.
        let mut rng = SmallRng::seed_from_u64(self.options.seed ^ AGED_SEED_MASK);
        if !self.options.peers.is_empty() {
            // Peers are tried first, so that a starting fleet does not read the platform all at
            // once.
            let delay = self.lock().rng.random_range(MIN_READ_DELAY..=2 * MIN_READ_DELAY);
            self.timer.sleep(delay).await;
            first = self.lock().documents.through() == 0;
        }
        loop {
            let reader = first || self.is_platform_reader();
            if !reader && !self.wait_for_news(failed, &mut rng).await {
                continue;
            }
            let through = self.lock().documents.through();
            let timeout = if first || !reader { 0 } else { WATCH_TIMEOUT };
            self.metrics.platform_reads.inc();
            let asked = self.now();
            let result = (self.ports.platform)(through, timeout).await;
            failed = result.is_err();
            match result {
                Ok(published) => {
                    first = false;
                    backoff = MIN_BACKOFF;
                    self.apply_published(&published);
                    self.confirm_read(asked, &published);
                    self.mark_caught_up();
                    if published.through < through {
                        // The platform is behind the revision in force.
                        self.timer.sleep(MAX_BACKOFF).await;
                    }
                }
                Err(error) => {
                    log::warn!("event=platform-read error={error:?}");
                    // A node that has its configuration from peers need not read the platform.
                    first = first && self.lock().documents.through() == 0;
                    let jitter = self.lock().rng.random_range(0..=backoff);
                    self.timer.sleep(backoff / 2 + jitter).await;
                    backoff = (backoff * 2).min(MAX_BACKOFF);
                }
            }
        }
    }
}

const MAX_PUSHED_CHANGES: usize = 64;
