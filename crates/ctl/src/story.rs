//! The story of one request, from the logs of several nodes.

use std::collections::BTreeMap;

use serde::Serialize;

/// One line of a node's log.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Line {
    /// File that it stands in.
    pub file: String,
    /// Wall clock of the node, in milliseconds of Unix time.
    pub ts_ms: u64,
    /// Name of the event.
    pub event: String,
    /// All other keys with their values.
    pub values: BTreeMap<String, String>,
}

/// Lines that concern one request, and what they come to.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Story {
    /// Lines with the request's id, in order of time.
    pub lines: Vec<Line>,
    /// Changes of what the nodes believed shortly before.
    pub context: Vec<Line>,
    /// Cause in a few words.
    pub cause: String,
}

/// Time before a request in which changes may have led to its failure.
const CONTEXT_MS: u64 = 5_000;
/// Events that change what a node believes.
const BELIEFS: [&str; 8] = [
    "store-forgot",
    "store-lost",
    "store-regained",
    "stopping",
    "upstream-crashed",
    "upstream-down",
    "upstream-up",
    "view-changed",
];

impl Line {
    /// Reads a line; none if it is not an event with a time.
    ///
    /// ```
    /// use bbv_ctl::story::Line;
    /// let line = Line::parse("a", "level=INFO event=call ts_ms=5 id=x why=\"no room\"").unwrap();
    /// assert_eq!(line.values["why"], "no room");
    /// ```
    pub fn parse(file: &str, text: &str) -> Option<Self> {
        let mut values = pairs(text);
        let event = values.remove("event")?;
        let ts_ms = values.remove("ts_ms")?.parse().ok()?;
        Some(Line { file: file.to_owned(), ts_ms, event, values })
    }

    fn get(&self, key: &str) -> &str {
        self.values.get(key).map_or("?", String::as_str)
    }
}

/// Splits a line into its `key=value` pairs; values may be quoted.
fn pairs(text: &str) -> BTreeMap<String, String> {
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

/// Reads up to the closing quote; returns the text and what follows.
fn unquote(text: &str) -> (String, &str) {
    let mut value = String::new();
    let mut letters = text.char_indices();
    while let Some((at, letter)) = letters.next() {
        match letter {
            '"' => return (value, &text[at + 1..]),
            '\\' => value.extend(letters.next().map(|(_, escaped)| escaped)),
            _ => value.push(letter),
        }
    }
    (value, "")
}

/// Tells the story of request `id`; none if no line names it.
///
/// ```
/// use bbv_ctl::story::{Line, tell};
/// let line = Line::parse("a", "event=call ts_ms=5 id=x ended=no-route status=404").unwrap();
/// assert_eq!(tell("x", &[line]).unwrap().cause, "no route matched its host and path");
/// ```
pub fn tell(id: &str, all: &[Line]) -> Option<Story> {
    let lines = lines_of(id, all);
    let first = lines.first()?.ts_ms;
    let last = lines.last()?.ts_ms;
    let near = first.saturating_sub(CONTEXT_MS)..=last;
    let relevant =
        |line: &&Line| BELIEFS.contains(&line.event.as_str()) && near.contains(&line.ts_ms);
    let mut context: Vec<Line> = all.iter().filter(relevant).cloned().collect();
    context.sort_by_key(|line| line.ts_ms);
    let mut cause = cause(&lines, &context);
    if lines.iter().any(failed_by_upstream)
        && let Some(call) = failed_call(id, all)
        && let Some(story) = tell(call, all)
    {
        cause += &format!("; its call {call} failed: {}", story.cause);
    }
    Some(Story { lines, context, cause })
}

/// Lines that name request `id`, in order of time.
fn lines_of(id: &str, all: &[Line]) -> Vec<Line> {
    let mut lines: Vec<Line> = all.iter().filter(|line| line.get("id") == id).cloned().collect();
    lines.sort_by_key(|line| line.ts_ms);
    lines
}

fn failed_by_upstream(line: &Line) -> bool {
    line.event == "call" && line.get("ended") == "answered" && line.get("status") >= "500"
}

/// A failed call of the upstream that ran request `id`; ids of such calls continue the
/// request's id after a dot.
fn failed_call<'a>(id: &str, all: &'a [Line]) -> Option<&'a str> {
    let of_run = |line: &&Line| {
        let rest = line.get("id").strip_prefix(id);
        line.event == "call" && rest.is_some_and(|rest| rest.starts_with('.'))
    };
    let failed = |line: &&Line| line.get("status") >= "400";
    all.iter().filter(of_run).find(failed).map(|line| line.get("id"))
}

fn cause(lines: &[Line], context: &[Line]) -> String {
    let last = |event: &str| lines.iter().rev().find(|line| line.event == event);
    let Some(call) = last("call") else {
        return "the ingress wrote no ending: it succeeded, or the line was left out".to_owned();
    };
    let gate = last("gate-ended");
    let at_gate = || gate.map_or_else(|| unreached(call, last("tried")), gate_cause);
    let away = context.iter().any(|line| line.event == "store-lost");
    let stale =
        if away { "; the store was away, so that the node's knowledge was old" } else { "" };
    match call.get("ended") {
        "answered" => format!("the upstream answered with status {}", call.get("status")),
        "caller-left" => "its caller left before it was answered".to_owned(),
        "no-route" => format!("no route matched its host and path{stale}"),
        "no-routing" => format!("the node knew no routing yet{stale}"),
        "no-room" => format!("refused: {}{stale}", at_gate()),
        "lost" => format!("outcome unknown: {}", at_gate()),
        "expired" | "late" => format!("timed out: {}", at_gate()),
        "poison" => "refused: requests like it crashed two upstreams".to_owned(),
        other => format!("ended by the ingress: {other}"),
    }
}

/// Cause where no line of a gate names the request.
fn unreached(call: &Line, tried: Option<&Line>) -> String {
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

fn gate_cause(gate: &Line) -> String {
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
        "full" => format!("too much work waited ({load})"),
        "cold" => format!("the upstream was cold ({load})"),
        "slow" => format!("the upstream was slow for a moment ({load})"),
        "closed" => "the upstream was leaving, out of service or gone".to_owned(),
        "rejected" => format!("the upstream did not run it: {}", gate.get("why")),
        "unsent" => format!("the upstream accepted no connection: {}", gate.get("why")),
        "lost" => format!("the upstream's answer was lost: {}", gate.get("why")),
        "expired" => format!("the upstream had not answered at the deadline ({load})"),
        other => format!("the gate ended it with {other}"),
    }
}
