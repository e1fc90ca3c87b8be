//! Gate side: the only way to the upstream beside this node.

use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use bbv_core::admission::{
    self, AdmissionDecision, AdmissionDequeued, AdmissionRefusal, RefusalReason,
};
use bbv_core::poison::Suspicion;
use bbv_core::units::{MS, Micros};
use bbv_platform::header;
use bytes::Bytes;
use http::header::CONTENT_LENGTH;
use http::request::Parts;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use tokio::sync::oneshot;

use crate::answer::{self, Verdict};
use crate::event::{self, Event};
use crate::message::{Ask, Ended, Reply};
use crate::node::{Node, Open};
use crate::pool::{Conn, SendError};

/// Time named to a caller whose request crashed upstreams; it is not tried again before.
const POISON_RETRY: Micros = 60_000 * MS;
/// Reserve by which an idle connection is given up before the upstream closes it.
const IDLE_RESERVE: Duration = Duration::from_millis(1_000);

/// Work from which it pays to look at the upstream's speed before a request starts.
const LONG_WORK: Micros = 25 * MS;
/// Age up to which a report of the upstream's speed is good enough for that.
const FRESH: Micros = 12 * MS;
/// Interval at which the speed is looked at while a request waits for it.
const HOLD_STEP: Micros = 20 * MS;
/// Longest time for which a request waits for the speed.
const HOLD_MAX: Micros = 3_000 * MS;

/// Result of one request at a gate.
pub(crate) struct Ran {
    /// What the gate says of it.
    pub reply: Reply,
    /// The upstream's answer, if it gave one.
    pub response: Option<Response<Full<Bytes>>>,
}

/// Place of one request at the gate; gives it back when dropped.
struct Place {
    node: Arc<Node>,
    id: u64,
    finished: bool,
}

impl Place {
    /// Gives the place back after an answer that took `work` at usual speed.
    fn finish(mut self, work: Micros) {
        self.finished = true;
        let now = self.node.now();
        self.node.lock().admission.finish(now, self.id, work);
        self.node.pump();
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        if self.finished {
            return;
        }
        {
            let mut state = self.node.lock();
            state.waiters.remove(&self.id);
            state.admission.cancel(self.id);
        }
        self.node.pump();
    }
}

/// How a request ended at the gate.
struct End {
    ended: Ended,
    retry: Micros,
    work: Micros,
    why: String,
    response: Option<Response<Full<Bytes>>>,
}

impl End {
    fn refused(ended: Ended, retry: Micros) -> Self {
        End { ended, retry, work: 0, why: "none".to_owned(), response: None }
    }

    fn lost(ended: Ended, why: String) -> Self {
        End { ended, retry: 0, work: 0, why, response: None }
    }

    fn answered(response: Response<Full<Bytes>>, work: Micros) -> Self {
        let why = "none".to_owned();
        End { ended: Ended::Answered, retry: 0, work, why, response: Some(response) }
    }
}

fn record(id: &str, ask: &Ask, reply: &Reply, why: &str, report_age: Micros) {
    let report = &reply.report;
    let write = match reply.ended {
        Ended::Answered => event::debug,
        Ended::Lost | Ended::Unsent => event::warn,
        _ => event::info,
    };
    write(
        Event::GateEnded,
        &[
            ("id", &id),
            ("ended", &reply.ended.name()),
            ("why", &why),
            ("left_us", &ask.left),
            ("held_us", &reply.held),
            ("running", &report.running),
            ("queued", &report.queued),
            ("limit", &report.limit),
            ("speed_pct", &report.speed_pct),
            ("cold", &report.cold),
            ("report_age_us", &report_age),
            ("revision", &reply.revision),
        ],
    );
}

impl Node {
    /// Runs a request of the ingress at `from` if it may run here.
    pub(crate) async fn run_here(
        self: &Arc<Self>,
        from: IpAddr,
        ask: Ask,
        head: Parts,
        body: Bytes,
    ) -> Ran {
        let arrived = self.now();
        self.lock().recent.insert(from, arrived);
        let id = head.headers.get(header::ATTEMPT_ID).cloned();
        let end = self.admit(&ask, head, body, arrived).await;
        self.metrics.admitted.with_label_values(&[end.ended.name()]).inc();
        let now = self.now();
        let state = self.lock();
        let (report, revision) = (state.report(now), state.view.through);
        let report_age = now.saturating_sub(state.own.reported);
        drop(state);
        let held = now - arrived;
        let reply =
            Reply { ended: end.ended, retry: end.retry, work: end.work, held, report, revision };
        let id = id.as_ref().and_then(|id| id.to_str().ok()).unwrap_or("none");
        record(id, &ask, &reply, &end.why, report_age);
        Ran { reply, response: end.response }
    }

    /// Waits for room, then for speed, and runs a request.
    async fn admit(self: &Arc<Self>, ask: &Ask, head: Parts, body: Bytes, arrived: Micros) -> End {
        let place = match self.enter(ask, arrived).await {
            Ok(place) => place,
            Err((ended, retry)) => return End::refused(ended, retry),
        };
        if let Some(retry) = self.fast_enough(ask, arrived).await {
            return End::refused(Ended::Refused(RefusalReason::Slow), retry);
        }
        let started = self.now();
        let speed = u64::from(self.lock().admission.speed_pct());
        self.metrics.waited.observe((started - arrived) as f64 / 1e6);
        let deadline = arrived + ask.left;
        let exchange = self.exchange(ask, head, body, deadline);
        match self.timer.limit(deadline, exchange).await {
            None => End::lost(Ended::Expired, "no answer at the deadline".to_owned()),
            Some(Err(end)) => end,
            Some(Ok(response)) => {
                let work = (self.now() - started) * 100 / speed;
                place.finish(work);
                End::answered(response, work)
            }
        }
    }

    /// Waits for a place on the upstream.
    async fn enter(self: &Arc<Self>, ask: &Ask, arrived: Micros) -> Result<Place, (Ended, Micros)> {
        let refused =
            |refusal: AdmissionRefusal| Err((Ended::Refused(refusal.reason), refusal.retry_after));
        let closed = AdmissionRefusal { reason: RefusalReason::Closed, retry_after: 100 * MS };
        let (place, wake) = {
            let mut state = self.lock();
            if state.suspects.suspicion(arrived, ask.print) == Suspicion::Poison {
                return Err((Ended::Poison, POISON_RETRY));
            }
            let other = state.own.instance.as_ref().is_some_and(|own| **own != *ask.instance);
            let listed = state.view.upstreams.get(ask.instance.as_str());
            if self.closing() || other || listed.is_some_and(|up| up.draining) {
                return refused(closed);
            }
            let id = self.next_id();
            let offer = admission::AdmissionRequest {
                id,
                rank: ask.rank,
                deadline: arrived + ask.left,
                target: arrived + ask.target,
                service_time: ask.work,
            };
            let decision = state.admission.offer(arrived, offer);
            let place = || Place { node: Arc::clone(self), id, finished: false };
            match decision {
                AdmissionDecision::Run => return Ok(place()),
                AdmissionDecision::Refuse(why) => return refused(why),
                AdmissionDecision::Wait => {
                    let (sender, wake) = oneshot::channel();
                    state.waiters.insert(id, sender);
                    (place(), wake)
                }
            }
        };
        // A request of a lower rank may have lost its place.
        self.pump();
        match self.timer.limit(arrived + ask.left, wake).await {
            Some(Ok(AdmissionDequeued::Run(_))) => Ok(place),
            Some(Ok(AdmissionDequeued::Refuse(_, why))) => refused(why),
            Some(Err(_)) | None => {
                refused(AdmissionRefusal { reason: RefusalReason::Late, retry_after: 0 })
            }
        }
    }

    /// Waits until a long request may start on an upstream whose speed changes; returns
    /// the time until then instead if the request may go elsewhere.
    async fn fast_enough(&self, ask: &Ask, arrived: Micros) -> Option<Micros> {
        if ask.work < LONG_WORK {
            return None;
        }
        let latest = (arrived + ask.left).min(self.now() + HOLD_MAX);
        loop {
            if self.now() > self.lock().own.reported + FRESH {
                self.check().await;
            }
            let now = self.now();
            let (remaining, may_wait) = {
                let spells = &self.lock().own.spells;
                let pays = spells.worth_waiting(now, ask.work);
                let remaining = pays.then(|| spells.remaining(now)).flatten()?;
                (remaining, spells.may_wait(now, ask.work, latest, HOLD_STEP))
            };
            if !ask.firm {
                return Some(remaining);
            }
            if !may_wait {
                return None;
            }
            self.timer.sleep(HOLD_STEP).await;
        }
    }

    /// Sends a request to the upstream and reads its whole answer.
    async fn exchange(
        self: &Arc<Self>,
        ask: &Ask,
        mut head: Parts,
        body: Bytes,
        deadline: Micros,
    ) -> Result<Response<Full<Bytes>>, End> {
        let method = head.method.clone();
        let attempt = head.headers.get(header::ATTEMPT_ID).cloned();
        let left = Duration::from_micros(deadline.saturating_sub(self.now()));
        header::set_target(&mut head.headers, left, Some(&ask.instance));
        let request = Request::from_parts(head, Full::new(body));
        let sent = self.upstream_pool.send(self.settings.upstream, request).await;
        let (response, conn) = match sent {
            Ok(sent) => sent,
            Err(SendError::Unsent(why)) => return Err(End::lost(Ended::Unsent, why)),
            Err(SendError::Lost(why)) => {
                self.suspect_crash(ask);
                return Err(End::lost(Ended::Lost, why));
            }
        };
        let (head, body) = response.into_parts();
        self.learn_load(&head.headers);
        let verdict = answer::judge(head.status, &head.headers, attempt.as_ref());
        if let Verdict::Foreign(why) = verdict {
            return Err(End::lost(Ended::Lost, why.to_owned()));
        }
        let body = self.collect(&head, body, conn).await;
        let body = body.map_err(|error| End::lost(Ended::Lost, error.to_string()))?;
        if verdict == Verdict::NotRun {
            return Err(End::lost(Ended::Rejected, format!("status {}", head.status.as_u16())));
        }
        Ok(answer::pass_on(&method, head, body))
    }

    /// Reads a whole body and keeps the connection for the next request.
    async fn collect(
        &self,
        head: &http::response::Parts,
        body: Incoming,
        conn: Conn,
    ) -> Result<Bytes, hyper::Error> {
        let body = body.collect().await?.to_bytes();
        let limit = answer::idle_limit(&head.headers);
        self.upstream_pool.put(conn, limit.map(|limit| limit.saturating_sub(IDLE_RESERVE)));
        Ok(body)
    }

    /// Learns the load that the upstream reports with an answer.
    pub(crate) fn learn_load(&self, headers: &http::HeaderMap) {
        let Some(load) = header::load(headers) else { return };
        let now = self.now();
        let mut state = self.lock();
        state.own.reported = now;
        state.own.spells.observe(now, load.speed_pct);
        state.admission.update_load(load.running, load.speed_pct);
    }

    /// Answers an ingress.
    pub(crate) async fn serve_peer(
        self: &Arc<Self>,
        from: IpAddr,
        request: Request<Incoming>,
    ) -> Response<Full<Bytes>> {
        let _open = Open::new(self);
        let (mut head, body) = request.into_parts();
        let Some(ask) = Ask::take(&mut head.headers) else { return self.serve_changes(&head) };
        let body = match body.collect().await {
            Ok(body) => body.to_bytes(),
            Err(error) => {
                event::info(Event::CallBroken, &[("from", &from), ("why", &error)]);
                return answer::own(StatusCode::BAD_REQUEST, "broken");
            }
        };
        head.headers.remove(CONTENT_LENGTH);
        answer::strip_connection(&mut head.headers);
        let ran = self.run_here(from, ask, head, body).await;
        let mut response = ran.response.unwrap_or_else(|| {
            answer::own(StatusCode::SERVICE_UNAVAILABLE, ran.reply.ended.name())
        });
        ran.reply.write(response.headers_mut());
        response
    }
}
