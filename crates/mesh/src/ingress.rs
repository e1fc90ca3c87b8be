//! Ingress side: reads a caller's request, has it sent, and returns the answer.

use std::hash::Hasher;
use std::sync::Arc;

use bbv_core::route::{Name, Route, Routing};
use bbv_core::units::{MS, Micros, SEC};
use bbv_platform::header;
use bytes::Bytes;
use http::header::{CONNECTION, CONTENT_LENGTH, HOST, HeaderValue, RETRY_AFTER};
use http::request::Parts;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Incoming};
use siphasher::sip::SipHasher13;

use crate::answer;
use crate::event::{self, Event};
use crate::metrics::Kind;
use crate::node::{Node, Open};

/// Time that is left where a caller names no deadline.
const DEADLINE_DEFAULT: Micros = 30 * SEC;
/// Time named to a caller when nothing says when there is room.
pub(crate) const RETRY_UNKNOWN: Micros = 200 * MS;

/// One request of a caller.
pub(crate) struct Call {
    /// Route that it matched.
    pub route: Arc<Route>,
    /// Service that runs it.
    pub service: Name,
    /// Id that the caller gave it.
    pub attempt: HeaderValue,
    /// Time of its arrival.
    pub arrived: Micros,
    /// Time by which its answer is useless.
    pub deadline: Micros,
    /// Fingerprint of method, path and body.
    pub print: u64,
    /// Version of the routing that was in force.
    pub version: u64,
    /// Head as it is passed on.
    pub head: Parts,
    /// Whole body.
    pub body: Bytes,
}

/// How a request ended for its caller.
pub(crate) struct Outcome {
    /// Name of the ending, for logs and metrics.
    pub ended: &'static str,
    /// What the caller gets.
    pub response: Response<Full<Bytes>>,
    /// Gates that it was sent to.
    pub sends: usize,
    /// Upstreams that could be chosen when it ended.
    pub known: usize,
}

impl Outcome {
    /// An ending without an answer of the upstream.
    pub fn own(status: StatusCode, ended: &'static str) -> Self {
        Outcome { ended, response: answer::own(status, ended), sends: 0, known: 0 }
    }

    /// A refusal of a request that did not run, with the time until room is expected.
    pub fn refused(ended: &'static str, retry: Micros) -> Self {
        let mut outcome = Outcome::own(StatusCode::SERVICE_UNAVAILABLE, ended);
        let seconds = format!("{:.3}", retry as f64 / 1e6);
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            outcome.response.headers_mut().insert(RETRY_AFTER, value);
        }
        outcome
    }
}

/// Records that a caller left when it is dropped before its request has ended.
struct Pending {
    node: Arc<Node>,
    id: Option<HeaderValue>,
    arrived: Micros,
    kind: Option<Kind>,
    ended: bool,
}

impl Drop for Pending {
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        let took = self.node.now() - self.arrived;
        self.node.metrics.call(self.kind.as_ref(), CALLER_LEFT, took);
        let id = self.id.as_ref().and_then(|id| id.to_str().ok()).unwrap_or("none");
        event::info(Event::Call, &[("id", &id), ("ended", &CALLER_LEFT), ("took_us", &took)]);
    }
}

/// Ending of a request whose caller closed its connection before it was answered.
const CALLER_LEFT: &str = "caller-left";

impl Node {
    /// Serves one request of a caller.
    pub(crate) async fn serve_caller(
        self: &Arc<Self>,
        request: Request<Incoming>,
    ) -> Response<Full<Bytes>> {
        let arrived = self.now();
        let _open = Open::new(self);
        let id = request.headers().get(header::ATTEMPT_ID).cloned();
        let node = Arc::clone(self);
        let mut pending = Pending { node, id: id.clone(), arrived, kind: None, ended: false };
        let mut outcome = match self.accept(request, arrived).await {
            Ok(call) => {
                pending.kind = Some(Kind { service: call.service.clone(), rank: call.route.rank });
                self.send(call).await
            }
            Err(outcome) => outcome,
        };
        pending.ended = true;
        let took = self.now() - arrived;
        self.metrics.call(pending.kind.as_ref(), outcome.ended, took);
        self.record(id.as_ref(), &outcome, took);
        let headers = outcome.response.headers_mut();
        if let (Some(id), false) = (id, headers.contains_key(header::ATTEMPT_ID)) {
            headers.insert(header::ATTEMPT_ID, id);
        }
        if self.stopping() {
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        }
        outcome.response
    }

    fn record(&self, id: Option<&HeaderValue>, outcome: &Outcome, took: Micros) {
        let id = id.and_then(|id| id.to_str().ok()).unwrap_or("none");
        let status = outcome.response.status().as_u16();
        let good = outcome.ended == "answered" && status < 500;
        let write = if good { event::debug } else { event::info };
        write(
            Event::Call,
            &[
                ("id", &id),
                ("ended", &outcome.ended),
                ("status", &status),
                ("took_us", &took),
                ("sends", &outcome.sends),
                ("known", &outcome.known),
                ("revision", &self.revision()),
            ],
        );
    }

    /// Reads a request and finds its route.
    async fn accept(&self, request: Request<Incoming>, arrived: Micros) -> Result<Call, Outcome> {
        let routing = self.lock().view.routing.clone();
        let routing = routing.ok_or_else(|| Outcome::refused("no-routing", RETRY_UNKNOWN))?;
        let (mut head, body) = request.into_parts();
        let route = find(&routing, &head);
        let route = route.ok_or_else(|| Outcome::own(StatusCode::NOT_FOUND, "no-route"))?;
        let attempt = head.headers.get(header::ATTEMPT_ID).cloned();
        let attempt =
            attempt.ok_or_else(|| Outcome::own(StatusCode::BAD_REQUEST, "no-attempt-id"))?;
        let wanted = header::deadline(&head.headers);
        let wanted = wanted.map_or(DEADLINE_DEFAULT, |wait| wait.as_micros() as Micros);
        let deadline = arrived + wanted.min(route.timeout);
        let body = self.read_body(body, routing.limits.body, deadline).await?;
        let print = fingerprint(&head, &body);
        head.headers.remove(CONTENT_LENGTH);
        answer::strip_connection(&mut head.headers);
        let caller = HeaderValue::from_str(&self.settings.service);
        let caller =
            caller.map_err(|_| Outcome::own(StatusCode::INTERNAL_SERVER_ERROR, "service-name"))?;
        head.headers.insert(header::CALLER_SERVICE, caller);
        let service = self.lock().splitter.next(&route);
        let version = routing.version;
        Ok(Call { route, service, attempt, arrived, deadline, print, version, head, body })
    }

    async fn read_body(
        &self,
        body: Incoming,
        most: usize,
        deadline: Micros,
    ) -> Result<Bytes, Outcome> {
        if body.size_hint().lower() > most as u64 {
            return Err(Outcome::own(StatusCode::PAYLOAD_TOO_LARGE, "body-too-large"));
        }
        let limited = Limited::new(body, most);
        match self.timer.limit(deadline, limited.collect()).await {
            Some(Ok(body)) => Ok(body.to_bytes()),
            Some(Err(error)) => {
                event::info(Event::CallBroken, &[("why", &error)]);
                Err(Outcome::own(StatusCode::BAD_REQUEST, "body-broken"))
            }
            None => Err(Outcome::own(StatusCode::REQUEST_TIMEOUT, "body-late")),
        }
    }
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
