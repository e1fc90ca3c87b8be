//! What nodes say to each other with a request and its answer, in one header field each.

use std::fmt::Display;
use std::str::FromStr;

use bbv_core::admission::RefusalReason;
use bbv_core::placement::LoadReport;
use bbv_core::units::{Micros, Revision};
use http::header::{HeaderMap, HeaderName, HeaderValue};

/// Field of an ingress's request to a gate.
const ASK: HeaderName = HeaderName::from_static("bbv-ask");
/// Field of a gate's answer.
const REPLY: HeaderName = HeaderName::from_static("bbv-reply");

/// What a gate needs to know of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Ask {
    /// Instance of the upstream that is to run it.
    pub instance: String,
    /// Time left until the answer is useless.
    pub left: Micros,
    /// Time left in which the answer has its full worth; zero if that is over.
    pub target: Micros,
    /// Rank; 0 goes first.
    pub rank: u8,
    /// Time that it is expected to run at usual speed.
    pub work: Micros,
    /// Whether it is to be run here even if the upstream is slow.
    pub firm: bool,
    /// Fingerprint of method, path and body.
    pub print: u64,
}

/// How a request ended at a gate.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ended {
    /// The upstream answered; the status and the body are its own.
    Answered,
    /// The upstream got it and said that it did not run it.
    Rejected,
    /// No connection to the upstream could be made.
    Unsent,
    /// It was not sent to the upstream.
    Refused(RefusalReason),
    /// It crashed upstreams and was not sent to another one.
    Poison,
    /// It was sent to the upstream and may have run.
    Lost,
    /// It was sent to the upstream, which had not answered at the deadline.
    Expired,
}

/// What a gate says with its answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Reply {
    /// How the request ended.
    pub ended: Ended,
    /// Time until room is expected, for a refusal.
    pub retry: Micros,
    /// Time that the upstream took, at usual speed.
    pub work: Micros,
    /// Time from the arrival at the gate to this answer.
    pub held: Micros,
    /// Load of the gate.
    pub report: LoadReport,
    /// Revision up to which the gate knows the fleet.
    pub revision: Revision,
}

const REASONS: [RefusalReason; 5] = [
    RefusalReason::Late,
    RefusalReason::Full,
    RefusalReason::Cold,
    RefusalReason::Slow,
    RefusalReason::Closed,
];

impl Ended {
    /// Name for messages, logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Ended::Answered => "answered",
            Ended::Rejected => "rejected",
            Ended::Unsent => "unsent",
            Ended::Refused(reason) => reason.name(),
            Ended::Poison => "poison",
            Ended::Lost => "lost",
            Ended::Expired => "expired",
        }
    }

    fn parse(name: &str) -> Option<Self> {
        match name {
            "answered" => Some(Ended::Answered),
            "rejected" => Some(Ended::Rejected),
            "unsent" => Some(Ended::Unsent),
            "poison" => Some(Ended::Poison),
            "lost" => Some(Ended::Lost),
            "expired" => Some(Ended::Expired),
            _ => REASONS.into_iter().find(|reason| reason.name() == name).map(Ended::Refused),
        }
    }
}

/// Reads comma-separated values in order.
struct Values<'a>(std::str::Split<'a, char>);

impl<'a> Values<'a> {
    fn of(headers: &'a HeaderMap, name: &HeaderName) -> Option<Self> {
        Some(Values(headers.get(name)?.to_str().ok()?.split(',')))
    }

    fn next<T: FromStr>(&mut self) -> Option<T> {
        self.0.next()?.parse().ok()
    }

    fn flag(&mut self) -> Option<bool> {
        Some(self.next::<u8>()? != 0)
    }
}

fn join(values: &[&dyn Display]) -> HeaderValue {
    let texts: Vec<String> = values.iter().map(ToString::to_string).collect();
    // Instances come from header fields or the store; one that is no header text names none.
    HeaderValue::from_str(&texts.join(",")).unwrap_or(HeaderValue::from_static(""))
}

impl Ask {
    /// Writes it into a request.
    pub fn write(&self, headers: &mut HeaderMap) {
        let firm = u8::from(self.firm);
        let value = join(&[
            &self.left,
            &self.target,
            &self.rank,
            &self.work,
            &firm,
            &self.print,
            &self.instance,
        ]);
        headers.insert(ASK, value);
    }

    /// Takes it out of a request.
    pub fn take(headers: &mut HeaderMap) -> Option<Self> {
        let ask = Ask::read(headers);
        headers.remove(ASK);
        ask
    }

    fn read(headers: &HeaderMap) -> Option<Self> {
        let mut values = Values::of(headers, &ASK)?;
        Some(Ask {
            left: values.next()?,
            target: values.next()?,
            rank: values.next()?,
            work: values.next()?,
            firm: values.flag()?,
            print: values.next()?,
            instance: values.next()?,
        })
    }
}

impl Reply {
    /// Writes it into an answer.
    pub fn write(&self, headers: &mut HeaderMap) {
        let report = &self.report;
        let (closed, cold) = (u8::from(report.closed), u8::from(report.cold));
        let value = join(&[
            &self.ended.name(),
            &self.retry,
            &self.work,
            &self.held,
            &report.running,
            &report.queued,
            &report.limit,
            &report.speed_pct,
            &report.slow_remaining,
            &report.backlog,
            &closed,
            &cold,
            &self.revision,
        ]);
        headers.insert(REPLY, value);
    }

    /// Takes it out of an answer.
    pub fn take(headers: &mut HeaderMap) -> Option<Self> {
        let reply = Reply::read(headers);
        headers.remove(REPLY);
        reply
    }

    fn read(headers: &HeaderMap) -> Option<Self> {
        let mut values = Values::of(headers, &REPLY)?;
        let ended = Ended::parse(values.0.next()?)?;
        Some(Reply {
            ended,
            retry: values.next()?,
            work: values.next()?,
            held: values.next()?,
            report: LoadReport {
                running: values.next()?,
                queued: values.next()?,
                limit: values.next()?,
                speed_pct: values.next()?,
                slow_remaining: values.next()?,
                backlog: values.next()?,
                closed: values.flag()?,
                cold: values.flag()?,
            },
            revision: values.next()?,
        })
    }
}
