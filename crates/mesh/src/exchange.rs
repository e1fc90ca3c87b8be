//! Exchanges changes of the published state between nodes. Changes of upstreams are sent at once;
//! the routing follows in pages, since a slow link carries a large one for seconds.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

use bbv_core::distance::Distance;
use bbv_core::freshness::FRESH_TIME;
use bbv_core::outage::shortest_outage;
use bbv_core::route::Name;
use bbv_core::routing_page::{PageRequest, PageResult, RoutingPage};
use bbv_core::units::{MS, Micros, Revision};
use bbv_core::view::{Effect, PublishedUpstream, Topic, ViewChange};
use http::request::Parts;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use rand::Rng;
use rand::seq::IteratorRandom;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::content::Content;
use crate::event::{self, Event};
use crate::node::Node;
use crate::response;

/// Delay before a reader pulls changes from a peer, since its own watch usually delivers them
/// first.
const READER_PULL_DELAY: Micros = 100 * MS;
/// Additional delay if only nodes of other regions are known to be newer, since the own region usually
/// learns of changes itself.
const REMOTE_PULL_DELAY: Micros = 300 * MS;
/// Timeout of one request to a peer. A page takes 26 ms on a link of 10 Mbit/s that is idle.
const PULL_TIMEOUT: Micros = 500 * MS;
/// Range of the random delay before a pull per node of the fleet, and its upper bound.
const PULL_DELAY_PER_NODE: Micros = 2 * MS;
const MAX_PULL_DELAY: Micros = 200 * MS;
/// Maximum number of requests in one pull; more than the largest routing needs.
const MAX_PAGES: usize = 256;
/// Path at which nodes serve the changes of upstreams after a revision to each other.
const UPSTREAMS_PATH: &str = "/bbv/upstreams";
/// Path at which nodes serve zones out of service and pages of the routing to each other.
const CONTROL_PATH: &str = "/bbv/control";

/// Response to a peer that knows an older revision of upstreams.
#[derive(Debug, Deserialize, Serialize)]
struct UpstreamsReply {
    /// Revision up to which `content` is complete.
    through: Revision,
    /// Age of the sender's knowledge.
    age: Option<Micros>,
    /// Upstreams that are kept since their entries expired, each with the time left.
    kept: BTreeMap<Name, Micros>,
    content: UpstreamsContent,
}

/// Incremental changes or a full snapshot.
#[derive(Debug, Deserialize, Serialize)]
enum UpstreamsContent {
    /// Changes after the requested revision.
    Changes(Vec<ViewChange>),
    /// All listed upstreams, sent when the history no longer covers the requested revision.
    Snapshot(BTreeMap<Name, PublishedUpstream>),
}

/// Response to a peer that knows an older revision of the routing or of zones.
#[derive(Debug, Deserialize, Serialize)]
struct ControlReply {
    /// Revision up to which this node knows the routing and zones.
    revision: Revision,
    /// Age of the sender's knowledge.
    age: Option<Micros>,
    /// Revision up to which it knows zones.
    zones_through: Revision,
    /// Zones out of service.
    out: BTreeSet<Name>,
    /// Zones that only stay out of service since an older copy of the store lacks them, each with the
    /// time left.
    held: BTreeMap<Name, Micros>,
    /// Next page, unless the peer has the routing.
    page: Option<RoutingPage>,
}

/// How a pull of routing and zones goes on after a reply.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum PullStep {
    /// This node knows what the sender knew.
    Done,
    /// A page was added, and more follow.
    Next,
    /// The page does not fit to those received.
    Stuck,
}

/// Returns whether a peer's knowledge of this age shows that the store answers.
fn is_fresh(age: Option<Micros>) -> bool {
    age.is_some_and(|age| age <= FRESH_TIME)
}

fn query_number(head: &Parts, name: &str) -> Option<u64> {
    let pairs = head.uri.query()?.split('&').filter_map(|pair| pair.split_once('='));
    pairs.into_iter().find(|(key, _)| *key == name)?.1.parse().ok()
}

fn encode(reply: &impl Serialize) -> Response<Full<Content>> {
    match postcard::to_stdvec(reply) {
        Ok(body) => Response::new(Full::new(Content::from(body))),
        Err(error) => {
            event::warn(Event::PullFailed, &[("to", &"peer"), ("why", &error)]);
            response::local(StatusCode::INTERNAL_SERVER_ERROR, "changes-not-encoded")
        }
    }
}

impl Node {
    /// Pulls `topics` from a random node, of this zone if possible; returns whether all succeeded.
    pub(crate) async fn pull_from_any(&self, topics: &[Topic]) -> bool {
        let zone_peer = {
            let peers = self.zone_peers();
            peers.into_iter().choose(&mut self.lock().rng)
        };
        let Some(peer) = zone_peer.or_else(|| self.random_peer()) else { return false };
        for topic in topics {
            if !self.pull_from(peer, *topic).await {
                return false;
            }
        }
        true
    }

    /// Pulls changes from peers with a newer revision until there is none.
    pub(crate) async fn pull_changes(self: Arc<Self>, topic: Topic) {
        let delay = if self.reads_store() { READER_PULL_DELAY } else { self.pull_delay() };
        let remote = if self.only_remote_is_newer(topic) { REMOTE_PULL_DELAY } else { 0 };
        self.timer.sleep(delay + remote).await;
        while let Some(from) = self.newer_peer(topic) {
            self.pull_from(from, topic).await;
        }
    }

    /// Pulls changes from a peer; returns whether that succeeded.
    async fn pull_from(&self, from: IpAddr, topic: Topic) -> bool {
        let result = match topic {
            Topic::Upstreams => self.pull_upstreams(from).await,
            Topic::Control => self.pull_control(from).await,
        };
        let Err(why) = result else { return true };
        let values: [(&str, &dyn std::fmt::Display); 3] =
            [("topic", &topic.name()), ("from", &from), ("why", &why)];
        event::info(Event::PullFailed, &values);
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

    /// Returns whether all peers that announced a newer revision are in other regions.
    fn only_remote_is_newer(&self, topic: Topic) -> bool {
        let mut state = self.lock();
        let peers: Vec<IpAddr> = state.knowledge(topic).newer_peers.keys().copied().collect();
        let is_remote = |ip: &IpAddr| state.distance(&self.settings, *ip) == Some(Distance::Remote);
        !peers.is_empty() && peers.iter().all(is_remote)
    }

    /// Takes a random peer that announced a newer revision; if there is none, this pull ends.
    fn newer_peer(&self, topic: Topic) -> Option<IpAddr> {
        let mut state = self.lock();
        let state = &mut *state;
        let through = state.view.revision(topic);
        let rng = &mut state.rng;
        let knowledge = match topic {
            Topic::Upstreams => &mut state.upstreams,
            Topic::Control => &mut state.control,
        };
        knowledge.newer_peers.retain(|_, revision| *revision > through);
        // Traffic between zones costs more, and more still between regions.
        let distance = |ip: &IpAddr| {
            state.index.zone(*ip).map_or(Distance::Region, |zone| self.settings.distance(zone))
        };
        let nearest = knowledge.newer_peers.keys().map(distance).min();
        let near = knowledge.newer_peers.keys().filter(|ip| Some(distance(ip)) == nearest);
        let peer = near.copied().choose(rng);
        match peer {
            Some(peer) => drop(knowledge.newer_peers.remove(&peer)),
            None => knowledge.pulling = false,
        }
        peer
    }

    async fn pull_upstreams(&self, from: IpAddr) -> Result<(), String> {
        let since = self.revision(Topic::Upstreams);
        let path = format!("{UPSTREAMS_PATH}?since={since}");
        let asked = self.now();
        let reply: UpstreamsReply = self.fetch(from, &path).await?;
        let now = self.now();
        {
            let mut state = self.lock();
            if is_fresh(reply.age) {
                state.record_answer(&self.settings, now, asked);
            }
            state.upstreams.confirmed = true;
        }
        let (through, age) = (reply.through, reply.age);
        let effects = self.apply_upstreams(now, since, reply);
        let mut state = self.lock();
        if state.view.through >= through {
            state.upstreams.freshness.confirm(asked, age);
            if is_fresh(age) {
                state.view.end_grace();
            }
        }
        drop(state);
        self.log_restored("peer", Topic::Upstreams, since);
        self.view_changed("peer", Topic::Upstreams, &effects);
        Ok(())
    }

    /// Applies the reply of a peer that was asked for changes after `since`, unless this node has
    /// learned as much meanwhile. What the peer only keeps since its outage has left for a node that had
    /// none.
    fn apply_upstreams(&self, now: Micros, since: Revision, reply: UpstreamsReply) -> Vec<Effect> {
        let UpstreamsReply { through, kept, content, .. } = reply;
        let mut state = self.lock();
        let state = &mut *state;
        let spares = state.outage.spares(now, shortest_outage(self.settings.heartbeat));
        match content {
            UpstreamsContent::Changes(_) if state.view.through != since => Vec::new(),
            UpstreamsContent::Changes(changes) => {
                state.history.extend(&changes);
                state.view.apply_upstreams(now, through, changes, &kept, spares)
            }
            UpstreamsContent::Snapshot(_) if through <= state.view.through => Vec::new(),
            UpstreamsContent::Snapshot(upstreams) => {
                state.history.reset(through);
                state.view.update_upstreams(now, through, upstreams, &kept, spares)
            }
        }
    }

    /// Pulls zones and all pages of the routing. A page that does not arrive ends the pull; the
    /// next one, from any peer, continues after the pages received.
    async fn pull_control(&self, from: IpAddr) -> Result<(), String> {
        for _ in 0..MAX_PAGES {
            let request = {
                let state = self.lock();
                let have = state.view.routing.as_ref().map_or(0, |routing| routing.version);
                state.transfer.request(have)
            };
            let PageRequest { have, base, version, offset } = request;
            let query = format!("have={have}&base={base}&version={version}&offset={offset}");
            let asked = self.now();
            let reply: ControlReply = self.fetch(from, &format!("{CONTROL_PATH}?{query}")).await?;
            match self.apply_control(asked, reply) {
                PullStep::Done => return Ok(()),
                PullStep::Next => {}
                PullStep::Stuck => return Err("page of another transfer".to_owned()),
            }
        }
        Err(format!("more than {MAX_PAGES} pages"))
    }

    /// Applies the reply of a peer that was asked at `asked`.
    fn apply_control(&self, asked: Micros, reply: ControlReply) -> PullStep {
        let now = self.now();
        let known = self.revision(Topic::Control);
        let (effects, step) = {
            let mut state = self.lock();
            let state = &mut *state;
            let mut effects =
                state.view.update_zones(now, reply.zones_through, reply.out, &reply.held);
            let result = reply.page.map(|page| state.transfer.add(page, &state.routings));
            let added = result != Some(PageResult::Ignored);
            match result {
                Some(PageResult::Complete(received)) => {
                    state.view.advance(Topic::Control, received.revision);
                    let effect = state.view.set_routing(Arc::new(received.routing));
                    effects.extend(Some(effect).filter(|effect| *effect != Effect::Unchanged));
                    state.record_routing();
                }
                Some(_) => {}
                None => state.view.advance(Topic::Control, reply.revision),
            }
            if added {
                state.control.lag.record_progress(now);
            }
            let done = state.view.control >= reply.revision;
            state.control.confirmed |= done;
            if done {
                state.control.freshness.confirm(asked, reply.age);
            }
            let step = match (done, added) {
                (true, _) => PullStep::Done,
                (false, true) => PullStep::Next,
                (false, false) => PullStep::Stuck,
            };
            (effects, step)
        };
        self.log_restored("peer", Topic::Control, known);
        self.view_changed("peer", Topic::Control, &effects);
        step
    }

    /// Applies changes from the store after revision `after`, unless the topic has changed since.
    pub(crate) fn apply_changes(
        &self,
        topic: Topic,
        after: Revision,
        through: Revision,
        changes: Vec<ViewChange>,
    ) {
        let now = self.now();
        let effects: Vec<Effect> = {
            let mut state = self.lock();
            let state = &mut *state;
            if state.view.revision(topic) != after {
                return;
            }
            if topic == Topic::Upstreams {
                state.history.extend(&changes);
            }
            let effects = state.view.apply_changes(now, topic, through, changes);
            state.record_routing();
            effects
        };
        self.view_changed("store", topic, &effects);
    }

    async fn fetch<T: DeserializeOwned>(&self, from: IpAddr, path: &str) -> Result<T, String> {
        let gate = SocketAddr::new(from, self.settings.peers.port());
        let reuses = self.peer_pool.has_idle(gate);
        let mut fetched = self.fetch_in_time(gate, path).await;
        // The connections to that node may have gone silent, while new ones work.
        if fetched.is_none() && reuses {
            self.peer_pool.close_idle(gate);
            fetched = self.fetch_in_time(gate, path).await;
        }
        let body = fetched.unwrap_or_else(|| Err("late".to_owned()))?;
        postcard::from_bytes(&body.to_vec()).map_err(|error| error.to_string())
    }

    async fn fetch_in_time(&self, gate: SocketAddr, path: &str) -> Option<Result<Content, String>> {
        let deadline = self.now() + PULL_TIMEOUT;
        self.timer.timeout_at(deadline, self.fetch_body(gate, path)).await
    }

    async fn fetch_body(&self, gate: SocketAddr, path: &str) -> Result<Content, String> {
        let request = Request::get(path).header(http::header::HOST, gate.to_string());
        let request = request.body(Full::default()).map_err(|error| error.to_string())?;
        let received = self.peer_pool.send(gate, request).await;
        let (response, conn) = received.map_err(|error| error.to_string())?;
        let status = response.status();
        let body = self.peer_pool.read_body(response.into_body(), &conn).await;
        let body = body.map_err(|error| error.to_string())?;
        self.peer_pool.put(conn, None);
        if status != StatusCode::OK {
            return Err(format!("status {}", status.as_u16()));
        }
        Ok(body)
    }

    /// Handles a peer's request for changes.
    pub(crate) fn serve_changes(&self, head: &Parts) -> Response<Full<Content>> {
        match head.uri.path() {
            UPSTREAMS_PATH => self.serve_upstreams(head),
            CONTROL_PATH => self.serve_control(head),
            _ => response::local(StatusCode::NOT_FOUND, "not-a-peer-request"),
        }
    }

    fn serve_upstreams(&self, head: &Parts) -> Response<Full<Content>> {
        let Some(since) = query_number(head, "since") else {
            return response::local(StatusCode::NOT_FOUND, "not-a-peer-request");
        };
        let now = self.now();
        let reply = {
            let state = self.lock();
            if !state.upstreams.confirmed {
                return response::local(StatusCode::SERVICE_UNAVAILABLE, "unconfirmed");
            }
            let content = match state.history.since(since) {
                Some(changes) => UpstreamsContent::Changes(changes),
                None => UpstreamsContent::Snapshot(state.view.listed()),
            };
            UpstreamsReply {
                through: state.view.through,
                age: state.age(now, Topic::Upstreams),
                kept: state.view.kept(now),
                content,
            }
        };
        encode(&reply)
    }

    fn serve_control(&self, head: &Parts) -> Response<Full<Content>> {
        let number = |name| query_number(head, name);
        let (Some(have), Some(base), Some(version), Some(offset)) =
            (number("have"), number("base"), number("version"), number("offset"))
        else {
            return response::local(StatusCode::NOT_FOUND, "not-a-peer-request");
        };
        let request = PageRequest { have, base, version, offset: offset as usize };
        let now = self.now();
        let reply = {
            let mut state = self.lock();
            if !state.control.confirmed {
                return response::local(StatusCode::SERVICE_UNAVAILABLE, "unconfirmed");
            }
            let newest = state.view.routing.as_ref().map(|routing| routing.version);
            let mut page = state.routings.page(&request);
            if let Some(page) = page.as_mut().filter(|page| Some(page.version) == newest) {
                page.revision = state.view.control;
            }
            ControlReply {
                revision: state.view.control,
                age: state.age(now, Topic::Control),
                zones_through: state.view.zones_through,
                out: state.view.out.clone(),
                held: state.view.held_zones(now),
                page,
            }
        };
        encode(&reply)
    }
}
