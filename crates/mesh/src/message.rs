//! Encodes the metadata that an ingress and a gate exchange with each request and response, as
//! comma-separated values in one header field each.
//!
//! Values are positional: their order is the wire format.

use std::fmt::Display;
use std::net::IpAddr;
use std::str::FromStr;

use bbv_core::admission::RefusalReason;
use bbv_core::placement::LoadReport;
use bbv_core::room::Room;
use bbv_core::route::Name;
use bbv_core::units::{Micros, Revision, SEC};
use http::header::{HeaderMap, HeaderName, HeaderValue};

/// Header field of a request from an ingress to a gate.
const REQUEST_FIELD: HeaderName = HeaderName::from_static("bbv-ask");
/// Header field of a response from a gate.
const REPLY_FIELD: HeaderName = HeaderName::from_static("bbv-reply");
/// Header field of a response from a gate with the calls that requests of its route make, if any.
const CALLS_FIELD: HeaderName = HeaderName::from_static("bbv-calls");

/// Revisions that a node knows, which each message between nodes carries.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Known {
    /// Revision of upstreams.
    pub upstreams: Revision,
    /// Revision of the routing and of zones.
    pub control: Revision,
}

/// Metadata of a request from an ingress to a gate.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GateRequest {
    /// Address at which other nodes reach the ingress; its connections may come from another one.
    pub ingress: IpAddr,
    /// What the ingress knows.
    pub known: Known,
    /// Instance of the upstream that the request is meant for.
    pub instance: String,
    /// Time remaining until the deadline.
    pub timeout: Micros,
    /// Time remaining until the target latency is reached; zero if it has passed.
    pub target: Micros,
    /// Priority rank; 0 is the highest.
    pub rank: u8,
    /// Whether a request that runs on the upstream of the ingress made it.
    pub nested: bool,
    /// Number of requests that it stands for, in percent: more than one if its ingress refuses some, and
    /// none if it was sent before.
    pub weight_pct: u32,
    /// Expected service time at normal speed.
    pub service_time: Micros,
    /// Whether the gate runs the request even if the upstream is slow.
    pub accept_slow: bool,
    /// Fingerprint of the method, path and body.
    pub fingerprint: u64,
}

/// Outcome of a request at a gate.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum GateOutcome {
    /// The upstream answered; status and body come from it.
    Answered,
    /// The upstream received the request and reported that it did not run it.
    Rejected,
    /// The connection to the upstream failed, so the request was not sent.
    Unsent,
    /// The gate refused the request without sending it to the upstream.
    Refused(RefusalReason),
    /// Requests with this fingerprint crashed upstreams, so the gate did not send it.
    Poison,
    /// The request was sent but not answered, and may have run.
    Lost,
    /// The upstream did not answer by the deadline.
    Expired,
}

/// Metadata of a response from a gate.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct GateReply {
    /// Outcome of the request.
    pub outcome: GateOutcome,
    /// Time after which a refused request may be retried.
    pub retry_after: Micros,
    /// Measured service time, scaled to normal speed.
    pub service_time: Micros,
    /// Whether the upstream made a call for the request that was refused.
    pub call_refused: bool,
    /// Time from the arrival at the gate to this response.
    pub elapsed: Micros,
    /// Load of the upstream behind the gate.
    pub report: LoadReport,
    /// What the gate knows.
    pub known: Known,
}

const REFUSAL_REASONS: [RefusalReason; 5] = [
    RefusalReason::Late,
    RefusalReason::Full,
    RefusalReason::Cold,
    RefusalReason::Slow,
    RefusalReason::Closed,
];

impl GateOutcome {
    /// Name in messages, logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            GateOutcome::Answered => "answered",
            GateOutcome::Rejected => "rejected",
            GateOutcome::Unsent => "unsent",
            GateOutcome::Refused(reason) => reason.name(),
            GateOutcome::Poison => "poison",
            GateOutcome::Lost => "lost",
            GateOutcome::Expired => "expired",
        }
    }

    fn parse(name: &str) -> Option<Self> {
        match name {
            "answered" => Some(GateOutcome::Answered),
            "rejected" => Some(GateOutcome::Rejected),
            "unsent" => Some(GateOutcome::Unsent),
            "poison" => Some(GateOutcome::Poison),
            "lost" => Some(GateOutcome::Lost),
            "expired" => Some(GateOutcome::Expired),
            _ => REFUSAL_REASONS
                .into_iter()
                .find(|reason| reason.name() == name)
                .map(GateOutcome::Refused),
        }
    }
}

/// Largest number of requests that one stands for, in percent.
const MAX_WEIGHT_PCT: u32 = 10_000;
/// Largest number of services in the calls of a route.
const MAX_CALLED: usize = 16;
/// Longest time in a message; a longer one comes from a malformed message.
const MAX_TIME: Micros = 3_600 * SEC;

/// Comma-separated values of a header field, read in order.
struct FieldValues<'a>(std::str::Split<'a, char>);

impl<'a> FieldValues<'a> {
    fn from_headers(headers: &'a HeaderMap, name: &HeaderName) -> Option<Self> {
        Some(FieldValues(headers.get(name)?.to_str().ok()?.split(',')))
    }

    fn next<T: FromStr>(&mut self) -> Option<T> {
        self.0.next()?.parse().ok()
    }

    /// Returns a time, at most [`MAX_TIME`], so that it can be added to the clock.
    fn next_time(&mut self) -> Option<Micros> {
        Some(self.next::<Micros>()?.min(MAX_TIME))
    }

    fn next_known(&mut self) -> Option<Known> {
        Some(Known { upstreams: self.next()?, control: self.next()? })
    }

    fn next_flag(&mut self) -> Option<bool> {
        Some(self.next::<u8>()? != 0)
    }
}

fn join(values: &[&dyn Display]) -> HeaderValue {
    let texts: Vec<String> = values.iter().map(ToString::to_string).collect();
    // Instance names come from header fields or the store. A name that is not valid header text
    // cannot match an instance, so the field is left empty.
    HeaderValue::from_str(&texts.join(",")).unwrap_or(HeaderValue::from_static(""))
}

impl GateRequest {
    /// Writes the metadata to the headers of a request.
    pub fn write(&self, headers: &mut HeaderMap) {
        let (accept_slow, nested) = (u8::from(self.accept_slow), u8::from(self.nested));
        let value = join(&[
            &self.ingress,
            &self.known.upstreams,
            &self.known.control,
            &self.timeout,
            &self.target,
            &self.rank,
            &nested,
            &self.weight_pct,
            &self.service_time,
            &accept_slow,
            &self.fingerprint,
            &self.instance,
        ]);
        headers.insert(REQUEST_FIELD, value);
    }

    /// Removes the metadata from the headers of a request and parses it.
    pub fn extract(headers: &mut HeaderMap) -> Option<Self> {
        let request = GateRequest::read(headers);
        headers.remove(REQUEST_FIELD);
        request
    }

    fn read(headers: &HeaderMap) -> Option<Self> {
        let mut values = FieldValues::from_headers(headers, &REQUEST_FIELD)?;
        Some(GateRequest {
            ingress: values.next()?,
            known: values.next_known()?,
            timeout: values.next_time()?,
            target: values.next_time()?,
            rank: values.next()?,
            nested: values.next_flag()?,
            weight_pct: values.next::<u32>()?.min(MAX_WEIGHT_PCT),
            service_time: values.next_time()?,
            accept_slow: values.next_flag()?,
            fingerprint: values.next()?,
            instance: values.next()?,
        })
    }
}

impl GateReply {
    /// Writes the metadata to the headers of a response.
    pub fn write(&self, headers: &mut HeaderMap) {
        let report = &self.report;
        let (closed, cold) = (u8::from(report.closed), u8::from(report.cold));
        let call_refused = u8::from(self.call_refused);
        let value = join(&[
            &self.outcome.name(),
            &self.retry_after,
            &self.service_time,
            &call_refused,
            &self.elapsed,
            &report.running,
            &report.queued,
            &report.limit,
            &report.speed_pct,
            &report.slow_remaining,
            &report.backlog,
            &closed,
            &cold,
            &report.room.level_pct,
            &report.room.lack_ms,
            &self.known.upstreams,
            &self.known.control,
        ]);
        headers.insert(REPLY_FIELD, value);
    }

    /// Removes the metadata from the headers of a response and parses it.
    pub fn extract(headers: &mut HeaderMap) -> Option<Self> {
        let reply = GateReply::read(headers);
        headers.remove(REPLY_FIELD);
        reply
    }

    fn read(headers: &HeaderMap) -> Option<Self> {
        let mut values = FieldValues::from_headers(headers, &REPLY_FIELD)?;
        let outcome = GateOutcome::parse(values.0.next()?)?;
        Some(GateReply {
            outcome,
            retry_after: values.next_time()?,
            service_time: values.next_time()?,
            call_refused: values.next_flag()?,
            elapsed: values.next_time()?,
            report: LoadReport {
                running: values.next()?,
                queued: values.next()?,
                limit: values.next()?,
                speed_pct: values.next()?,
                slow_remaining: values.next_time()?,
                backlog: values.next_time()?,
                closed: values.next_flag()?,
                cold: values.next_flag()?,
                room: Room { level_pct: values.next()?, lack_ms: values.next()? },
            }
            .clamped(),
            known: values.next_known()?,
        })
    }
}

/// Writes the mean number of calls by service to the headers of a response, if there are any.
pub(crate) fn write_calls(calls: &[(Name, f64)], headers: &mut HeaderMap) {
    if calls.is_empty() {
        return;
    }
    let texts: Vec<String> =
        calls.iter().map(|(service, calls)| format!("{calls:.2} {service}")).collect();
    if let Ok(value) = HeaderValue::from_str(&texts.join(",")) {
        headers.insert(CALLS_FIELD, value);
    }
}

/// Removes the mean number of calls by service from the headers of a response and parses it.
pub(crate) fn extract_calls(headers: &mut HeaderMap) -> Vec<(Name, f64)> {
    let Some(value) = headers.remove(CALLS_FIELD) else { return Vec::new() };
    let Ok(text) = value.to_str() else { return Vec::new() };
    let parse = |entry: &str| {
        let (calls, service) = entry.split_once(' ')?;
        let calls = calls.parse::<f64>().ok().filter(|calls| calls.is_finite() && *calls >= 0.0)?;
        Some((Name::from(service), calls))
    };
    text.split(',').take(MAX_CALLED).filter_map(parse).collect()
}
