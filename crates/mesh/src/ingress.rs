//! Ingress side: takes a caller's request to an upstream and returns the answer.

use std::net::IpAddr;
use std::sync::Arc;

use bbv_core::admission::Reason;
use bbv_core::route::{Name, Route, Routing};
use bbv_core::units::{MS, Micros, SEC};
use bbv_platform::header;
use bytes::Bytes;
use http::header::{CONNECTION, CONTENT_LENGTH, HOST, HeaderValue, RETRY_AFTER};
use http::request::Parts;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Incoming};
use rand::Rng;
use siphasher::sip::SipHasher13;
use std::hash::Hasher;

use crate::answer;
use crate::gate::Ran;
use crate::message::{Ask, Ended, Reply};
use crate::node::{Node, Open, SILENT, SILENT_FAR, State, Usual};
use crate::pool::SendError;

/// Time that is left where a caller names no deadline.
const DEADLINE_DEFAULT: Micros = 30 * SEC;
/// Work expected of a route of which nothing is known yet.
const WORK_UNKNOWN: f64 = 50_000.0;
const BYTES_UNKNOWN: f64 = 2_000.0;
/// Gain of the means of work and bytes.
const USUAL_GAIN: f64 = 0.1;
/// Gates that may refuse one request before it is refused to its caller.
const REFUSALS_MAX: usize = 4;
/// Time for which an unreachable gate is left out; it doubles with each failure in a row.
const AVOID_UNREACHABLE: Micros = 500 * MS;
const AVOID_DOUBLINGS: u32 = 4;
/// Time for which a gate that refused is left out, at most.
const AVOID_REFUSING: Micros = 30 * MS;
/// Time named to a caller when nothing says when there is room.
const RETRY_UNKNOWN: Micros = 200 * MS;
/// Way there and back that is expected between zones until it was measured.
const LINK_UNKNOWN: Micros = 10 * MS;
const LINK_GAIN: u64 = 8;
/// Loss that a kilobyte between zones is worth, as a share of a request.
const ZONE_KB_COST: f64 = 0.2;
/// Spread of choices between upstreams that are nearly equal, so that ingresses do not
/// all send to one.
const JITTER: f64 = 0.03;
/// Loss that an unreachable or stopping gate is worth; any other one is better.
const UNREACHABLE_COST: f64 = 10.0;

/// One request of a caller.
struct Call {
    route: Arc<Route>,
    service: Name,
    attempt: HeaderValue,
    arrived: Micros,
    deadline: Micros,
    print: u64,
    head: Parts,
    body: Bytes,
}

/// Gives back what one send holds, also when its caller goes away.
struct Sent {
    node: Arc<Node>,
    instance: Name,
    id: u64,
}

impl Drop for Sent {
    fn drop(&mut self) {
        if let Some(target) = self.node.lock().targets.get_mut(&self.instance) {
            target.done(self.id);
        }
    }
}

/// How a request ended for its caller.
struct Outcome {
    ended: &'static str,
    response: Response<Full<Bytes>>,
}

impl Outcome {
    fn own(status: StatusCode, ended: &'static str) -> Self {
        Outcome { ended, response: answer::own(status, ended) }
    }

    fn refused(ended: &'static str, retry: Micros) -> Self {
        let mut outcome = Outcome::own(StatusCode::SERVICE_UNAVAILABLE, ended);
        let seconds = format!("{:.3}", retry as f64 / 1e6);
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            outcome.response.headers_mut().insert(RETRY_AFTER, value);
        }
        outcome
    }
}

/// Result of sending a request to one gate.
enum Tried {
    Ran(Ran),
    Unsent(String),
    Lost(String),
    Late,
}

impl Node {
    /// Serves one request of a caller.
    pub(crate) async fn serve_caller(
        self: &Arc<Self>,
        request: Request<Incoming>,
    ) -> Response<Full<Bytes>> {
        let arrived = self.now();
        let _open = Open::new(self);
        let id = request.headers().get(header::ATTEMPT).cloned();
        let mut outcome = match self.accept(request, arrived).await {
            Ok(call) => self.send(call).await,
            Err(outcome) => outcome,
        };
        let took = self.now() - arrived;
        self.metrics.call(outcome.ended, took);
        let status = outcome.response.status().as_u16();
        if outcome.ended != "answered" || status >= 500 {
            log::info!(
                "event=call id={id:?} ended={} status={status} took_us={took}",
                outcome.ended
            );
        }
        let headers = outcome.response.headers_mut();
        if let (Some(id), false) = (id, headers.contains_key(header::ATTEMPT)) {
            headers.insert(header::ATTEMPT, id);
        }
        if self.stopping() {
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        }
        outcome.response
    }

    /// Reads a request and finds its route.
    async fn accept(&self, request: Request<Incoming>, arrived: Micros) -> Result<Call, Outcome> {
        let routing = self.lock().view.routing.clone();
        let Some(routing) = routing else {
            return Err(Outcome::refused("no-routing", RETRY_UNKNOWN));
        };
        let (mut head, body) = request.into_parts();
        let route = find(&routing, &head).ok_or(Outcome::own(StatusCode::NOT_FOUND, "no-route"))?;
        let Some(attempt) = head.headers.get(header::ATTEMPT).cloned() else {
            return Err(Outcome::own(StatusCode::BAD_REQUEST, "no-attempt-id"));
        };
        let wanted = header::deadline(&head.headers);
        let wanted = wanted.map_or(DEADLINE_DEFAULT, |wait| wait.as_micros() as Micros);
        let deadline = arrived + wanted.min(route.timeout);
        if body.size_hint().lower() > routing.limits.body as u64 {
            return Err(Outcome::own(StatusCode::PAYLOAD_TOO_LARGE, "body-too-large"));
        }
        let limited = Limited::new(body, routing.limits.body);
        let body = match self.timer.limit(deadline, limited.collect()).await {
            Some(Ok(body)) => body.to_bytes(),
            Some(Err(error)) => {
                log::info!("event=caller-broken id={attempt:?} error={error:?}");
                return Err(Outcome::own(StatusCode::BAD_REQUEST, "body-broken"));
            }
            None => return Err(Outcome::own(StatusCode::REQUEST_TIMEOUT, "body-late")),
        };
        let service = self.lock().splitter.next(&route);
        let print = fingerprint(&head, &body);
        head.headers.remove(CONTENT_LENGTH);
        answer::strip_connection(&mut head.headers);
        match HeaderValue::from_str(&self.settings.service) {
            Ok(service) => drop(head.headers.insert(header::CALLER, service)),
            Err(_) => return Err(Outcome::own(StatusCode::INTERNAL_SERVER_ERROR, "service-name")),
        }
        Ok(Call { route, service, attempt, arrived, deadline, print, head, body })
    }

    /// Sends a request to one upstream after another until it has an answer.
    async fn send(self: &Arc<Self>, call: Call) -> Outcome {
        self.earn(&call.service);
        let mut tried: Vec<Name> = Vec::new();
        let mut refusals = 0;
        let mut arrivals = 0;
        let mut last: Option<Outcome> = None;
        let mut retry = Micros::MAX;
        while refusals < REFUSALS_MAX {
            let Some((instance, gate)) = self.pick(&call, &tried) else { break };
            tried.push(instance.clone());
            match self.try_gate(&call, &instance, gate, refusals > 0).await {
                Tried::Late => return Outcome::own(StatusCode::GATEWAY_TIMEOUT, "late"),
                Tried::Unsent(why) => {
                    log::info!(
                        "event=gate-unreachable gate={gate} id={:?} why={why:?}",
                        call.attempt
                    );
                    refusals += 1;
                }
                Tried::Lost(why) => {
                    log::warn!("event=gate-lost gate={gate} id={:?} why={why:?}", call.attempt);
                    arrivals += 1;
                    last = Some(Outcome::own(StatusCode::BAD_GATEWAY, "lost"));
                    if !self.again(&call, arrivals) {
                        break;
                    }
                }
                Tried::Ran(ran) => match ran.reply.ended {
                    Ended::Answered => {
                        arrivals += 1;
                        let Some(response) = ran.response else { break };
                        let failed = response.status().is_server_error();
                        let outcome = Outcome { ended: "answered", response };
                        if !failed || !self.again(&call, arrivals) {
                            return outcome;
                        }
                        last = Some(outcome);
                    }
                    Ended::Lost => {
                        arrivals += 1;
                        last = Some(Outcome::own(StatusCode::BAD_GATEWAY, "lost"));
                        if !self.again(&call, arrivals) {
                            break;
                        }
                    }
                    Ended::Expired => return Outcome::own(StatusCode::GATEWAY_TIMEOUT, "expired"),
                    Ended::Poison => {
                        let outcome = Outcome::refused("poison", ran.reply.retry);
                        return last.unwrap_or(outcome);
                    }
                    Ended::Rejected => {
                        arrivals += 1;
                        let allowed = arrivals < call.route.attempts as usize;
                        if !allowed || !self.may_retry(&call.service) {
                            break;
                        }
                    }
                    Ended::Refused(Reason::Slow) => {
                        refusals += 1;
                        // Its report says how slow it is; it may still be the best choice.
                        tried.pop();
                    }
                    Ended::Refused(reason) => {
                        refusals += 1;
                        if reason != Reason::Closed {
                            retry = retry.min(ran.reply.retry);
                        }
                    }
                },
            }
        }
        let retry = if retry == Micros::MAX { RETRY_UNKNOWN } else { retry };
        last.unwrap_or_else(|| Outcome::refused("no-room", retry))
    }

    /// Whether a request that may have run is sent to a further upstream.
    fn again(&self, call: &Call, arrivals: usize) -> bool {
        let allowed = call.route.idempotent && arrivals < call.route.attempts as usize;
        allowed && self.now() < call.deadline && self.may_retry(&call.service)
    }

    /// Chooses the upstream with the least expected loss.
    fn pick(&self, call: &Call, tried: &[Name]) -> Option<(Name, std::net::SocketAddr)> {
        let now = self.now();
        let mut state = self.lock();
        let state = &mut *state;
        let usual = usual(state, &call.route);
        let target = (call.arrived + call.route.target).saturating_sub(now).max(MS) as f64;
        let mut best: Option<(f64, Name, std::net::SocketAddr)> = None;
        for (id, up) in state.view.usable(&call.service) {
            if tried.contains(id) {
                continue;
            }
            let mine = up.addr == self.settings.upstream;
            let peer = state.peers.get(&up.addr.ip()).copied().unwrap_or_default();
            let same_zone = *up.zone == *self.settings.zone;
            let unknown = if same_zone { MS } else { LINK_UNKNOWN };
            let link = if mine {
                0
            } else if peer.link > 0 {
                peer.link
            } else {
                unknown
            };
            let known = state.targets.get(id);
            let cost =
                known.cloned().unwrap_or_default().cost(now, usual.work as u64, up.slots, link);
            let mut loss = loss(cost as f64, target);
            if !same_zone {
                loss += ZONE_KB_COST * usual.bytes / 1_024.0;
            }
            let silence = if same_zone { SILENT } else { SILENT_FAR };
            let silent = !mine && peer.heard + silence < now && peer.asked > peer.heard;
            let closed = known.is_some_and(|target| target.closed(now));
            let avoided = known.is_some_and(|target| target.avoided(now));
            if closed || avoided || (!mine && peer.stopping) || silent {
                loss += UNREACHABLE_COST;
            }
            loss += state.rng.random_range(0.0..JITTER);
            if best.as_ref().is_none_or(|(least, _, _)| loss < *least) {
                best = Some((loss, id.clone(), up.addr));
            }
        }
        best.map(|(_, id, addr)| (id, addr))
    }

    async fn try_gate(
        self: &Arc<Self>,
        call: &Call,
        instance: &Name,
        upstream: std::net::SocketAddr,
        firm: bool,
    ) -> Tried {
        let now = self.now();
        let id = self.next_id();
        let mine = upstream == self.settings.upstream;
        let gate = self.gate_of(upstream);
        let ask = {
            let mut state = self.lock();
            state.targets.entry(instance.clone()).or_default().send(now, id);
            let peer = state.peers.entry(upstream.ip()).or_default();
            if peer.asked <= peer.heard {
                // Silence counts from the first request that nothing was heard after.
                peer.asked = now;
                peer.heard = peer.heard.max(now);
            }
            let link = if mine { 0 } else { peer.link / 2 };
            let work = usual(&state, &call.route).work as Micros;
            Ask {
                instance: instance.to_string(),
                left: call.deadline.saturating_sub(now + link),
                target: (call.arrived + call.route.target).saturating_sub(now + link),
                rank: call.route.rank,
                work,
                idempotent: call.route.idempotent,
                firm,
                print: call.print,
            }
        };
        let _sent = Sent { node: Arc::clone(self), instance: instance.clone(), id };
        let expected = ask.work;
        let future = async {
            if mine {
                let from = self.settings.peers.ip();
                return Tried::Ran(
                    self.run_here(from, ask, call.head.clone(), call.body.clone()).await,
                );
            }
            self.ask_peer(gate, &ask, call).await
        };
        let tried = self.timer.limit(call.deadline, future).await.unwrap_or(Tried::Late);
        self.learn(call, instance, upstream.ip(), now, expected, &tried);
        tried
    }

    async fn ask_peer(&self, gate: std::net::SocketAddr, ask: &Ask, call: &Call) -> Tried {
        let mut head = call.head.clone();
        ask.write(&mut head.headers);
        let request = Request::from_parts(head, Full::new(call.body.clone()));
        let (response, conn) = match self.peer_pool.send(gate, request).await {
            Ok(answered) => answered,
            Err(SendError::Unsent(why)) => return Tried::Unsent(why),
            Err(SendError::Lost(why)) => return Tried::Lost(why),
        };
        let (mut head, body) = response.into_parts();
        let body = match body.collect().await {
            Ok(body) => body.to_bytes(),
            Err(error) => return Tried::Lost(error.to_string()),
        };
        self.peer_pool.put(conn, None);
        let Some(reply) = Reply::take(&mut head.headers) else {
            return Tried::Lost("gate sent no reply".to_owned());
        };
        let answered = reply.ended == Ended::Answered;
        let response = answered.then(|| answer::pass_on(&call.head.method, head, body));
        Tried::Ran(Ran { reply, response })
    }

    /// Learns from one send: load, link, work and failures.
    fn learn(
        &self,
        call: &Call,
        instance: &Name,
        ip: IpAddr,
        sent: Micros,
        expected: Micros,
        tried: &Tried,
    ) {
        let now = self.now();
        let mut state = self.lock();
        let state = &mut *state;
        let target = state.targets.entry(instance.clone()).or_default();
        let reply = match tried {
            Tried::Ran(ran) => ran.reply,
            Tried::Unsent(_) => {
                let peer = state.peers.entry(ip).or_default();
                let longer = peer.unreachable.min(AVOID_DOUBLINGS);
                peer.unreachable += 1;
                return target.avoid(now + (AVOID_UNREACHABLE << longer));
            }
            Tried::Lost(_) | Tried::Late => return target.judge(now, false, 1.0),
        };
        target.learn(now, reply.report);
        match reply.ended {
            Ended::Answered => {
                let good = matches!(tried, Tried::Ran(ran) if ran.response.as_ref()
                    .is_some_and(|response| !response.status().is_server_error()));
                target.judge(now, good, reply.work as f64 / expected.max(1) as f64);
            }
            Ended::Lost | Ended::Expired | Ended::Rejected => target.judge(now, false, 1.0),
            Ended::Refused(Reason::Slow) => {}
            Ended::Refused(_) | Ended::Poison => {
                target.avoid(now + reply.retry.min(AVOID_REFUSING));
            }
        }
        let peer = state.peers.entry(ip).or_default();
        peer.heard = now;
        peer.unreachable = 0;
        let link = (now - sent).saturating_sub(reply.held);
        peer.link = if peer.link == 0 {
            link
        } else {
            peer.link - peer.link / LINK_GAIN + link / LINK_GAIN
        };
        if let (Ended::Answered, Tried::Ran(Ran { response: Some(response), .. })) =
            (reply.ended, tried)
        {
            let bytes = response.body().size_hint().lower() as f64;
            let held = usual(state, &call.route);
            let work = held.work + (reply.work as f64 - held.work) * USUAL_GAIN;
            let bytes = held.bytes + (bytes - held.bytes) * USUAL_GAIN;
            state.usual.insert(call.route.name.clone(), Usual { work, bytes });
        }
    }
}

fn usual(state: &State, route: &Route) -> Usual {
    let unknown = Usual { work: WORK_UNKNOWN.min(route.target as f64 / 2.0), bytes: BYTES_UNKNOWN };
    state.usual.get(&route.name).copied().unwrap_or(unknown)
}

/// Expected loss of a request that takes `cost` when `target` is left, from 0 to more
/// than 1; it grows slowly while the target is kept for sure and is steep around it.
fn loss(cost: f64, target: f64) -> f64 {
    let ratio = cost / target;
    0.05 * ratio + ((ratio - 0.4) / 0.8).clamp(0.0, 1.0)
}

fn find(routing: &Routing, head: &Parts) -> Option<Arc<Route>> {
    let host = head.uri.host().or_else(|| head.headers.get(HOST)?.to_str().ok())?;
    routing.find(host, head.uri.path()).cloned()
}

fn fingerprint(head: &Parts, body: &Bytes) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(head.method.as_str().as_bytes());
    hasher.write(head.uri.to_string().as_bytes());
    hasher.write(body);
    hasher.finish()
}
