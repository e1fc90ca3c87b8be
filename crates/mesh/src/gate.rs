//! Gate side of a node: admits requests to the upstream beside it, forwards them and checks the
//! responses. All requests to that upstream pass through its gate, which keeps the upstream within
//! its limits under overload.

use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use bbv_core::admission::{
    self, AdmissionDecision, AdmissionDequeued, AdmissionRefusal, RefusalReason,
};
use bbv_core::poison::{Fingerprint, Suspicion};
use bbv_core::room::urgency;
use bbv_core::route::Name;
use bbv_core::units::{MS, Micros};
use bbv_platform::header;
use http::header::{CONTENT_LENGTH, HeaderValue};
use http::request::Parts;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::sync::{OwnedMutexGuard, oneshot};

use crate::attempt::RunningAttempt;
use crate::body::{self, BodyError};
use crate::completion::{Completion, GateResult};
use crate::content::Content;
use crate::event::{self, Event};
use crate::homes::NO_HOME_RETRY_AFTER;
use crate::ingress::{self, DEFAULT_RETRY_AFTER};
use crate::message::{GateOutcome, GateReply, GateRequest};
use crate::node::{Node, OpenRequest};
use crate::notice::vm_of;
use crate::open_run::OpenRun;
use crate::pool::{Connection, SendError};
use crate::response::{self, ResponseCheck};
use crate::state::State;
use crate::verdict::Verdict;

/// `Retry-After` of a request that is refused because it crashed upstreams; it should not be
/// retried earlier.
const POISON_RETRY_AFTER: Micros = 60_000 * MS;
/// Margin by which an idle connection is dropped before the upstream's keep-alive timeout.
const IDLE_MARGIN: Duration = Duration::from_millis(1_000);

/// Service time from which checking the upstream's speed before a request starts is worthwhile.
const LONG_REQUEST: Micros = 25 * MS;
/// Maximum age of the speed report used for that check.
const SPEED_MAX_AGE: Micros = 12 * MS;
/// Interval of speed checks while a request waits for a slow period to end.
const SPEED_WAIT_STEP: Micros = 20 * MS;

/// Admission of one request; released when dropped.
struct Permit {
    node: Arc<Node>,
    id: u64,
    finished: bool,
}

impl Permit {
    /// Releases the permit after a response that took `service_time` at normal speed.
    fn finish(mut self, service_time: Micros) {
        self.finished = true;
        let now = self.node.now();
        self.node.lock().admission.finish(now, self.id, service_time);
        self.node.poll_admission();
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if self.finished {
            return;
        }
        {
            let mut state = self.node.lock();
            state.waiters.remove(&self.id);
            state.admission.cancel(self.id);
        }
        self.node.poll_admission();
    }
}

fn log_outcome(
    id: &str,
    metadata: &GateRequest,
    reply: &GateReply,
    cause: &str,
    report_age: Micros,
) {
    let report = &reply.report;
    let write = match reply.outcome {
        GateOutcome::Answered | GateOutcome::Refused(RefusalReason::Slow) => event::debug,
        GateOutcome::Lost | GateOutcome::Unsent => event::warn,
        _ => event::info,
    };
    write(
        Event::GateEnded,
        &[
            ("id", &id),
            ("ended", &reply.outcome.name()),
            ("why", &cause),
            ("rank", &metadata.rank),
            ("left_us", &metadata.timeout),
            ("held_us", &reply.elapsed),
            ("running", &report.running),
            ("queued", &report.queued),
            ("limit", &report.limit),
            ("speed_pct", &report.speed_pct),
            ("cold", &report.cold),
            ("report_age_us", &report_age),
            ("revision", &reply.known.upstreams),
        ],
    );
}

impl Node {
    /// Runs a request of an ingress on the upstream beside this node, or refuses it.
    pub(crate) async fn run_locally(
        self: &Arc<Self>,
        metadata: GateRequest,
        head: Parts,
        body: Content,
    ) -> GateResult {
        let arrived = self.now();
        self.lock().recent_ingresses.insert(metadata.ingress, arrived);
        let id = head.headers.get(header::ATTEMPT_ID).cloned();
        let route = self.route_name(&head);
        let completion = self.admit_and_run(&metadata, head, body, arrived, route.clone()).await;
        let mut result = self.conclude(id.as_ref(), &metadata, completion, arrived);
        if let Some(route) = route {
            result.calls = self.calls_of(&route);
        }
        result
    }

    /// Returns the name of the route of a request; a gate learns the calls of its requests by it.
    fn route_name(&self, head: &Parts) -> Option<Name> {
        let routing = self.lock().routing().cloned()?;
        Some(ingress::find_route(&routing, head)?.name.clone())
    }

    /// Returns the mean number of calls of requests of `route`, by service.
    fn calls_of(&self, route: &Name) -> Vec<(Name, f64)> {
        let state = self.lock();
        let Some(needs) = state.made.get(route) else { return Vec::new() };
        needs.iter().map(|(service, calls)| (service.clone(), calls)).collect()
    }

    /// Counts and logs the outcome of a request that arrived at `arrived`, and adds the load.
    fn conclude(
        &self,
        id: Option<&HeaderValue>,
        metadata: &GateRequest,
        completion: Completion,
        arrived: Micros,
    ) -> GateResult {
        self.metrics.admitted.with_label_values(&[completion.outcome.name()]).inc();
        let now = self.now();
        let state = self.lock();
        let (report, known) = (state.load_report(now), state.known());
        let report_age = now.saturating_sub(state.local.reported_at);
        drop(state);
        let reply = GateReply {
            outcome: completion.outcome,
            retry_after: completion.retry_after,
            service_time: completion.service_time,
            call_refused: completion.call_refused,
            elapsed: now - arrived,
            report,
            known,
        };
        let id = id.and_then(|id| id.to_str().ok()).unwrap_or("none");
        log_outcome(id, metadata, &reply, &completion.cause, report_age);
        GateResult { reply, response: completion.response, calls: Vec::new() }
    }

    /// Waits for admission, for which the speed of the upstream has to be known, and runs the
    /// request.
    async fn admit_and_run(
        self: &Arc<Self>,
        metadata: &GateRequest,
        head: Parts,
        body: Content,
        arrived: Micros,
        route: Option<Name>,
    ) -> Completion {
        let long = metadata.service_time >= LONG_REQUEST;
        self.refresh_report(if long { SPEED_MAX_AGE } else { Micros::MAX }).await;
        let late = (GateOutcome::Refused(RefusalReason::Late), 0);
        let admitted = match self.take_suspect_turn(metadata, arrived).await {
            Some(turn) => self.admit(metadata, arrived).await.map(|permit| (permit, turn)),
            None => Err(late),
        };
        let (permit, turn) = match admitted {
            Ok(admitted) => admitted,
            Err((outcome, retry_after)) => return Completion::refused(outcome, retry_after),
        };
        if self.forbids(metadata, &head) {
            let refused = GateOutcome::Refused(RefusalReason::Closed);
            return Completion::refused(refused, NO_HOME_RETRY_AFTER);
        }
        let started = self.now();
        let speed = u64::from(self.lock().admission.speed_pct());
        self.metrics.queue_time.observe((started - arrived) as f64 / 1e6);
        let deadline = arrived + metadata.timeout;
        let id = head.headers.get(header::ATTEMPT_ID);
        let mut attempt = RunningAttempt::new(self, id, route, metadata, deadline);
        let response = self.forward(metadata, head, body, deadline, turn.is_some());
        match self.timer.timeout_at(deadline, response).await {
            None => Completion::failed(
                GateOutcome::Expired,
                "no response before the deadline".to_owned(),
            ),
            Some(Err(completion)) => completion,
            Some(Ok(response)) => {
                let now = self.now();
                // What a response took that arrived during a pause is not known.
                let paused = self.lock().pauses.spans(now, started);
                let took = (now - started) * 100 / speed;
                let service_time = if paused { metadata.service_time } else { took };
                if !paused {
                    permit.finish(service_time);
                }
                Completion::answered(response, service_time, attempt.finish())
            }
        }
    }

    /// Waits until no other suspect request runs on the upstream, if the request is suspect; returns `None`
    /// if its time is up.
    async fn take_suspect_turn(
        &self,
        metadata: &GateRequest,
        arrived: Micros,
    ) -> Option<Option<OwnedMutexGuard<()>>> {
        let is_suspect = || {
            let state = self.lock();
            let suspicion = state.suspects.suspicion(arrived, metadata.fingerprint);
            suspicion == Suspicion::Suspect
                && !self.belongs_elsewhere(&state, arrived, metadata.fingerprint)
        };
        if !is_suspect() {
            return Some(None);
        }
        let turn = Arc::clone(&self.suspect_turn).lock_owned();
        let turn = self.timer.timeout_at(arrived + metadata.timeout, turn).await?;
        Some(is_suspect().then_some(turn))
    }

    /// Returns whether a request is suspect since it was open when the upstream of this node crashed, and
    /// there are others to run it: only those can tell whether it was the cause.
    fn belongs_elsewhere(&self, state: &State, now: Micros, fingerprint: Fingerprint) -> bool {
        let own = vm_of(self.settings.upstream.ip());
        let crashes = state.suspects.crashes(fingerprint);
        state.suspects.suspicion(now, fingerprint) == Suspicion::Suspect
            && crashes.iter().any(|crash| crash.vm == own)
            && state.index.usable(&self.settings.service).len() > 1
    }

    /// Waits for admission to the upstream.
    async fn admit(
        self: &Arc<Self>,
        metadata: &GateRequest,
        arrived: Micros,
    ) -> Result<Permit, (GateOutcome, Micros)> {
        let refused = |refusal: AdmissionRefusal| {
            Err((GateOutcome::Refused(refusal.reason), refusal.retry_after))
        };
        let closed = AdmissionRefusal { reason: RefusalReason::Closed, retry_after: 100 * MS };
        let (permit, wake) = {
            let mut state = self.lock();
            if state.suspects.suspicion(arrived, metadata.fingerprint) == Suspicion::Poison {
                return Err((GateOutcome::Poison, POISON_RETRY_AFTER));
            }
            let other_instance =
                state.local.instance.as_ref().is_some_and(|own| **own != *metadata.instance);
            let listed = state.view.upstreams.get(metadata.instance.as_str());
            let elsewhere = self.belongs_elsewhere(&state, arrived, metadata.fingerprint);
            if self.closing() || elsewhere || other_instance || listed.is_some_and(|up| up.draining)
            {
                return refused(closed);
            }
            let mut rank = metadata.rank;
            if self.settings.shedding {
                rank = urgency(metadata.rank, metadata.nested);
                state.record_demand(arrived, rank, metadata);
            }
            let id = self.next_id();
            let request = admission::AdmissionRequest {
                id,
                rank,
                deadline: arrived + metadata.timeout,
                target: arrived + metadata.target,
                service_time: metadata.service_time,
                reroutes: !metadata.accept_slow,
            };
            let decision = state.admission.offer(arrived, request);
            let permit = || Permit { node: Arc::clone(self), id, finished: false };
            match decision {
                AdmissionDecision::Run => return Ok(permit()),
                AdmissionDecision::Refuse(refusal) => return refused(refusal),
                AdmissionDecision::Wait => {
                    let (sender, wake) = oneshot::channel();
                    state.waiters.insert(id, sender);
                    (permit(), wake)
                }
            }
        };
        // The new request may have displaced a queued one of a lower rank.
        self.poll_admission();
        match self.wait_in_queue(arrived + metadata.timeout, wake).await {
            Some(AdmissionDequeued::Run(_)) => Ok(permit),
            Some(AdmissionDequeued::Refuse(_, refusal)) => refused(refusal),
            None => refused(AdmissionRefusal { reason: RefusalReason::Late, retry_after: 0 }),
        }
    }

    /// Waits until a queued request is dequeued or its time is up, and keeps the speed of the
    /// upstream known, since the request may wait for the end of a slow period.
    async fn wait_in_queue(
        self: &Arc<Self>,
        deadline: Micros,
        mut wake: oneshot::Receiver<AdmissionDequeued>,
    ) -> Option<AdmissionDequeued> {
        loop {
            let step = deadline.min(self.now() + SPEED_WAIT_STEP);
            match self.timer.timeout_at(step, &mut wake).await {
                Some(dequeued) => return dequeued.ok(),
                None if self.now() >= deadline => return None,
                None => {}
            }
            if self.lock().admission.slow_remaining(self.now()) > 0 {
                self.refresh_report(SPEED_MAX_AGE).await;
                self.poll_admission();
            }
        }
    }

    /// Sends a request to the upstream and reads the complete response.
    async fn forward(
        self: &Arc<Self>,
        metadata: &GateRequest,
        mut head: Parts,
        body: Content,
        deadline: Micros,
        suspect: bool,
    ) -> Result<Response<Full<Content>>, Completion> {
        let method = head.method.clone();
        let attempt = head.headers.get(header::ATTEMPT_ID).cloned();
        let timeout = Duration::from_micros(deadline.saturating_sub(self.now()));
        header::set_target(&mut head.headers, timeout, Some(&metadata.instance));
        let request = Request::from_parts(head, Full::new(body));
        let upstream = self.settings.upstream;
        let run = OpenRun::start(self, metadata.fingerprint, suspect);
        let sent = match &attempt {
            Some(attempt) => self.upstream_pool.send_attempt(upstream, request, attempt).await,
            None => self.upstream_pool.send(upstream, request).await,
        };
        let (response, conn) = match sent {
            Ok(sent) => sent,
            Err(SendError::Unsent(cause)) => {
                run.end();
                return Err(Completion::failed(GateOutcome::Unsent, cause));
            }
            Err(SendError::Lost(cause)) => {
                self.detect_crash();
                return Err(Completion::failed(GateOutcome::Lost, cause));
            }
        };
        let (head, body) = response.into_parts();
        self.update_load(&head.headers);
        let check = response::check(head.status, &head.headers, attempt.as_ref());
        if let ResponseCheck::Invalid(cause) = check {
            return Err(Completion::failed(GateOutcome::Lost, cause.to_owned()));
        }
        let ends_connection = response::ends_connection(&head, &body);
        let body = match self.read_answer(&head, body, conn).await {
            Ok(body) => body,
            Err(error) => {
                if matches!(error, BodyError::Broken(_)) {
                    self.detect_crash();
                }
                return Err(Completion::failed(GateOutcome::Lost, error.to_string()));
            }
        };
        if check != ResponseCheck::NotRun && ends_connection {
            // A crash ends such an answer as well.
            self.check_end(run, metadata.fingerprint);
            return Ok(response::forwarded(&method, head, body));
        }
        run.end();
        if check == ResponseCheck::NotRun {
            return Err(Completion::failed(
                GateOutcome::Rejected,
                format!("status {}", head.status.as_u16()),
            ));
        }
        self.record_sound(metadata.fingerprint);
        Ok(response::forwarded(&method, head, body))
    }

    /// Records that the upstream has answered a request and runs on.
    pub(crate) fn record_sound(&self, fingerprint: Fingerprint) {
        let now = self.now();
        if self.lock().suspects.clear(now, fingerprint) {
            self.tell_verdicts(&[Verdict::Clear(fingerprint)]);
        }
    }

    /// Reads a complete body and returns the connection to the pool.
    async fn read_answer(
        &self,
        head: &http::response::Parts,
        body: Incoming,
        conn: Connection,
    ) -> Result<Content, BodyError> {
        let body = self.upstream_pool.read_body(body, &conn).await?;
        let idle_timeout = response::keep_alive_timeout(&head.headers);
        self.upstream_pool
            .put(conn, idle_timeout.map(|timeout| timeout.saturating_sub(IDLE_MARGIN)));
        Ok(body)
    }

    /// Records the load that the upstream reports in response headers.
    pub(crate) fn update_load(&self, headers: &http::HeaderMap) {
        let Some(load) = header::load(headers) else { return };
        let now = self.now();
        let mut state = self.lock();
        state.local.reported_at = now;
        state.admission.update_load(load.running, load.speed_pct);
        state.admission.observe_speed(now, load.speed_pct);
    }

    /// Handles a request of another node.
    pub(crate) async fn serve_peer(
        self: &Arc<Self>,
        from: IpAddr,
        request: Request<Incoming>,
    ) -> Response<Full<Content>> {
        let _open = OpenRequest::new(self);
        let (mut head, body) = request.into_parts();
        let Some(metadata) = GateRequest::extract(&mut head.headers) else {
            return self.serve_changes(&head);
        };
        let arrived = self.now();
        self.learn_known(metadata.ingress, metadata.known);
        let max_bytes = self.lock().max_body_bytes();
        let body = match body::collect(body, max_bytes, &self.request_bodies).await {
            Ok(body) => body,
            Err(error @ BodyError::Broken(_)) => {
                event::info(Event::CallBroken, &[("from", &from), ("why", &error)]);
                return response::local(StatusCode::BAD_REQUEST, "broken");
            }
            Err(error) => {
                event::info(Event::CallBroken, &[("from", &from), ("why", &error)]);
                let refused = GateOutcome::Refused(RefusalReason::Full);
                let completion = Completion::refused(refused, DEFAULT_RETRY_AFTER);
                let id = head.headers.get(header::ATTEMPT_ID);
                return self.conclude(id, &metadata, completion, arrived).into_response();
            }
        };
        head.headers.remove(CONTENT_LENGTH);
        response::strip_hop_headers(&mut head.headers);
        self.run_locally(metadata, head, body).await.into_response()
    }
}
