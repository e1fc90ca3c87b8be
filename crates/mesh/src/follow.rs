//! Follows what the platform publishes, and what other nodes know of it.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use bbv_core::units::{MS, Micros};
use bbv_core::view::{Applied, View};
use bbv_platform::store::{Changes, Store, StoreError};
use bytes::Bytes;
use http::request::Parts;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use rand::Rng;

use crate::answer;
use crate::node::Node;

/// Longest time that one watch waits.
const WATCH: Duration = Duration::from_secs(25);
/// Pause after an answer in which further changes gather.
const GATHER: Micros = 300 * MS;
/// Pauses after a call to the store that failed.
const BACKOFF_MIN: Micros = 100 * MS;
const BACKOFF_MAX: Micros = 1_000 * MS;
/// Time in which the own watch brings news before a peer is asked for it.
const OWN_NEWS: Micros = 100 * MS;
/// Time in which a peer answers.
const PULL: Micros = 500 * MS;
/// Path at which nodes ask each other for what they know.
const VIEW: &str = "/bbv/view";

impl Node {
    /// Follows the store for as long as the process runs.
    pub(crate) async fn follow(self: Arc<Self>) {
        let mut store = Store::new(self.settings.platform);
        let mut backoff = BACKOFF_MIN;
        let mut listed = false;
        let mut away = false;
        loop {
            let after = self.lock().view.through;
            // After an outage a call that does not wait tells at once that it is over.
            let wait = if away { Duration::ZERO } else { WATCH };
            let result = if listed { store.watch(after, wait).await } else { store.list().await };
            self.count(&result);
            match result {
                Ok(changes) => {
                    if std::mem::take(&mut away) {
                        log::info!("event=store-regained");
                        let now = self.now();
                        self.lock().view.platform_returned(now);
                    }
                    backoff = BACKOFF_MIN;
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
                    log::info!("event=store-history-gone revision={after}");
                    listed = false;
                }
                Err(error) => {
                    if !away {
                        log::warn!("event=store-lost error={:?}", error.to_string());
                    }
                    away = true;
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
            state.view.replace(now, all.through, all.updates)
        };
        self.viewed("store", &applied);
    }

    fn take_changes(&self, after: u64, changes: Changes) {
        let now = self.now();
        let applied: Vec<Applied> = {
            let mut state = self.lock();
            if state.view.through != after {
                // A peer told more meanwhile; the next watch continues from there.
                return;
            }
            state.view.through = changes.through.max(after);
            let applied = changes.updates.into_iter().map(|update| state.view.apply(now, update));
            applied.filter(|applied| *applied != Applied::Same).collect()
        };
        self.viewed("store", &applied);
    }

    /// Asks a peer that knows more.
    pub(crate) async fn pull(self: Arc<Self>, from: IpAddr) {
        let before = self.lock().view.through;
        self.timer.sleep(OWN_NEWS).await;
        let through = self.lock().view.through;
        if through == before {
            let limit = self.now() + PULL;
            match self.timer.limit(limit, self.pull_view(from)).await {
                Some(Ok(view)) => {
                    let now = self.now();
                    let applied = self.lock().view.adopt(now, view);
                    self.viewed("peer", &applied);
                }
                Some(Err(why)) => log::info!("event=pull-failed from={from} why={why:?}"),
                None => log::info!("event=pull-late from={from}"),
            }
        }
        self.lock().pulling = false;
    }

    async fn pull_view(&self, from: IpAddr) -> Result<View, String> {
        let gate = SocketAddr::new(from, self.settings.peers.port());
        let request = Request::get(VIEW).header(http::header::HOST, gate.to_string());
        let request = request.body(Full::new(Bytes::new())).map_err(|error| error.to_string())?;
        let sent = self.peer_pool.send(gate, request).await;
        let (response, conn) = sent.map_err(|error| error.to_string())?;
        let body = response.into_body().collect().await.map_err(|error| error.to_string())?;
        self.peer_pool.put(conn, None);
        serde_json::from_slice(&body.to_bytes()).map_err(|error| error.to_string())
    }

    /// Answers a peer that asks what this node knows.
    pub(crate) fn serve_view(&self, head: &Parts) -> Response<Full<Bytes>> {
        if head.uri.path() != VIEW {
            return answer::own(StatusCode::NOT_FOUND, "not-a-peer-request");
        }
        match serde_json::to_vec(&self.lock().view) {
            Ok(body) => Response::new(Full::new(Bytes::from(body))),
            Err(error) => {
                log::error!("event=view-not-encoded error={error:?}");
                answer::own(StatusCode::INTERNAL_SERVER_ERROR, "view-not-encoded")
            }
        }
    }
}
