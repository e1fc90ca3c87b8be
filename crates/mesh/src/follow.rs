//! Keeps the view of the fleet up to date: readers watch the platform's store, and the other nodes
//! pull changes from peers with a newer revision.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use bbv_core::units::{MS, Micros, Revision};
use bbv_core::view::{Effect, View, ViewChange};
use bbv_platform::store::{Changes, Freshness, StoreClient, StoreError};
use bytes::Bytes;
use http::request::Parts;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use rand::Rng;
use rand::seq::IteratorRandom;
use serde::{Deserialize, Serialize};

use crate::event::{self, Event};
use crate::node::Node;
use crate::notice::vm_of;
use crate::response;

/// Longest time for which a watch call waits for changes.
const WATCH_TIMEOUT: Duration = Duration::from_secs(25);
/// Delay between calls to the store. Changes arrive in bursts; the delay lets one call return a
/// whole burst.
const BATCH_DELAY: Micros = 300 * MS;
/// Bounds of the exponential backoff after a failed call to the store.
const MIN_BACKOFF: Micros = 100 * MS;
const MAX_BACKOFF: Micros = 1_000 * MS;
/// Delay before a reader pulls changes from a peer, since its own watch usually delivers them
/// first.
const READER_PULL_DELAY: Micros = 100 * MS;
/// Timeout of a pull from a peer.
const PULL_TIMEOUT: Micros = 500 * MS;
/// Range of the random delay before a pull per node of the fleet, and its upper bound.
const PULL_DELAY_PER_NODE: Micros = 2 * MS;
const MAX_PULL_DELAY: Micros = 200 * MS;
/// Interval at which a node that is not a reader checks whether it should become one.
const READER_CHECK_INTERVAL: Micros = 100 * MS;
/// Interval of that check until the view is confirmed.
const CONFIRM_CHECK_INTERVAL: Micros = 5 * MS;
/// Interval of listings while a starting node does not know the fleet yet.
const START_LIST_INTERVAL: Micros = 800 * MS;
/// Time for which a starting node that knows the routing waits for its own upstream to register,
/// since the whole fleet registers then.
const REGISTRATION_PATIENCE: Micros = 3_000 * MS;
/// Interval of pulls of a starting node until a peer confirms its view.
const START_PULL_INTERVAL: Micros = 200 * MS;
/// Interval of pulls of a node that other nodes do not know.
const UNKNOWN_PULL_INTERVAL: Micros = 300 * MS;
/// Time without a successful pull after which such a node may become a reader.
const ISOLATION_TIMEOUT: Micros = 1_500 * MS;
/// Path at which nodes serve the changes after a revision to each other.
const CHANGES_PATH: &str = "/bbv/changes";

/// Changes after the requested revision.
#[derive(Debug, Deserialize, Serialize)]
struct Delta {
    through: Revision,
    changes: Vec<ViewChange>,
}

/// Response to a peer with an older revision.
#[derive(Debug, Deserialize, Serialize)]
struct SyncReply {
    /// Remaining time for which upstreams whose entries expired during an outage are kept.
    keep: Micros,
    content: Content,
}

/// Incremental changes or a full snapshot.
#[derive(Debug, Deserialize, Serialize)]
enum Content {
    /// Changes after the requested revision.
    Delta(Delta),
    /// Full view, sent when the history no longer covers the requested revision.
    Snapshot(View),
}

fn log_faults(changes: &Changes) {
    for fault in &changes.faults {
        event::warn(Event::ItemUnreadable, &[("key", &fault.key), ("why", &fault.cause)]);
    }
}

impl Node {
    /// Learns the fleet from listings that may be seconds old, until a peer has confirmed the view
    /// or the fleet is complete enough to have readers.
    async fn learn_fleet(&self, store: &mut StoreClient) {
        let mut lost = false;
        loop {
            let result = store.list(Freshness::Stale).await;
            self.count_store_call(&result);
            match result {
                Ok(listing) => {
                    log_faults(&listing);
                    self.apply_listing(listing);
                }
                Err(error) if !std::mem::replace(&mut lost, true) => {
                    event::warn(
                        Event::StoreLost,
                        &[("revision", &self.revision()), ("why", &error)],
                    );
                }
                Err(_) => {}
            }
            let next_at = self.now() + START_LIST_INTERVAL;
            while self.now() < next_at {
                if self.knows_fleet() || self.pull_from_any().await {
                    return;
                }
                self.timer.sleep(START_PULL_INTERVAL).await;
            }
        }
    }

    /// Returns whether the routing is known and other nodes know this one.
    fn knows_fleet(&self) -> bool {
        let now = self.now();
        let state = self.lock();
        let patient = now < state.routed_at + REGISTRATION_PATIENCE;
        let registered = state.local_entry(&self.settings).is_some();
        state.confirmed || state.view.routing.is_some() && (registered || !patient)
    }

    /// Pulls changes from a random node, of this zone if possible; returns whether that succeeded.
    async fn pull_from_any(&self) -> bool {
        let zone_peer = {
            let peers = self.zone_peers();
            peers.into_iter().choose(&mut self.lock().rng)
        };
        match zone_peer.or_else(|| self.random_peer()) {
            Some(peer) => self.pull_from(peer).await,
            None => false,
        }
    }

    /// Returns whether other nodes do not know this one, since its upstream is not listed. Their
    /// heartbeats do not reach it then.
    fn is_unknown_to_peers(&self) -> bool {
        let state = self.lock();
        let own = self.settings.peers.ip();
        state.local_entry(&self.settings).is_none() && state.index.vms().any(|(ip, _)| ip != own)
    }

    /// Follows the store for the lifetime of the process: learns the fleet, then watches the store
    /// while this node is a reader of its zone.
    pub(crate) async fn follow_store(self: Arc<Self>) {
        let mut store = StoreClient::new(self.settings.platform);
        self.learn_fleet(&mut store).await;
        let others: Vec<u64> =
            self.zone_peers().into_iter().map(|ip| u64::from(vm_of(ip).0)).collect();
        let now = self.now();
        self.lock().readers.start(now, &others);
        let mut backoff = MIN_BACKOFF;
        let mut listed = true;
        let mut store_lost = false;
        let mut reachable = false;
        let mut pulled_at = now;
        loop {
            let now = self.now();
            let unknown = self.is_unknown_to_peers();
            if listed && unknown && now < pulled_at + ISOLATION_TIMEOUT {
                self.lock().readers.stop();
                if self.pull_from_any().await {
                    pulled_at = self.now();
                }
                self.timer.sleep(UNKNOWN_PULL_INTERVAL).await;
                continue;
            }
            if !unknown {
                pulled_at = now;
            }
            if listed && !self.reads_next(now) {
                // The readers of the zone detect the end of an outage that began while this node
                // was a reader.
                store_lost = false;
                reachable = false;
                let confirmed = self.lock().confirmed;
                let interval =
                    if confirmed { READER_CHECK_INTERVAL } else { CONFIRM_CHECK_INTERVAL };
                self.timer.sleep(interval).await;
                continue;
            }
            let after = self.lock().view.through;
            // The first call does not wait for changes, so it shows at once whether the store is
            // reachable.
            let timeout = if reachable { WATCH_TIMEOUT } else { Duration::ZERO };
            let result = if listed {
                store.watch(after, timeout).await
            } else {
                store.list(Freshness::Current).await
            };
            self.count_store_call(&result);
            match result {
                Ok(changes) => {
                    log_faults(&changes);
                    if std::mem::take(&mut store_lost) {
                        event::info(Event::StoreRegained, &[("revision", &after)]);
                        let now = self.now();
                        self.lock().view.platform_recovered(now);
                    }
                    backoff = MIN_BACKOFF;
                    reachable = true;
                    if listed {
                        self.apply_watched(after, changes)
                    } else {
                        self.apply_listing(changes)
                    }
                    listed = true;
                    self.confirm_view();
                    self.timer.sleep(BATCH_DELAY).await;
                }
                Err(StoreError::HistoryGone) => {
                    event::info(Event::StoreForgot, &[("revision", &after)]);
                    listed = false;
                }
                Err(error) => {
                    if !store_lost {
                        event::warn(Event::StoreLost, &[("revision", &after), ("why", &error)]);
                    }
                    // A node that reads only because it is behind leaves outages to the readers.
                    store_lost = self.lock().readers.is_reading();
                    reachable = false;
                    self.lock().store_failed = true;
                    let jitter = self.lock().rng.random_range(0..=backoff);
                    self.timer.sleep(backoff / 2 + jitter).await;
                    backoff = (backoff * 2).min(MAX_BACKOFF);
                }
            }
        }
    }

    /// Returns whether the next changes are to be read from the store: this node is a reader, or
    /// its peers know changes that it could not get from them.
    fn reads_next(&self, now: Micros) -> bool {
        let mut state = self.lock();
        let reader = state.readers.decide(now);
        reader || state.lag.is_overdue(now, state.view.through)
    }

    /// Records that the store, which can be reached, has confirmed the view.
    fn confirm_view(&self) {
        let mut state = self.lock();
        state.store_failed = false;
        state.confirmed = true;
        let through = state.view.through;
        state.lag.record_read(through);
    }

    fn count_store_call(&self, result: &Result<Changes, StoreError>) {
        let result = match result {
            Ok(_) => "ok",
            Err(StoreError::Unreachable(_)) => "unreachable",
            Err(StoreError::Refused(_)) => "refused",
            Err(StoreError::HistoryGone) => "history-gone",
            Err(StoreError::Malformed(_)) => "malformed",
        };
        self.metrics.store_calls.with_label_values(&[result]).inc();
    }

    fn apply_listing(&self, listing: Changes) {
        let now = self.now();
        let effects = {
            let mut state = self.lock();
            if listing.through < state.view.through {
                // Changes pulled from a peer are newer than this listing.
                return;
            }
            state.history.reset(listing.through);
            let updates = listing.changes.into_iter().map(|change| change.update).collect();
            state.view.replace(now, listing.through, updates)
        };
        self.view_changed("store", &effects);
    }

    fn apply_watched(&self, after: Revision, changes: Changes) {
        self.apply_delta(
            "store",
            after,
            &Delta { through: changes.through, changes: changes.changes },
        );
    }

    /// Applies changes after revision `after`, unless the view has changed since.
    fn apply_delta(&self, source: &str, after: Revision, delta: &Delta) {
        let now = self.now();
        let effects: Vec<Effect> = {
            let mut state = self.lock();
            let state = &mut *state;
            if state.view.through != after {
                return;
            }
            state.view.through = delta.through.max(after);
            state.history.extend(&delta.changes);
            let updates = delta.changes.iter().map(|change| change.update.clone());
            let effects = updates.map(|update| state.view.apply(now, update));
            effects.filter(|effect| *effect != Effect::Unchanged).collect()
        };
        self.view_changed(source, &effects);
    }

    /// Pulls changes from a peer with a newer revision.
    pub(crate) async fn pull_changes(self: Arc<Self>) {
        let delay = if self.reads_store() { READER_PULL_DELAY } else { self.pull_delay() };
        self.timer.sleep(delay).await;
        if let Some(from) = self.newer_peer() {
            self.pull_from(from).await;
        }
        self.lock().pulling = false;
    }

    /// Pulls changes from a peer; returns whether that succeeded.
    async fn pull_from(&self, from: IpAddr) -> bool {
        let before = self.revision();
        let deadline = self.now() + PULL_TIMEOUT;
        match self.timer.timeout_at(deadline, self.fetch_changes(from, before)).await {
            Some(Ok(reply)) => {
                self.apply_reply(before, reply);
                return true;
            }
            Some(Err(error)) => {
                event::info(Event::PullFailed, &[("from", &from), ("why", &error)]);
            }
            None => event::info(Event::PullFailed, &[("from", &from), ("why", &"late")]),
        }
        false
    }

    /// Returns a random delay, which spreads the pulls of a zone over the nodes that are already
    /// up to date.
    fn pull_delay(&self) -> Micros {
        let mut state = self.lock();
        let max_delay =
            (state.index.vms().count() as u64 * PULL_DELAY_PER_NODE).min(MAX_PULL_DELAY);
        state.rng.random_range(0..=max_delay)
    }

    /// Returns a random peer that announced a newer revision, and clears the list of such peers.
    fn newer_peer(&self) -> Option<IpAddr> {
        let mut state = self.lock();
        let state = &mut *state;
        let through = state.view.through;
        let newer = std::mem::take(&mut state.newer_peers);
        let newer = newer.into_iter().filter(|(_, revision)| *revision > through);
        newer.map(|(ip, _)| ip).choose(&mut state.rng)
    }

    fn apply_reply(&self, before: Revision, reply: SyncReply) {
        let now = self.now();
        {
            let mut state = self.lock();
            state.view.extend_grace(now, reply.keep);
            state.confirmed = true;
        }
        match reply.content {
            Content::Delta(delta) => self.apply_delta("peer", before, &delta),
            Content::Snapshot(view) => {
                let effects = {
                    let mut state = self.lock();
                    let effects = state.view.update_from(now, view);
                    let through = state.view.through;
                    state.history.reset(through);
                    effects
                };
                self.view_changed("peer", &effects);
            }
        }
    }

    async fn fetch_changes(&self, from: IpAddr, since: Revision) -> Result<SyncReply, String> {
        let gate = SocketAddr::new(from, self.settings.peers.port());
        let request = Request::get(format!("{CHANGES_PATH}?since={since}"));
        let request = request.header(http::header::HOST, gate.to_string());
        let request = request.body(Full::new(Bytes::new())).map_err(|error| error.to_string())?;
        let received = self.peer_pool.send(gate, request).await;
        let (response, conn) = received.map_err(|error| error.to_string())?;
        let status = response.status();
        let body = self.peer_pool.read_body(response.into_body(), &conn).await;
        let body = body.map_err(|error| error.to_string())?;
        self.peer_pool.put(conn, None);
        if status != StatusCode::OK {
            return Err(format!("status {}", status.as_u16()));
        }
        serde_json::from_slice(&body).map_err(|error| error.to_string())
    }

    /// Handles a peer's request for the changes after a revision.
    pub(crate) fn serve_changes(&self, head: &Parts) -> Response<Full<Bytes>> {
        let since = head.uri.query().and_then(|query| query.strip_prefix("since="));
        let since = since.and_then(|text| text.parse::<Revision>().ok());
        let (CHANGES_PATH, Some(since)) = (head.uri.path(), since) else {
            return response::local(StatusCode::NOT_FOUND, "not-a-peer-request");
        };
        let reply = {
            let now = self.now();
            let state = self.lock();
            if !state.confirmed {
                return response::local(StatusCode::SERVICE_UNAVAILABLE, "unconfirmed");
            }
            let content = match state.history.since(since) {
                Some(changes) => Content::Delta(Delta { through: state.view.through, changes }),
                None => Content::Snapshot(state.view.clone()),
            };
            SyncReply { keep: state.view.grace_left(now), content }
        };
        match serde_json::to_vec(&reply) {
            Ok(body) => Response::new(Full::new(Bytes::from(body))),
            Err(error) => {
                event::warn(Event::PullFailed, &[("to", &"peer"), ("why", &error)]);
                response::local(StatusCode::INTERNAL_SERVER_ERROR, "news-not-encoded")
            }
        }
    }
}
