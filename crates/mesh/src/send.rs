//! Sends a request to one upstream after another until it has an answer.

use std::net::SocketAddr;
use std::sync::Arc;

use bbv_core::admission::RefusalReason;
use bbv_core::placement;
use bbv_core::route::Name;
use bbv_core::units::{MS, Micros};
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full};
use rand::Rng;

use crate::answer;
use crate::event::{self, Event};
use crate::gate::Ran;
use crate::ingress::{Call, Outcome, RETRY_UNKNOWN};
use crate::message::{Ask, Ended, Reply};
use crate::node::Node;
use crate::pool::SendError;

/// Gates that may refuse one request before it is refused to its caller.
const REFUSALS_MAX: usize = 4;
/// Time for which a gate that refused is left out, at most.
const AVOID_REFUSING: Micros = 30 * MS;
/// Spread of choices between upstreams that are nearly equal, so that ingresses do not
/// all send to one.
const JITTER: f64 = 0.03;
/// Loss of a choice that is taken only where there is no other one.
const LAST_CHOICE: f64 = 10.0;

/// Counts a send as open at its target until it ends or its caller goes away.
struct Sent {
    node: Arc<Node>,
    instance: Name,
    id: u64,
}

impl Drop for Sent {
    fn drop(&mut self) {
        if let Some(target) = self.node.lock().targets.get_mut(&self.instance) {
            target.record_end(self.id);
        }
    }
}

/// Upstream that was chosen for a send.
struct Choice {
    instance: Name,
    addr: SocketAddr,
    /// Age of the report of its load; none if there is none.
    age: Option<Micros>,
}

/// Result of sending a request to one gate.
enum Tried {
    Ran(Ran),
    Unsent(String),
    Lost(String),
    Late,
}

impl Tried {
    fn name(&self) -> &'static str {
        match self {
            Tried::Ran(ran) => ran.reply.ended.name(),
            Tried::Unsent(_) => "unsent",
            Tried::Lost(_) => "gate-lost",
            Tried::Late => "late",
        }
    }

    fn why(&self) -> &str {
        match self {
            Tried::Unsent(why) | Tried::Lost(why) => why,
            Tried::Ran(_) | Tried::Late => "none",
        }
    }

    fn good(&self) -> bool {
        let response = match self {
            Tried::Ran(ran) => ran.response.as_ref(),
            _ => None,
        };
        response.is_some_and(|response| !response.status().is_server_error())
    }
}

/// What the sends of one request came to so far.
#[derive(Default)]
struct Progress {
    tried: Vec<Name>,
    sends: usize,
    refusals: usize,
    arrivals: usize,
    retry: Option<Micros>,
    last: Option<Outcome>,
}

/// What follows after a send.
enum Next {
    Another,
    Stop,
    Done(Outcome),
}

impl Node {
    /// Sends a request to one upstream after another until it has an answer.
    pub(crate) async fn send(self: &Arc<Self>, call: Call) -> Outcome {
        self.earn(&call.service);
        let mut progress = Progress::default();
        let mut outcome = self.send_until_done(&call, &mut progress).await;
        outcome.sends = progress.sends;
        outcome.known = self.lock().index.usable(&call.service).len();
        outcome
    }

    async fn send_until_done(self: &Arc<Self>, call: &Call, progress: &mut Progress) -> Outcome {
        while progress.refusals < REFUSALS_MAX {
            let Some(choice) = self.pick(call, &progress.tried) else { break };
            progress.tried.push(choice.instance.clone());
            progress.sends += 1;
            let tried = self.try_gate(call, &choice, progress.refusals > 0).await;
            match self.judge(call, progress, tried) {
                Next::Another => {}
                Next::Stop => break,
                Next::Done(outcome) => return outcome,
            }
        }
        let retry = progress.retry.unwrap_or(RETRY_UNKNOWN);
        progress.last.take().unwrap_or_else(|| Outcome::refused("no-room", retry))
    }

    /// Decides what follows after a send.
    fn judge(&self, call: &Call, progress: &mut Progress, tried: Tried) -> Next {
        match tried {
            Tried::Late => Next::Done(Outcome::own(StatusCode::GATEWAY_TIMEOUT, "late")),
            Tried::Unsent(_) => {
                progress.refusals += 1;
                Next::Another
            }
            Tried::Lost(_) => self.judge_lost(call, progress),
            Tried::Ran(ran) => self.judge_ran(call, progress, ran),
        }
    }

    fn judge_ran(&self, call: &Call, progress: &mut Progress, ran: Ran) -> Next {
        match (ran.reply.ended, ran.response) {
            (Ended::Answered, Some(response)) => {
                progress.arrivals += 1;
                let failed = response.status().is_server_error();
                let outcome = Outcome { ended: "answered", response, sends: 0, known: 0 };
                if !failed || !self.may_run_again(call, progress) {
                    return Next::Done(outcome);
                }
                progress.last = Some(outcome);
                Next::Another
            }
            (Ended::Answered | Ended::Lost, _) => self.judge_lost(call, progress),
            (Ended::Expired, _) => Next::Done(Outcome::own(StatusCode::GATEWAY_TIMEOUT, "expired")),
            (Ended::Poison, _) => {
                let refused = Outcome::refused("poison", ran.reply.retry);
                Next::Done(progress.last.take().unwrap_or(refused))
            }
            (Ended::Unsent, _) => {
                progress.refusals += 1;
                Next::Another
            }
            (Ended::Rejected, _) => {
                progress.arrivals += 1;
                let allowed = progress.arrivals < call.route.attempts as usize;
                if allowed && self.may_retry(&call.service) { Next::Another } else { Next::Stop }
            }
            (Ended::Refused(reason), _) => {
                progress.refusals += 1;
                match reason {
                    // Its report says how slow it is; it may still be the best choice.
                    RefusalReason::Slow => drop(progress.tried.pop()),
                    RefusalReason::Closed => {}
                    RefusalReason::Late | RefusalReason::Full | RefusalReason::Cold => {
                        let retry = ran.reply.retry;
                        progress.retry = Some(progress.retry.map_or(retry, |held| held.min(retry)));
                    }
                }
                Next::Another
            }
        }
    }

    fn judge_lost(&self, call: &Call, progress: &mut Progress) -> Next {
        progress.arrivals += 1;
        progress.last = Some(Outcome::own(StatusCode::BAD_GATEWAY, "lost"));
        if self.may_run_again(call, progress) { Next::Another } else { Next::Stop }
    }

    /// Whether a request that may have run is sent to a further upstream.
    fn may_run_again(&self, call: &Call, progress: &Progress) -> bool {
        let allowed = call.route.idempotent && progress.arrivals < call.route.attempts as usize;
        allowed && self.now() < call.deadline && self.may_retry(&call.service)
    }

    /// Chooses the upstream with the least expected loss.
    fn pick(&self, call: &Call, tried: &[Name]) -> Option<Choice> {
        let now = self.now();
        let mut state = self.lock();
        let state = &mut *state;
        let profile = state.profile(&call.route);
        let target = (call.arrived + call.route.target).saturating_sub(now).max(MS);
        let kb_cost = self.settings.zone_kb_cost * profile.bytes / 1_024.0;
        let mut best: Option<(f64, Choice)> = None;
        for (id, up) in state.index.usable(&call.service) {
            if tried.contains(id) {
                continue;
            }
            let mine = up.addr == self.settings.upstream;
            let near = *up.zone == *self.settings.zone;
            let peer = state.peers.get(&up.addr.ip()).copied().unwrap_or_default();
            let known = state.targets.get(id).cloned().unwrap_or_default();
            let link = if mine { 0 } else { peer.expected_link(near) };
            let cost = known.cost(now, profile.work as Micros, up.slots, link);
            let mut loss = placement::loss(cost, target);
            if !near {
                loss += kb_cost;
            }
            let missing = !mine && (peer.stopping || peer.silent(now, near));
            if missing || known.is_closed(now) || known.is_avoided(now) {
                loss += LAST_CHOICE;
            }
            loss += state.rng.random_range(0.0..JITTER);
            if best.as_ref().is_none_or(|(least, _)| loss < *least) {
                let choice =
                    Choice { instance: id.clone(), addr: up.addr, age: known.report_age(now) };
                best = Some((loss, choice));
            }
        }
        best.map(|(_, choice)| choice)
    }

    /// Sends a request to the gate of one upstream and learns from what becomes of it.
    async fn try_gate(self: &Arc<Self>, call: &Call, choice: &Choice, firm: bool) -> Tried {
        let sent = self.now();
        let id = self.next_id();
        let mine = choice.addr == self.settings.upstream;
        let ask = self.ask(call, choice, id, firm);
        let _sent = Sent { node: Arc::clone(self), instance: choice.instance.clone(), id };
        let expected = ask.work;
        let sending = async {
            if mine {
                let own = self.settings.peers.ip();
                let (head, body) = (call.head.clone(), call.body.clone());
                return Tried::Ran(self.run_here(own, ask, head, body).await);
            }
            self.ask_peer(self.gate_of(choice.addr), &ask, call).await
        };
        let tried = self.timer.timeout_at(call.deadline, sending).await.unwrap_or(Tried::Late);
        self.learn(call, choice, sent, expected, &tried);
        self.record_try(call, choice, &tried);
        tried
    }

    fn record_try(&self, call: &Call, choice: &Choice, tried: &Tried) {
        let age = choice.age.map_or(-1, |age| (age / MS) as i64);
        let id = call.attempt.to_str().unwrap_or("none");
        let write = if tried.good() { event::debug } else { event::info };
        write(
            Event::Tried,
            &[
                ("id", &id),
                ("route", &call.route.name),
                ("instance", &choice.instance),
                ("gate", &choice.addr.ip()),
                ("ended", &tried.name()),
                ("why", &tried.why()),
                ("report_age_ms", &age),
                ("version", &call.version),
            ],
        );
    }

    /// What the gate is told of a request, which is counted as sent.
    fn ask(&self, call: &Call, choice: &Choice, id: u64, firm: bool) -> Ask {
        let now = self.now();
        let mut state = self.lock();
        state.targets.entry(choice.instance.clone()).or_default().record_send(now, id);
        let peer = state.peers.entry(choice.addr.ip()).or_default();
        if peer.asked <= peer.heard {
            // Silence counts from the first request that nothing was heard after.
            peer.asked = now;
            peer.heard = peer.heard.max(now);
        }
        let way = peer.link / 2;
        let work = state.profile(&call.route).work as Micros;
        Ask {
            instance: choice.instance.to_string(),
            left: call.deadline.saturating_sub(now + way),
            target: (call.arrived + call.route.target).saturating_sub(now + way),
            rank: call.route.rank,
            work,
            firm,
            print: call.print,
        }
    }

    async fn ask_peer(&self, gate: SocketAddr, ask: &Ask, call: &Call) -> Tried {
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
    fn learn(&self, call: &Call, choice: &Choice, sent: Micros, expected: Micros, tried: &Tried) {
        let now = self.now();
        let mut state = self.lock();
        let state = &mut *state;
        let ip = choice.addr.ip();
        let target = state.targets.entry(choice.instance.clone()).or_default();
        let reply = match tried {
            Tried::Ran(ran) => ran.reply,
            Tried::Unsent(_) => return state.learn_unreachable(now, &choice.instance, ip),
            Tried::Lost(_) | Tried::Late => return target.record_outcome(now, false, 1.0),
        };
        target.record_report(now, reply.report);
        match reply.ended {
            Ended::Answered => {
                let ratio = reply.work as f64 / expected.max(1) as f64;
                target.record_outcome(now, tried.good(), ratio);
            }
            Ended::Lost | Ended::Expired | Ended::Rejected | Ended::Unsent => {
                target.record_outcome(now, false, 1.0);
            }
            Ended::Refused(RefusalReason::Slow) => {}
            Ended::Refused(_) | Ended::Poison => {
                target.avoid(now + reply.retry.min(AVOID_REFUSING));
            }
        }
        let peer = state.peers.entry(ip).or_default();
        peer.heard = now;
        peer.unreachable = 0;
        peer.learn_link((now - sent).saturating_sub(reply.held));
        if let Tried::Ran(Ran { response: Some(response), .. }) = tried {
            state.learn_profile(&call.route, reply.work, response);
        }
    }
}
