//! Chooses upstreams for a request and sends it to their gates, with retries, until it has a
//! response or may not be retried.

use std::net::SocketAddr;
use std::sync::Arc;

use bbv_core::admission::RefusalReason;
use bbv_core::distance::Distance;
use bbv_core::placement::{self, UpstreamStats};
use bbv_core::region_choice::{self, Carriage};
use bbv_core::route::Name;
use bbv_core::units::{MS, Micros};
use http::{Request, StatusCode};
use http_body_util::Full;
use hyper::body::Body;
use rand::Rng;

use crate::completion::GateResult;
use crate::event::{self, Event};
use crate::homes::{NO_HOME, NO_HOME_RETRY_AFTER};
use crate::ingress::{ANSWERED, Call, CallOutcome, DEFAULT_RETRY_AFTER};
use crate::message::{self, GateOutcome, GateReply, GateRequest};
use crate::node::Node;
use crate::pool::SendError;
use crate::progress::Progress;
use crate::response;
use crate::send_result::SendResult;

/// Longest time for which an upstream is avoided after its gate refused a request.
const MAX_REFUSAL_AVOIDANCE: Micros = 30 * MS;
/// Time for which an upstream is avoided after its gate refused a request because the upstream
/// drains, is out of service or has been replaced; news of that arrives in the meantime.
const CLOSED_AVOIDANCE: Micros = 500 * MS;
/// Random loss added to each upstream, so that ingresses spread their requests over upstreams with
/// nearly equal losses.
const LOSS_JITTER: f64 = 0.03;
/// Loss added to an upstream that is chosen only if there is no other one.
const LAST_RESORT_LOSS: f64 = 10.0;

/// Counts a request as in flight at its upstream until it ends or the caller disconnects.
struct SendGuard {
    node: Arc<Node>,
    instance: Name,
    id: u64,
}

impl Drop for SendGuard {
    fn drop(&mut self) {
        if let Some(stats) = self.node.lock().upstream_stats.get_mut(&self.instance) {
            stats.record_end(self.id);
        }
    }
}

/// Upstream chosen for a send.
struct Choice {
    instance: Name,
    addr: SocketAddr,
    distance: Distance,
    /// Age of its load report; `None` without a report.
    report_age: Option<Micros>,
}

/// Next step after a send.
enum NextStep {
    Retry,
    Stop,
    Done(CallOutcome),
}

impl Node {
    /// Sends a request to one upstream after another until it has a response or may not be retried.
    pub(crate) async fn send(self: &Arc<Self>, call: Call) -> CallOutcome {
        self.earn_retry(&call.service);
        let mut progress = Progress::default();
        let mut outcome = self.send_until_done(&call, &mut progress).await;
        outcome.sends = progress.sends;
        outcome.usable = self.lock().index.usable(&call.service).len();
        outcome
    }

    async fn send_until_done(
        self: &Arc<Self>,
        call: &Call,
        progress: &mut Progress,
    ) -> CallOutcome {
        while !progress.is_exhausted() {
            let Some(choice) = self.choose_upstream(call, progress) else { break };
            progress.tried.push(choice.instance.clone());
            progress.sends += 1;
            let accept_slow = progress.accepts_slow(&choice.instance);
            let weight = if progress.sends == 1 { call.weight } else { 0.0 };
            let result = self.send_to_gate(call, &choice, accept_slow, weight).await;
            match self.next_step(call, progress, result) {
                NextStep::Retry => {}
                NextStep::Stop => break,
                NextStep::Done(outcome) => return outcome,
            }
        }
        if progress.sends == 0 && self.lacks_home(call) {
            return CallOutcome::refused(NO_HOME, NO_HOME_RETRY_AFTER);
        }
        let retry_after = progress.retry_after.unwrap_or(DEFAULT_RETRY_AFTER);
        progress.last_outcome.take().unwrap_or_else(|| CallOutcome::refused("no-room", retry_after))
    }

    /// Decides whether a request is retried after a send.
    fn next_step(&self, call: &Call, progress: &mut Progress, result: SendResult) -> NextStep {
        match result {
            SendResult::TimedOut => {
                NextStep::Done(CallOutcome::error(StatusCode::GATEWAY_TIMEOUT, "late"))
            }
            SendResult::Unsent(_) => {
                progress.refusals += 1;
                NextStep::Retry
            }
            SendResult::Lost(_) => self.step_after_loss(call, progress),
            SendResult::Replied(result) => self.step_after_reply(call, progress, *result),
        }
    }

    fn step_after_reply(
        &self,
        call: &Call,
        progress: &mut Progress,
        result: GateResult,
    ) -> NextStep {
        match (result.reply.outcome, result.response) {
            (GateOutcome::Answered, Some(response)) => {
                progress.attempts += 1;
                let failed = response.status().is_server_error();
                let outcome = CallOutcome { name: ANSWERED, response, sends: 0, usable: 0 };
                // The same call would be refused again.
                let hopeless = result.reply.call_refused;
                if !failed || hopeless || !self.may_resend(call, progress) {
                    return NextStep::Done(outcome);
                }
                progress.last_outcome = Some(outcome);
                NextStep::Retry
            }
            (GateOutcome::Answered | GateOutcome::Lost, _) => self.step_after_loss(call, progress),
            (GateOutcome::Expired, _) => {
                NextStep::Done(CallOutcome::error(StatusCode::GATEWAY_TIMEOUT, "expired"))
            }
            (GateOutcome::Poison, _) => {
                let refused = CallOutcome::refused("poison", result.reply.retry_after);
                NextStep::Done(progress.last_outcome.take().unwrap_or(refused))
            }
            (GateOutcome::Unsent, _) => {
                progress.refusals += 1;
                NextStep::Retry
            }
            (GateOutcome::Rejected, _) => {
                progress.attempts += 1;
                let allowed = progress.attempts < call.route.attempts as usize;
                if allowed && self.spend_retry(&call.service) {
                    NextStep::Retry
                } else {
                    NextStep::Stop
                }
            }
            (GateOutcome::Refused(reason), _) => {
                progress.refusals += usize::from(reason != RefusalReason::Closed);
                match reason {
                    // The report in the reply accounts for the slow period, so the upstream may be
                    // chosen again if it is still the best.
                    RefusalReason::Slow => progress.slow.extend(progress.tried.pop()),
                    RefusalReason::Closed => progress.closed += 1,
                    RefusalReason::Late | RefusalReason::Full | RefusalReason::Cold => {
                        let retry_after = result.reply.retry_after;
                        progress.retry_after = Some(
                            progress
                                .retry_after
                                .map_or(retry_after, |least| least.min(retry_after)),
                        );
                    }
                }
                NextStep::Retry
            }
        }
    }

    fn step_after_loss(&self, call: &Call, progress: &mut Progress) -> NextStep {
        progress.attempts += 1;
        progress.last_outcome = Some(CallOutcome::error(StatusCode::BAD_GATEWAY, "lost"));
        if self.may_resend(call, progress) { NextStep::Retry } else { NextStep::Stop }
    }

    /// Returns whether a request that may have run can be sent again.
    fn may_resend(&self, call: &Call, progress: &Progress) -> bool {
        let allowed = call.route.idempotent && progress.attempts < call.route.attempts as usize;
        allowed && self.now() < call.deadline && self.spend_retry(&call.service)
    }

    /// Chooses the upstream with the least expected loss.
    fn choose_upstream(&self, call: &Call, progress: &Progress) -> Option<Choice> {
        let now = self.now();
        let mut state = self.lock();
        let state = &mut *state;
        state.forget_hopeless(now, &call.route, call.deadline);
        let profile = state.profile(&call.route);
        let target = (call.arrived + call.route.target).saturating_sub(now).max(MS);
        let homes = state.homes(call);
        let kb_costs = self.settings.kb_costs();
        let carriage = Carriage {
            request_kb: call.body.len() as f64 / 1_024.0,
            response_kb: profile.response_bytes / 1_024.0,
        };
        let unknown = UpstreamStats::default();
        let mut best: Option<(f64, Choice)> = None;
        for (id, up) in state.index.usable(&call.service) {
            let region = self.settings.region(&up.zone);
            let barred = !homes.allows(region) || state.is_region_lost(region);
            if barred || progress.tried.contains(id) {
                continue;
            }
            let local = up.addr == self.settings.upstream;
            let distance = self.settings.distance(&up.zone);
            let same_zone = distance == Distance::Zone;
            let peer = state.peers.get(&up.addr.ip()).copied().unwrap_or_default();
            let stats = state.upstream_stats.get(id).unwrap_or(&unknown);
            let rtt = if local { 0 } else { peer.expected_rtt(distance) };
            let cost = stats.cost(now, profile.service_time as Micros, up.slots, rtt);
            let mut loss = placement::loss(cost, target);
            loss += region_choice::bytes_loss(distance, kb_costs, carriage);
            let unavailable = !local && (peer.stopping || peer.is_unresponsive(now, same_zone));
            if unavailable || stats.is_closed(now) || stats.is_avoided(now) {
                loss += LAST_RESORT_LOSS;
            }
            loss += state.rng.random_range(0.0..LOSS_JITTER);
            if best.as_ref().is_none_or(|(least, _)| loss < *least) {
                let choice = Choice {
                    instance: id.clone(),
                    addr: up.addr,
                    distance,
                    report_age: stats.report_age(now),
                };
                best = Some((loss, choice));
            }
        }
        best.map(|(_, choice)| choice)
    }

    /// Sends a request to the gate of an upstream and records the result.
    async fn send_to_gate(
        self: &Arc<Self>,
        call: &Call,
        choice: &Choice,
        accept_slow: bool,
        weight: f64,
    ) -> SendResult {
        let sent_at = self.now();
        let id = self.next_id();
        let local = choice.addr == self.settings.upstream;
        let mut metadata = self.start_send(call, choice, id, accept_slow);
        metadata.weight_pct = (weight * 100.0).round() as u32;
        let _guard = SendGuard { node: Arc::clone(self), instance: choice.instance.clone(), id };
        let expected = metadata.service_time;
        let sending = async {
            if local {
                let (head, body) = (call.head.clone(), call.body.clone());
                let result = self.run_locally(metadata, head, body).await;
                return SendResult::Replied(Box::new(result));
            }
            self.send_to_peer(self.gate_addr(choice.addr), &metadata, call).await
        };
        let result =
            self.timer.timeout_at(call.deadline, sending).await.unwrap_or(SendResult::TimedOut);
        self.record_result(call, choice, sent_at, expected, &result);
        self.log_send(call, choice, &result);
        result
    }

    fn log_send(&self, call: &Call, choice: &Choice, result: &SendResult) {
        let age = choice.report_age.map_or(-1, |age| (age / MS) as i64);
        let id = call.attempt_id.to_str().unwrap_or("none");
        let write = if result.is_routine() { event::debug } else { event::info };
        write(
            Event::Tried,
            &[
                ("id", &id),
                ("route", &call.route.name),
                ("instance", &choice.instance),
                ("gate", &choice.addr.ip()),
                ("ended", &result.name()),
                ("why", &result.cause()),
                ("report_age_ms", &age),
                ("version", &call.routing_version),
            ],
        );
    }

    /// Records a send and returns the metadata for the gate.
    fn start_send(&self, call: &Call, choice: &Choice, id: u64, accept_slow: bool) -> GateRequest {
        let now = self.now();
        let mut state = self.lock();
        state.upstream_stats.entry(choice.instance.clone()).or_default().record_send(now, id);
        state.record_region_request(&self.settings, now, choice.addr.ip());
        let peer = state.peers.entry(choice.addr.ip()).or_default();
        peer.record_request(now);
        let one_way = peer.rtt() / 2;
        let service_time = state.profile(&call.route).service_time as Micros;
        let target = if call.nested { call.deadline } else { call.arrived + call.route.target };
        GateRequest {
            ingress: self.settings.peers.ip(),
            known: state.known(),
            instance: choice.instance.to_string(),
            timeout: call.deadline.saturating_sub(now + one_way),
            target: target.saturating_sub(now + one_way),
            rank: call.rank,
            nested: call.nested,
            weight_pct: 100,
            service_time,
            accept_slow,
            fingerprint: call.fingerprint,
        }
    }

    async fn send_to_peer(
        &self,
        gate: SocketAddr,
        metadata: &GateRequest,
        call: &Call,
    ) -> SendResult {
        let mut head = call.head.clone();
        metadata.write(&mut head.headers);
        let request = Request::from_parts(head, Full::new(call.body.clone()));
        let (response, conn) = match self.peer_pool.send(gate, request).await {
            Ok(received) => received,
            Err(SendError::Unsent(cause)) => return SendResult::Unsent(cause),
            Err(SendError::Lost(cause)) => return SendResult::Lost(cause),
        };
        let (mut head, body) = response.into_parts();
        let body = match self.peer_pool.read_body(body, &conn).await {
            Ok(body) => body,
            Err(error) => return SendResult::Lost(error.to_string()),
        };
        self.peer_pool.put(conn, None);
        let calls = message::extract_calls(&mut head.headers);
        let Some(reply) = GateReply::extract(&mut head.headers) else {
            return SendResult::Lost(
                "response of the gate has no valid bbv-reply field".to_owned(),
            );
        };
        let answered = reply.outcome == GateOutcome::Answered;
        let response = answered.then(|| response::forwarded(&call.head.method, head, body));
        SendResult::Replied(Box::new(GateResult { reply, response, calls }))
    }

    /// Counts a send to another region and the bytes of the bodies.
    fn count_region_send(&self, call: &Call, choice: &Choice, result: &SendResult) {
        if choice.distance != Distance::Remote {
            return;
        }
        let response = match result {
            SendResult::Replied(result) => result.response.as_ref(),
            _ => None,
        };
        let received = response.map_or(0, |response| response.body().size_hint().lower());
        self.metrics.region_sends.inc();
        self.metrics.region_bytes.inc_by(call.body.len() as u64 + received);
    }

    /// Updates load, round-trip time, service time and failures after a send.
    fn record_result(
        self: &Arc<Self>,
        call: &Call,
        choice: &Choice,
        sent_at: Micros,
        expected: Micros,
        result: &SendResult,
    ) {
        let now = self.now();
        let ip = choice.addr.ip();
        if let SendResult::Replied(result) = result {
            self.learn_known(ip, result.reply.known);
        }
        self.count_region_send(call, choice, result);
        let mut state = self.lock();
        let state = &mut *state;
        if let SendResult::Replied(result) = result
            && !result.calls.is_empty()
        {
            let needs = state.needs.entry(call.route.name.clone()).or_default();
            needs.learn(result.calls.clone());
        }
        let stats = state.upstream_stats.entry(choice.instance.clone()).or_default();
        let reply = match result {
            SendResult::Replied(result) => result.reply,
            SendResult::Unsent(_) => {
                return state.record_unreachable(&self.settings, now, &choice.instance, ip);
            }
            SendResult::Lost(_) | SendResult::TimedOut => {
                return stats.record_outcome(now, false, 1.0);
            }
        };
        stats.record_report(now, reply.report);
        match reply.outcome {
            GateOutcome::Answered => {
                let ratio = reply.service_time as f64 / expected.max(1) as f64;
                stats.record_outcome(now, result.is_success(), ratio);
            }
            GateOutcome::Lost
            | GateOutcome::Expired
            | GateOutcome::Rejected
            | GateOutcome::Unsent => {
                stats.record_outcome(now, false, 1.0);
            }
            GateOutcome::Refused(RefusalReason::Slow) => {}
            GateOutcome::Refused(RefusalReason::Closed) => stats.avoid(now + CLOSED_AVOIDANCE),
            GateOutcome::Refused(_) | GateOutcome::Poison => {
                stats.avoid(now + reply.retry_after.min(MAX_REFUSAL_AVOIDANCE));
            }
        }
        state.record_region_message(&self.settings, ip);
        let peer = state.peers.entry(ip).or_default();
        peer.record_message();
        peer.connect_failures = 0;
        if state.pauses.spans(now, sent_at) {
            return;
        }
        peer.update_rtt((now - sent_at).saturating_sub(reply.elapsed));
        if let SendResult::Replied(result) = result
            && let Some(response) = &result.response
        {
            state.update_profile(now, &call.route, reply.service_time, response);
        }
    }
}
