//! Double-entry counts of attempts and their reconciliation.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};

use crate::id::{AttemptId, NodeId};
use crate::units::{Micros, SEC};

/// Length of a time window of a statement.
pub const WINDOW: Micros = 10 * SEC;

/// Side of an attempt that a row was written on.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Side {
    /// Caller's own record of a receipt.
    Caller,
    /// Node that sent the attempt.
    Ingress,
    /// Node that received it.
    Gate,
}

/// How an attempt ended on one side.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Mark {
    /// A whole answer was passed on.
    Answered,
    /// The attempt was cancelled by its ingress.
    Cancelled,
    /// It was refused and not run.
    Refused,
    /// Its outcome is not known on this side.
    Unknown,
}

/// One finished attempt on one side.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Row {
    /// Identity of the attempt.
    pub attempt: AttemptId,
    /// Gate that the attempt was sent to.
    pub gate: NodeId,
    /// Catalogue entry.
    pub entry: String,
    /// Owner of the entry.
    pub owner: String,
    /// Window in which it ended, on the clock of this side.
    pub window: u64,
    /// How it ended.
    pub mark: Mark,
}

/// Rows of one node on both of its sides.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Statement {
    /// Node that wrote it.
    pub node: NodeId,
    /// Rows as the sender of attempts.
    pub ingress: Vec<Row>,
    /// Rows as the receiver of attempts.
    pub gate: Vec<Row>,
    /// Attempts sent since the node started.
    pub sent: u64,
    /// Rows no longer held.
    pub dropped: u64,
}

/// Counts by entry, owner and window.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Count {
    /// Attempts answered.
    pub answered: u64,
    /// Attempts cancelled.
    pub cancelled: u64,
    /// Attempts refused.
    pub refused: u64,
    /// Attempts of unknown outcome.
    pub unknown: u64,
}

impl Count {
    /// Adds one attempt.
    ///
    /// ```
    /// use bbv_core::tally::{Count, Mark};
    /// let mut count = Count::default();
    /// count.add(Mark::Answered);
    /// assert_eq!(count.answered, 1);
    /// ```
    pub fn add(&mut self, mark: Mark) {
        match mark {
            Mark::Answered => self.answered += 1,
            Mark::Cancelled => self.cancelled += 1,
            Mark::Refused => self.refused += 1,
            Mark::Unknown => self.unknown += 1,
        }
    }
}

/// Rows that a node has written, bounded in number.
#[derive(Clone, Debug)]
pub struct Tally {
    node: NodeId,
    cap: usize,
    ingress: VecDeque<Row>,
    gate: VecDeque<Row>,
    sent: u64,
    dropped: u64,
}

impl Tally {
    /// Creates an empty tally that holds `cap` rows a side.
    ///
    /// ```
    /// use bbv_core::{id::NodeId, tally::Tally};
    /// assert_eq!(Tally::new(NodeId::default(), 9).statement().sent, 0);
    /// ```
    pub fn new(node: NodeId, cap: usize) -> Self {
        let (ingress, gate) = (VecDeque::new(), VecDeque::new());
        Tally { node, cap, ingress, gate, sent: 0, dropped: 0 }
    }

    /// Returns the serial number of the next attempt to send.
    pub fn next_serial(&mut self) -> u64 {
        self.sent += 1;
        self.sent
    }

    /// Writes a row on one side.
    pub fn write(&mut self, side: Side, row: Row) {
        let rows = if side == Side::Gate { &mut self.gate } else { &mut self.ingress };
        if rows.len() >= self.cap {
            rows.pop_front();
            self.dropped += 1;
        }
        rows.push_back(row);
    }

    /// Copies what is held.
    pub fn statement(&self) -> Statement {
        Statement {
            node: self.node,
            ingress: self.ingress.iter().cloned().collect(),
            gate: self.gate.iter().cloned().collect(),
            sent: self.sent,
            dropped: self.dropped,
        }
    }
}

/// One attempt on which two sides differ.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Difference {
    /// Identity of the attempt.
    pub attempt: AttemptId,
    /// Catalogue entry.
    pub entry: String,
    /// Mark of the sender, if it wrote a row.
    pub ingress: Option<Mark>,
    /// Mark of the receiver, if it wrote a row.
    pub gate: Option<Mark>,
}

/// Attempts that no statement at hand can settle.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Gap {
    /// Node whose statement is missing or incomplete.
    pub node: NodeId,
    /// Attempts of which only the counterpart's row is at hand.
    pub one_sided: u64,
    /// Attempts of which no row is at hand.
    pub no_rows: u64,
}

/// Result of a reconciliation.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Report {
    /// Attempts on which both sides agree.
    pub agreed: u64,
    /// Attempts whose outcome one side learned later than the other wrote its row.
    pub settled: u64,
    /// Attempts on which they differ.
    pub differing: Vec<Difference>,
    /// Attempts that cannot be compared.
    pub gaps: Vec<Gap>,
    /// Counts of agreed attempts by entry, owner and window of the gate.
    pub counts: Vec<Total>,
}

/// Agreed counts of one entry in one window.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Total {
    /// Catalogue entry.
    pub entry: String,
    /// Owner of the entry.
    pub owner: String,
    /// Window on the gate's clock.
    pub window: u64,
    /// Counts.
    pub count: Count,
}

/// Compares statements of any number of nodes.
///
/// A row without counterpart is a difference when the counterpart's statement is at
/// hand and complete, and otherwise part of a gap. An ingress row of unknown outcome
/// or cancelled is settled by whatever the gate wrote.
///
/// ```
/// assert_eq!(bbv_core::tally::reconcile(&[]).agreed, 0);
/// ```
pub fn reconcile(statements: &[Statement]) -> Report {
    let mut pairs: BTreeMap<AttemptId, (Option<&Row>, Option<&Row>)> = BTreeMap::new();
    let complete: BTreeSet<NodeId> =
        statements.iter().filter(|s| s.dropped == 0).map(|s| s.node).collect();
    for statement in statements {
        for row in &statement.ingress {
            pairs.entry(row.attempt).or_default().0 = Some(row);
        }
        for row in &statement.gate {
            pairs.entry(row.attempt).or_default().1 = Some(row);
        }
    }
    let mut report = Report::default();
    let mut gaps: BTreeMap<NodeId, Gap> = BTreeMap::new();
    let mut totals: BTreeMap<(String, String, u64), Count> = BTreeMap::new();
    for (attempt, (ingress, gate)) in &pairs {
        match compare(*ingress, *gate, &complete) {
            Verdict::Agreed(row) => {
                report.agreed += 1;
                let key = (row.entry.clone(), row.owner.clone(), row.window);
                totals.entry(key).or_default().add(row.mark);
            }
            Verdict::Settled => report.settled += 1,
            Verdict::Differ => report.differing.push(Difference {
                attempt: *attempt,
                entry: ingress.or(*gate).map(|row| row.entry.clone()).unwrap_or_default(),
                ingress: ingress.map(|row| row.mark),
                gate: gate.map(|row| row.mark),
            }),
            Verdict::Gap(node) => gap(&mut gaps, node).one_sided += 1,
        }
    }
    count_missing(statements, &pairs, &mut gaps);
    report.gaps = gaps.into_values().collect();
    report.counts = totals
        .into_iter()
        .map(|((entry, owner, window), count)| Total { entry, owner, window, count })
        .collect();
    report
}

enum Verdict<'a> {
    Agreed(&'a Row),
    Settled,
    Differ,
    Gap(NodeId),
}

fn compare<'a>(
    ingress: Option<&'a Row>,
    gate: Option<&'a Row>,
    complete: &BTreeSet<NodeId>,
) -> Verdict<'a> {
    match (ingress, gate) {
        (Some(sender), Some(receiver)) if sender.mark == receiver.mark => Verdict::Agreed(receiver),
        (Some(sender), Some(_)) if matches!(sender.mark, Mark::Cancelled | Mark::Unknown) => {
            Verdict::Settled
        }
        (Some(sender), None) if !complete.contains(&sender.gate) => Verdict::Gap(sender.gate),
        // The attempt never reached the gate and the sender does not claim that it did.
        (Some(sender), None) if sender.mark != Mark::Answered => Verdict::Settled,
        (None, Some(receiver)) if !complete.contains(&receiver.attempt.node) => {
            Verdict::Gap(receiver.attempt.node)
        }
        _ => Verdict::Differ,
    }
}

fn gap(gaps: &mut BTreeMap<NodeId, Gap>, node: NodeId) -> &mut Gap {
    gaps.entry(node).or_insert(Gap { node, one_sided: 0, no_rows: 0 })
}

/// Serial numbers run without holes, so a hole is an attempt whose rows are both lost.
fn count_missing(
    statements: &[Statement],
    pairs: &BTreeMap<AttemptId, (Option<&Row>, Option<&Row>)>,
    gaps: &mut BTreeMap<NodeId, Gap>,
) {
    let mut seen: BTreeMap<NodeId, (u64, u64)> = BTreeMap::new();
    for attempt in pairs.keys() {
        let (count, last) = seen.entry(attempt.node).or_default();
        *count += 1;
        *last = (*last).max(attempt.serial);
    }
    for statement in statements {
        let (_, last) = seen.entry(statement.node).or_default();
        *last = (*last).max(statement.sent);
    }
    for (node, (count, last)) in seen {
        let missing = last.saturating_sub(count);
        if missing > 0 {
            gap(gaps, node).no_rows += missing;
        }
    }
}
