//! Ingress side of a node: reads a caller's request, has it sent to a gate and returns the
//! response.

use std::hash::Hasher;
use std::sync::Arc;

use bbv_core::homes::Homes;
use bbv_core::organisation::Organisation;
use bbv_core::route::{Name, Route, Routing};
use bbv_core::units::{MS, Micros, SEC};
use bbv_core::view::Topic;
use bbv_platform::header;
use http::header::{CONNECTION, CONTENT_LENGTH, HOST, HeaderValue, RETRY_AFTER};
use http::request::Parts;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Body;
use siphasher::sip::SipHasher13;

use crate::ahead::Tracked;
use crate::body::{self, BodyError};
use crate::content::Content;
use crate::credential;
use crate::event::{self, Event};
use crate::head_limits;
use crate::metrics::{ResponseSource, RouteLabels};
use crate::node::{Node, OpenRequest};
use crate::response;

/// Timeout of a request without a deadline.
const DEFAULT_TIMEOUT: Micros = 30 * SEC;
/// Number of characters of a host or path that are logged.
const MAX_LOGGED_CHARS: usize = 200;
/// `Retry-After` of a refusal when no gate has given a time.
pub(crate) const DEFAULT_RETRY_AFTER: Micros = 200 * MS;

/// Request of a caller.
pub(crate) struct Call {
    /// Matching route.
    pub route: Arc<Route>,
    /// Service that the request is sent to.
    pub service: Name,
    /// Rank; 0 is served first.
    pub rank: u8,
    /// Regions in which it may run, and to whose nodes its body may be sent.
    pub homes: Homes,
    /// Organisation that sent it, if it needs a key.
    pub organisation: Option<Arc<Organisation>>,
    /// Attempt id set by the caller.
    pub attempt_id: HeaderValue,
    /// Whether a request that runs on the upstream of this node made it. It is worth what that
    /// request is worth for as long as it can be answered.
    pub nested: bool,
    /// Number of requests that it stands for, if this node refuses some of its kind.
    pub weight: f64,
    /// Arrival time.
    pub arrived: Micros,
    /// Time after which the caller no longer waits for a response.
    pub deadline: Micros,
    /// Fingerprint of the method, path and body.
    pub fingerprint: u64,
    /// Version of the routing that the request was matched against.
    pub routing_version: u64,
    /// Request head as forwarded.
    pub head: Parts,
    /// Complete request body.
    pub body: Content,
}

/// Outcome of a request as returned to the caller.
pub(crate) struct CallOutcome {
    /// Name in logs and metrics.
    pub name: &'static str,
    /// Response to the caller.
    pub response: Response<Full<Content>>,
    /// Number of sends to gates.
    pub sends: usize,
    /// Number of usable upstreams at the end of the request.
    pub usable: usize,
}

impl CallOutcome {
    /// Returns who chose the status of the response.
    fn source(&self) -> ResponseSource {
        if self.name == ANSWERED { ResponseSource::Upstream } else { ResponseSource::Node }
    }

    /// Creates an outcome without a response of an upstream.
    pub fn error(status: StatusCode, name: &'static str) -> Self {
        CallOutcome { name, response: response::local(status, name), sends: 0, usable: 0 }
    }

    /// Creates a refusal of a request that did not run, with a `Retry-After` header.
    pub fn refused(name: &'static str, retry_after: Micros) -> Self {
        let mut outcome = CallOutcome::error(StatusCode::SERVICE_UNAVAILABLE, name);
        let seconds = format!("{:.3}", retry_after as f64 / 1e6);
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            outcome.response.headers_mut().insert(RETRY_AFTER, value);
        }
        outcome
    }
}

/// Records that the caller disconnected if it is dropped before the request has finished.
struct CallGuard {
    node: Arc<Node>,
    id: Option<HeaderValue>,
    arrived: Micros,
    labels: Option<RouteLabels>,
    finished: bool,
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        if self.finished {
            return;
        }
        let latency = self.node.now() - self.arrived;
        self.node.metrics.record_call(self.labels.as_ref(), CALLER_LEFT, latency);
        let id = self.id.as_ref().and_then(|id| id.to_str().ok()).unwrap_or("none");
        event::info(Event::Call, &[("id", &id), ("ended", &CALLER_LEFT), ("took_us", &latency)]);
    }
}

/// Name of the outcome of a request that an upstream answered, with any status.
pub(crate) const ANSWERED: &str = "answered";
/// Name of the outcome of a request whose header fields are larger than allowed.
pub(crate) const HEAD_TOO_LARGE: &str = "head-too-large";
/// Name of the outcome of a request whose caller closed the connection before the response.
const CALLER_LEFT: &str = "caller-left";

impl Node {
    /// Handles a request of a caller.
    pub(crate) async fn serve_caller(
        self: &Arc<Self>,
        request: Request<Tracked>,
    ) -> Response<Full<Content>> {
        let arrived = self.now();
        let _open = OpenRequest::new(self);
        let id = request.headers().get(header::ATTEMPT_ID).cloned();
        let node = Arc::clone(self);
        let mut guard = CallGuard { node, id: id.clone(), arrived, labels: None, finished: false };
        let has_body = !request.body().is_end_stream();
        let call = self.read_call(request, arrived).await;
        // The server closes a connection on which a part of a body is left.
        let closes = has_body && call.is_err();
        let mut outcome = match call {
            Ok(call) if self.may_cut_off(call.deadline) => {
                CallOutcome::refused("stopping", DEFAULT_RETRY_AFTER)
            }
            Ok(mut call) => {
                guard.labels = Some(RouteLabels { service: call.service.clone(), rank: call.rank });
                match self.shed(&mut call) {
                    Some(refused) => refused,
                    None => self.send_within_quota(call).await,
                }
            }
            Err(outcome) => outcome,
        };
        guard.finished = true;
        if let (Some(id), true) = (&id, outcome.response.status().is_server_error()) {
            self.lock().local.record_refused_call(id);
        }
        if let Some(labels) = &guard.labels {
            let served = outcome.response.status().is_success();
            self.lock().shares.record(self.now(), labels.rank, served);
        }
        let latency = self.now() - arrived;
        self.metrics.record_call(guard.labels.as_ref(), outcome.name, latency);
        self.metrics.record_response(outcome.response.status(), outcome.source());
        self.log_call(id.as_ref(), &outcome, latency);
        let headers = outcome.response.headers_mut();
        if let (Some(id), false) = (id, headers.contains_key(header::ATTEMPT_ID)) {
            headers.insert(header::ATTEMPT_ID, id);
        }
        if closes || self.stopping() {
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        }
        outcome.response
    }

    fn log_call(&self, id: Option<&HeaderValue>, outcome: &CallOutcome, latency: Micros) {
        let id = id.and_then(|id| id.to_str().ok()).unwrap_or("none");
        let status = outcome.response.status();
        let signed = header::is_signed(outcome.response.headers());
        let write = if status.is_success() { event::debug } else { event::info };
        write(
            Event::Call,
            &[
                ("id", &id),
                ("ended", &outcome.name),
                ("status", &status.as_u16()),
                ("signed", &signed),
                ("took_us", &latency),
                ("sends", &outcome.sends),
                ("known", &outcome.usable),
                ("revision", &self.revision(Topic::Upstreams)),
            ],
        );
    }

    /// Rejects a request without a route. A node that knows of a newer routing does not deny the
    /// request, since that routing may have a route for it.
    fn reject_unrouted(&self) -> CallOutcome {
        let state = self.lock();
        if state.control.lag.is_behind(state.view.control) {
            return CallOutcome::refused("routing-behind", DEFAULT_RETRY_AFTER);
        }
        CallOutcome::error(StatusCode::NOT_FOUND, "no-route")
    }

    /// Reads the request of a caller and matches it to a route.
    async fn read_call(
        &self,
        request: Request<Tracked>,
        arrived: Micros,
    ) -> Result<Call, CallOutcome> {
        let (routing, standing) = self
            .routing_in_force()
            .ok_or_else(|| CallOutcome::refused("no-routing", DEFAULT_RETRY_AFTER))?;
        let (mut head, body) = request.into_parts();
        if head_limits::field_bytes(&head.headers) > routing.limits.head {
            let status = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
            return Err(CallOutcome::error(status, HEAD_TOO_LARGE));
        }
        let route = find_route(&routing, &head).ok_or_else(|| {
            log_unrouted(&routing, &head);
            self.reject_unrouted()
        })?;
        let attempt_id = head.headers.get(header::ATTEMPT_ID).cloned();
        let attempt_id = attempt_id
            .ok_or_else(|| CallOutcome::error(StatusCode::BAD_REQUEST, "no-attempt-id"))?;
        let organisation = self.check_key(&routing, &route, &head, standing);
        let organisation = organisation.map_err(|outcome| *outcome)?;
        let timeout = header::deadline(&head.headers);
        let timeout = timeout.map_or(DEFAULT_TIMEOUT, |timeout| timeout.as_micros() as Micros);
        let deadline = arrived + timeout.min(route.timeout);
        let body = self.read_body(body, routing.limits.body, deadline).await?;
        let fingerprint = compute_fingerprint(&head, &body);
        head.headers.remove(CONTENT_LENGTH);
        response::strip_hop_headers(&mut head.headers);
        credential::replace_key(&mut head.headers, organisation.as_deref());
        let caller = HeaderValue::from_str(&self.settings.service);
        let caller = caller
            .map_err(|_| CallOutcome::error(StatusCode::INTERNAL_SERVER_ERROR, "service-name"))?;
        head.headers.insert(header::CALLER_SERVICE, caller);
        let routing_version = routing.version;
        let rank = routing.rank(&route, organisation.as_deref());
        let homes = organisation
            .as_ref()
            .map_or_else(|| route.homes.clone(), |known| route.homes.and(&known.homes));
        let service = {
            let mut state = self.lock();
            let service = state.splitter.next(&route);
            state.home_service(&self.settings, &route, &homes, service)
        };
        let mut call = Call {
            route,
            service,
            rank,
            homes,
            organisation,
            attempt_id,
            nested: false,
            weight: 1.0,
            arrived,
            deadline,
            fingerprint,
            routing_version,
            head,
            body,
        };
        self.follow_parent(&mut call, !routing.organisations.is_empty());
        Ok(call)
    }

    /// Gives a call of a request that runs on the upstream of this node the rank, deadline and
    /// weight of that request, unless its own rank is less urgent or its own deadline earlier. If the
    /// request is that of an organisation, the rank of the organisation goes before that of the call.
    fn follow_parent(&self, call: &mut Call, organised: bool) {
        let mut state = self.lock();
        let Some(parent) = state.local.parent(&call.attempt_id) else { return };
        parent.record_call(&call.service);
        call.nested = true;
        if self.settings.shedding {
            call.rank = if organised { parent.rank } else { call.rank.max(parent.rank) };
            call.deadline = call.deadline.min(parent.deadline);
            call.weight = parent.weight;
        }
    }

    async fn read_body(
        &self,
        body: Tracked,
        max_bytes: usize,
        deadline: Micros,
    ) -> Result<Content, CallOutcome> {
        let body = body::collect(body, max_bytes, &self.request_bodies);
        match self.timer.timeout_at(deadline, body).await {
            Some(Ok(body)) => Ok(body),
            Some(Err(BodyError::TooLarge(_))) => {
                Err(CallOutcome::error(StatusCode::PAYLOAD_TOO_LARGE, "body-too-large"))
            }
            Some(Err(BodyError::NoMemory(error))) => {
                event::info(Event::CallBroken, &[("why", &error)]);
                Err(CallOutcome::refused("no-memory", DEFAULT_RETRY_AFTER))
            }
            Some(Err(error @ BodyError::Broken(_))) => {
                event::info(Event::CallBroken, &[("why", &error)]);
                Err(CallOutcome::error(StatusCode::BAD_REQUEST, "body-broken"))
            }
            None => Err(CallOutcome::error(StatusCode::REQUEST_TIMEOUT, "body-late")),
        }
    }
}

/// Returns the host that a request is meant for.
fn host(head: &Parts) -> Option<&str> {
    head.uri.host().or_else(|| head.headers.get(HOST)?.to_str().ok())
}

/// Returns the route of a request.
pub(crate) fn find_route(routing: &Routing, head: &Parts) -> Option<Arc<Route>> {
    routing.find(host(head)?, head.uri.path()).cloned()
}

fn log_unrouted(routing: &Routing, head: &Parts) {
    let id = head.headers.get(header::ATTEMPT_ID).and_then(|id| id.to_str().ok());
    let cut = |text: &str| text.chars().take(MAX_LOGGED_CHARS).collect::<String>();
    let (host, path) = (cut(host(head).unwrap_or("none")), cut(head.uri.path()));
    event::info(
        Event::CallUnrouted,
        &[
            ("id", &id.unwrap_or("none")),
            ("host", &host),
            ("path", &path),
            ("version", &routing.version),
            ("routes", &routing.iter().count()),
        ],
    );
}

fn compute_fingerprint(head: &Parts, body: &Content) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(head.method.as_str().as_bytes());
    hasher.write(head.uri.to_string().as_bytes());
    body.parts().for_each(|part| hasher.write(part));
    hasher.finish()
}
