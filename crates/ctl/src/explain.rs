//! Finds the cause of a request's outcome in the logs of several nodes. `bbvctl why` prints the
//! result.

use std::collections::BTreeMap;

use serde::Serialize;

/// One event of a node's log.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct LogLine {
    /// Log file that contains the line.
    pub file: String,
    /// Wall clock time of the node, in milliseconds since the Unix epoch.
    pub ts_ms: u64,
    /// Name of the event.
    pub event: String,
    /// Values of all other keys.
    pub values: BTreeMap<String, String>,
}

/// Log lines about one request, with the cause that follows from them.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Explanation {
    /// Lines with the request's id, ordered by time.
    pub lines: Vec<LogLine>,
    /// State changes of the nodes shortly before and during the request, ordered by time.
    pub context: Vec<LogLine>,
    /// Short description of the cause.
    pub cause: String,
}

/// Time before a request within which a state change may have caused its failure.
const CONTEXT_MS: u64 = 5_000;
/// Events that change a node's state or its view of the store, the routes and the upstreams.
const CONTEXT_EVENTS: [&str; 9] = [
    "store-forgot",
    "store-lost",
    "store-regained",
    "store-restored",
    "stopping",
    "upstream-crashed",
    "upstream-down",
    "upstream-up",
    "view-changed",
];

impl LogLine {
    /// Parses a log line; returns `None` if it is not an event with a timestamp.
    ///
    /// ```
    /// use bbv_ctl::explain::LogLine;
    /// let line = LogLine::parse("a", "level=INFO event=call ts_ms=5 id=x why=\"no room\"")
    ///     .unwrap();
    /// assert_eq!(line.values["why"], "no room");
    /// ```
    pub fn parse(file: &str, text: &str) -> Option<Self> {
        let mut values = parse_pairs(text);
        let event = values.remove("event")?;
        let ts_ms = values.remove("ts_ms")?.parse().ok()?;
        Some(LogLine { file: file.to_owned(), ts_ms, event, values })
    }

    fn get(&self, key: &str) -> &str {
        self.values.get(key).map_or("?", String::as_str)
    }
}

/// Parses the `key=value` pairs of a line; values may be quoted.
fn parse_pairs(text: &str) -> BTreeMap<String, String> {
    let mut pairs = BTreeMap::new();
    let mut rest = text.trim();
    while let Some((key, after)) = rest.split_once('=') {
        let key = key.rsplit(' ').next().unwrap_or(key).to_owned();
        let (value, after) = match after.strip_prefix('"') {
            Some(quoted) => unquote(quoted),
            None => {
                let (value, after) = after.split_once(' ').unwrap_or((after, ""));
                (value.to_owned(), after)
            }
        };
        pairs.insert(key, value);
        rest = after;
    }
    pairs
}

/// Decodes text up to the closing quote; returns the value and the remaining text.
fn unquote(text: &str) -> (String, &str) {
    let mut value = String::new();
    let mut chars = text.char_indices();
    while let Some((index, c)) = chars.next() {
        match c {
            '"' => return (value, &text[index + 1..]),
            '\\' => value.extend(chars.next().map(|(_, escaped)| escaped)),
            _ => value.push(c),
        }
    }
    (value, "")
}

/// Explains the outcome of request `id`; returns `None` if no line has this id.
///
/// ```
/// use bbv_ctl::explain::{LogLine, explain};
/// let line = LogLine::parse("a", "event=call ts_ms=5 id=x ended=no-route status=404").unwrap();
/// assert_eq!(explain("x", &[line]).unwrap().cause, "no route matched its host and path");
/// ```
pub fn explain(id: &str, all: &[LogLine]) -> Option<Explanation> {
    let lines = request_lines(id, all);
    let first = lines.first()?.ts_ms;
    let last = lines.last()?.ts_ms;
    let period = first.saturating_sub(CONTEXT_MS)..=last;
    let relevant = |line: &&LogLine| {
        CONTEXT_EVENTS.contains(&line.event.as_str()) && period.contains(&line.ts_ms)
    };
    let mut context: Vec<LogLine> = all.iter().filter(relevant).cloned().collect();
    context.sort_by_key(|line| line.ts_ms);
    let mut cause = request_cause(&lines, &context);
    if lines.iter().any(is_upstream_error)
        && let Some(call) = failed_nested_call(id, all)
        && let Some(explanation) = explain(call, all)
    {
        cause += &format!("; its call {call} failed: {}", explanation.cause);
    }
    Some(Explanation { lines, context, cause })
}

/// Returns the lines with the id of a request, ordered by time.
fn request_lines(id: &str, all: &[LogLine]) -> Vec<LogLine> {
    let mut lines: Vec<LogLine> = all.iter().filter(|line| line.get("id") == id).cloned().collect();
    lines.sort_by_key(|line| line.ts_ms);
    lines
}

fn is_upstream_error(line: &LogLine) -> bool {
    line.event == "call" && line.get("ended") == "answered" && line.get("status") >= "500"
}

/// Finds a failed call that an upstream made while it ran request `id`. The ids of such calls are
/// the request's id, a dot and a suffix.
fn failed_nested_call<'a>(id: &str, all: &'a [LogLine]) -> Option<&'a str> {
    let nested = |line: &&LogLine| {
        let suffix = line.get("id").strip_prefix(id);
        line.event == "call" && suffix.is_some_and(|suffix| suffix.starts_with('.'))
    };
    let failed = |line: &&LogLine| line.get("status") >= "400";
    all.iter().filter(nested).find(failed).map(|line| line.get("id"))
}

fn request_cause(lines: &[LogLine], context: &[LogLine]) -> String {
    let last = |event: &str| lines.iter().rev().find(|line| line.event == event);
    let Some(call) = last("call") else {
        return "the ingress logged no end of the request: it succeeded, or the line was left out"
            .to_owned();
    };
    let gate = last("gate-ended");
    let attempt_cause = || gate.map_or_else(|| cause_without_gate(call, last("tried")), gate_cause);
    let store_lost = context.iter().any(|line| line.event == "store-lost");
    let stale_note =
        if store_lost { "; the store was away, so that the node's knowledge was old" } else { "" };
    match call.get("ended") {
        "answered" => {
            let unsigned = call.get("signed") == "false";
            let note = if unsigned { ", without an upstream's signature" } else { "" };
            format!("the upstream answered with status {}{note}", call.get("status"))
        }
        "caller-left" => "its caller left before it was answered".to_owned(),
        "no-route" => {
            let unrouted = last("call-unrouted");
            let request = unrouted.map_or_else(String::new, |line| {
                format!(" ({}{})", line.get("host"), line.get("path"))
            });
            format!("no route matched its host and path{request}{stale_note}")
        }
        "no-routing" => format!("the node had no routing yet{stale_note}"),
        "routing-behind" => {
            format!("no route matched, while the node was fetching a newer routing{stale_note}")
        }
        "no-room" => format!("refused: {}{stale_note}", attempt_cause()),
        "lost" => format!("outcome unknown: {}", attempt_cause()),
        "expired" | "late" => format!("timed out: {}", attempt_cause()),
        "poison" => "refused: requests like it crashed two upstreams".to_owned(),
        other => format!("ended by the ingress: {other}"),
    }
}

/// Returns the cause for a request without a line from a gate.
fn cause_without_gate(call: &LogLine, tried: Option<&LogLine>) -> String {
    match (tried, call.get("sends"), call.get("known")) {
        (Some(tried), ..) => format!(
            "gate {} ended it with {}: {}",
            tried.get("gate"),
            tried.get("ended"),
            tried.get("why")
        ),
        (None, "0", "0") => "the node knew no upstream of its service".to_owned(),
        (None, "0" | "?", _) => "no upstream of its service could be chosen".to_owned(),
        (None, sends, _) => format!("{sends} gates refused it, and their lines were left out"),
    }
}

fn gate_cause(gate: &LogLine) -> String {
    let load = format!(
        "{} running of {}, {} waiting, work at {}% of its usual time, report {} us old",
        gate.get("running"),
        gate.get("limit"),
        gate.get("queued"),
        gate.get("speed_pct"),
        gate.get("report_age_us")
    );
    match gate.get("ended") {
        "late" => {
            format!("it could not have been answered within {} us ({load})", gate.get("left_us"))
        }
        "full" => format!("the queue was full ({load})"),
        "cold" => format!("the upstream was cold ({load})"),
        "slow" => format!("the upstream was in a slow period ({load})"),
        "closed" => "the upstream was draining, out of service or unknown".to_owned(),
        "rejected" => format!("the upstream did not run it: {}", gate.get("why")),
        "unsent" => format!("the upstream accepted no connection: {}", gate.get("why")),
        "lost" => format!("the upstream's answer was lost: {}", gate.get("why")),
        "expired" => format!("the upstream had not answered at the deadline ({load})"),
        other => format!("the gate ended it with {other}"),
    }
}
