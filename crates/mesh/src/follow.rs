//! Follows what the platform publishes, and what other nodes know of it.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use bbv_core::units::{MS, Micros, Revision};
use bbv_core::view::{Effect, View, ViewChange};
use bbv_platform::store::{Changes, StoreClient, StoreError};
use bytes::Bytes;
use http::request::Parts;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use rand::Rng;
use rand::seq::IteratorRandom;
use serde::{Deserialize, Serialize};

use crate::answer;
use crate::event::{self, Event};
use crate::node::Node;

/// Longest time that one watch waits.
const WATCH: Duration = Duration::from_secs(25);
/// Pause after an answer in which further changes gather.
const GATHER: Micros = 300 * MS;
/// Pauses after a call to the store that failed.
const BACKOFF_MIN: Micros = 100 * MS;
const BACKOFF_MAX: Micros = 1_000 * MS;
/// Time in which the own watch brings changes before a peer is asked for them.
const WATCH_HEAD_START: Micros = 100 * MS;
/// Time in which a peer answers.
const PULL: Micros = 500 * MS;
/// Wait before a question for each node of the fleet, and at most.
const PULL_SPREAD: Micros = 2 * MS;
const PULL_SPREAD_MAX: Micros = 200 * MS;
/// Interval at which a node that does not read looks whether it should.
const DECIDE: Micros = 100 * MS;
/// Path at which nodes ask each other for what changed after a revision.
const CHANGES: &str = "/bbv/changes";

/// Changes that follow the revision asked about.
#[derive(Debug, Deserialize, Serialize)]
struct Delta {
    through: Revision,
    changes: Vec<ViewChange>,
}

/// What a node tells one that is behind.
#[derive(Debug, Deserialize, Serialize)]
struct SyncReply {
    /// Time for which upstreams whose entries expired in an outage are kept.
    keep: Micros,
    content: Content,
}

/// Changes, or everything.
#[derive(Debug, Deserialize, Serialize)]
enum Content {
    /// What changed.
    Delta(Delta),
    /// Everything, since the changes are no longer known.
    Snapshot(View),
}

impl Node {
    /// Follows the store for as long as the process runs: lists it once, and watches it
    /// while this node is a reader of its zone.
    pub(crate) async fn follow(self: Arc<Self>) {
        let mut store = StoreClient::new(self.settings.platform);
        let mut backoff = BACKOFF_MIN;
        let mut listed = false;
        let mut away = false;
        let mut answered = false;
        loop {
            let now = self.now();
            if listed && !self.lock().readers.decide(now) {
                // Those who read tell when an outage that began here is over.
                away = false;
                answered = false;
                self.timer.sleep(DECIDE).await;
                continue;
            }
            let after = self.lock().view.through;
            // A first call that does not wait tells at once whether the store answers.
            let wait = if answered { WATCH } else { Duration::ZERO };
            let result = if listed { store.watch(after, wait).await } else { store.list().await };
            self.count(&result);
            match result {
                Ok(changes) => {
                    if std::mem::take(&mut away) {
                        event::info(Event::StoreRegained, &[("revision", &after)]);
                        let now = self.now();
                        self.lock().view.platform_recovered(now);
                    }
                    backoff = BACKOFF_MIN;
                    answered = true;
                    self.lock().store_away = false;
                    if listed {
                        self.take_changes(after, changes)
                    } else {
                        self.take_all(changes)
                    }
                    listed = true;
                    // Changes come in groups; one call brings those of a moment.
                    self.timer.sleep(GATHER).await;
                }
                Err(StoreError::HistoryGone) => {
                    event::info(Event::StoreForgot, &[("revision", &after)]);
                    listed = false;
                }
                Err(error) => {
                    if !away {
                        event::warn(Event::StoreLost, &[("revision", &after), ("why", &error)]);
                    }
                    away = true;
                    answered = false;
                    self.lock().store_away = true;
                    let jitter = self.lock().rng.random_range(0..=backoff);
                    self.timer.sleep(backoff / 2 + jitter).await;
                    backoff = (backoff * 2).min(BACKOFF_MAX);
                }
            }
        }
    }

    fn count(&self, result: &Result<Changes, StoreError>) {
        let result = match result {
            Ok(_) => "ok",
            Err(StoreError::Unreachable(_)) => "unreachable",
            Err(StoreError::Refused(_)) => "refused",
            Err(StoreError::HistoryGone) => "history-gone",
            Err(StoreError::Malformed(_)) => "malformed",
        };
        self.metrics.store_calls.with_label_values(&[result]).inc();
    }

    fn take_all(&self, all: Changes) {
        let now = self.now();
        let applied = {
            let mut state = self.lock();
            if all.through < state.view.through {
                // Another node already told more than this listing.
                return;
            }
            state.history.reset(all.through);
            let updates = all.changes.into_iter().map(|change| change.update).collect();
            state.view.replace(now, all.through, updates)
        };
        self.viewed("store", &applied);
    }

    fn take_changes(&self, after: Revision, changes: Changes) {
        self.apply_delta(
            "store",
            after,
            &Delta { through: changes.through, changes: changes.changes },
        );
    }

    /// Applies changes that follow revision `after`, unless more was learned meanwhile.
    fn apply_delta(&self, source: &str, after: Revision, delta: &Delta) {
        let now = self.now();
        let applied: Vec<Effect> = {
            let mut state = self.lock();
            let state = &mut *state;
            if state.view.through != after {
                return;
            }
            state.view.through = delta.through.max(after);
            state.history.extend(&delta.changes);
            let updates = delta.changes.iter().map(|change| change.update.clone());
            let applied = updates.map(|update| state.view.apply(now, update));
            applied.filter(|applied| *applied != Effect::Unchanged).collect()
        };
        self.viewed(source, &applied);
    }

    /// Asks a peer that knows more.
    pub(crate) async fn pull(self: Arc<Self>) {
        let wait = if self.reads() { WATCH_HEAD_START } else { self.pull_wait() };
        self.timer.sleep(wait).await;
        let before = self.revision();
        if let Some(from) = self.newer_peer() {
            let limit = self.now() + PULL;
            match self.timer.limit(limit, self.fetch_changes(from, before)).await {
                Some(Ok(reply)) => self.apply_reply(before, reply),
                Some(Err(why)) => {
                    event::info(Event::PullFailed, &[("from", &from), ("why", &why)]);
                }
                None => event::info(Event::PullFailed, &[("from", &from), ("why", &"late")]),
            }
        }
        self.lock().pulling = false;
    }

    /// Random wait that spreads the questions of a zone over the nodes that learn first.
    fn pull_wait(&self) -> Micros {
        let mut state = self.lock();
        let most = (state.index.vms().count() as u64 * PULL_SPREAD).min(PULL_SPREAD_MAX);
        state.rng.random_range(0..=most)
    }

    /// One of the nodes that said that they know more than this one; all are forgotten.
    fn newer_peer(&self) -> Option<IpAddr> {
        let mut state = self.lock();
        let state = &mut *state;
        let through = state.view.through;
        let newer = std::mem::take(&mut state.newer);
        let newer = newer.into_iter().filter(|(_, revision)| *revision > through);
        newer.map(|(ip, _)| ip).choose(&mut state.rng)
    }

    fn apply_reply(&self, before: Revision, reply: SyncReply) {
        let now = self.now();
        self.lock().view.extend_grace(now, reply.keep);
        match reply.content {
            Content::Delta(delta) => self.apply_delta("peer", before, &delta),
            Content::Snapshot(view) => {
                let applied = {
                    let mut state = self.lock();
                    let applied = state.view.update_from(now, view);
                    let through = state.view.through;
                    state.history.reset(through);
                    applied
                };
                self.viewed("peer", &applied);
            }
        }
    }

    async fn fetch_changes(&self, from: IpAddr, since: Revision) -> Result<SyncReply, String> {
        let gate = SocketAddr::new(from, self.settings.peers.port());
        let request = Request::get(format!("{CHANGES}?since={since}"));
        let request = request.header(http::header::HOST, gate.to_string());
        let request = request.body(Full::new(Bytes::new())).map_err(|error| error.to_string())?;
        let sent = self.peer_pool.send(gate, request).await;
        let (response, conn) = sent.map_err(|error| error.to_string())?;
        let body = response.into_body().collect().await.map_err(|error| error.to_string())?;
        self.peer_pool.put(conn, None);
        serde_json::from_slice(&body.to_bytes()).map_err(|error| error.to_string())
    }

    /// Answers a peer that asks what this node knows.
    pub(crate) fn serve_changes(&self, head: &Parts) -> Response<Full<Bytes>> {
        let since = head.uri.query().and_then(|query| query.strip_prefix("since="));
        let since = since.and_then(|text| text.parse::<Revision>().ok());
        let (CHANGES, Some(since)) = (head.uri.path(), since) else {
            return answer::own(StatusCode::NOT_FOUND, "not-a-peer-request");
        };
        let reply = {
            let now = self.now();
            let state = self.lock();
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
                answer::own(StatusCode::INTERNAL_SERVER_ERROR, "news-not-encoded")
            }
        }
    }
}
