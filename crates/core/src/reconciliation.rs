//! Records each attempt on both of its sides and reconciles the two records.
//!
//! bbv-node writes the rows under any load; bbvctl and the trials compare them to find
//! attempts that one side lost or reported differently.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};

use crate::id::{AttemptId, NodeId};
use crate::units::{Micros, SEC};

/// Length of the time windows by which attempts are counted.
pub const WINDOW: Micros = 10 * SEC;

/// Side of an attempt that wrote a row.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Side {
    /// Caller, from the receipt that it kept.
    Caller,
    /// Node that sent the attempt.
    Ingress,
    /// Node that received the attempt.
    Gate,
}

/// How an attempt ended on one side.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Mark {
    /// A complete answer was passed on.
    Answered,
    /// The attempt was cancelled by its ingress.
    Cancelled,
    /// It was refused and not run.
    Refused,
    /// This side does not know the outcome.
    Unknown,
}

/// One finished attempt on one side.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Row {
    /// Identifier of the attempt.
    pub attempt: AttemptId,
    /// Node that the attempt was sent to.
    pub gate: NodeId,
    /// Catalogue entry.
    pub entry: String,
    /// Owner of the entry.
    pub owner: String,
    /// Number of the window in which it ended, by the clock of this side.
    pub window: u64,
    /// How it ended.
    pub mark: Mark,
}

/// Rows that one node holds as ingress and as gate.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Statement {
    /// Node that wrote the rows.
    pub node: NodeId,
    /// Rows as the sender of attempts.
    pub ingress: Vec<Row>,
    /// Rows as the receiver of attempts.
    pub gate: Vec<Row>,
    /// Attempts sent since the node started.
    pub sent: u64,
    /// Rows evicted to stay within the capacity.
    pub dropped: u64,
}

/// Number of attempts by how they ended.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Counts {
    /// Attempts answered.
    pub answered: u64,
    /// Attempts cancelled.
    pub cancelled: u64,
    /// Attempts refused.
    pub refused: u64,
    /// Attempts of unknown outcome.
    pub unknown: u64,
}

impl Counts {
    /// Adds one attempt.
    ///
    /// ```
    /// use bbv_core::reconciliation::{Counts, Mark};
    /// let mut count = Counts::default();
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

/// The latest rows of a node, bounded in number on each side.
#[derive(Clone, Debug)]
pub struct AttemptLog {
    node: NodeId,
    capacity: usize,
    ingress: VecDeque<Row>,
    gate: VecDeque<Row>,
    sent: u64,
    dropped: u64,
}

impl AttemptLog {
    /// Creates an empty log that holds up to `capacity` rows on each side.
    ///
    /// ```
    /// use bbv_core::{id::NodeId, reconciliation::AttemptLog};
    /// assert_eq!(AttemptLog::new(NodeId::default(), 9).statement().sent, 0);
    /// ```
    pub fn new(node: NodeId, capacity: usize) -> Self {
        let (ingress, gate) = (VecDeque::new(), VecDeque::new());
        AttemptLog { node, capacity, ingress, gate, sent: 0, dropped: 0 }
    }

    /// Returns the serial number of the next attempt to send.
    pub fn next_serial(&mut self) -> u64 {
        self.sent += 1;
        self.sent
    }

    /// Adds a row on one side and evicts the oldest row of a side that is full.
    pub fn record(&mut self, side: Side, row: Row) {
        let rows = if side == Side::Gate { &mut self.gate } else { &mut self.ingress };
        if rows.len() >= self.capacity {
            rows.pop_front();
            self.dropped += 1;
        }
        rows.push_back(row);
    }

    /// Returns a copy of the rows held and the totals.
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

/// An attempt whose two sides contradict each other.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Difference {
    /// Identifier of the attempt.
    pub attempt: AttemptId,
    /// Catalogue entry.
    pub entry: String,
    /// Sender's mark, if it wrote a row.
    pub ingress: Option<Mark>,
    /// Receiver's mark, if it wrote a row.
    pub gate: Option<Mark>,
}

/// Attempts that cannot be compared because rows of one node are missing.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Gap {
    /// Node whose statement is missing or incomplete.
    pub node: NodeId,
    /// Attempts for which only the other side's row is available.
    pub one_sided: u64,
    /// Attempts for which neither row is available.
    pub no_rows: u64,
}

/// Result of a reconciliation.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Reconciliation {
    /// Attempts on which both sides agree.
    pub agreed: u64,
    /// Attempts whose sides differ without contradiction, for example because one side learned
    /// the outcome after the other wrote its row.
    pub settled: u64,
    /// Attempts whose sides contradict each other.
    pub differing: Vec<Difference>,
    /// Attempts that cannot be compared.
    pub gaps: Vec<Gap>,
    /// Agreed attempts by entry, owner and window of the gate.
    pub counts: Vec<Total>,
}

/// Agreed attempts of one entry and owner in one window.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Total {
    /// Catalogue entry.
    pub entry: String,
    /// Owner of the entry.
    pub owner: String,
    /// Number of the window, by the gate's clock.
    pub window: u64,
    /// Attempts by how they ended.
    pub count: Counts,
}

/// Compares the statements of any number of nodes.
///
/// A row without a counterpart is a difference if the other node's statement is available
/// and complete, and otherwise counts towards a gap. If the ingress marked the attempt as
/// unknown or cancelled, any row of the gate settles it.
///
/// ```
/// assert_eq!(bbv_core::reconciliation::reconcile(&[]).agreed, 0);
/// ```
pub fn reconcile(statements: &[Statement]) -> Reconciliation {
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
    let mut result = Reconciliation::default();
    let mut gaps: BTreeMap<NodeId, Gap> = BTreeMap::new();
    let mut totals: BTreeMap<(String, String, u64), Counts> = BTreeMap::new();
    for (attempt, (ingress, gate)) in &pairs {
        match compare(*ingress, *gate, &complete) {
            Comparison::Agreed(row) => {
                result.agreed += 1;
                let key = (row.entry.clone(), row.owner.clone(), row.window);
                totals.entry(key).or_default().add(row.mark);
            }
            Comparison::Settled => result.settled += 1,
            Comparison::Differ => result.differing.push(Difference {
                attempt: *attempt,
                entry: ingress.or(*gate).map(|row| row.entry.clone()).unwrap_or_default(),
                ingress: ingress.map(|row| row.mark),
                gate: gate.map(|row| row.mark),
            }),
            Comparison::Gap(node) => gap_entry(&mut gaps, node).one_sided += 1,
        }
    }
    count_missing_serials(statements, &pairs, &mut gaps);
    result.gaps = gaps.into_values().collect();
    result.counts = totals
        .into_iter()
        .map(|((entry, owner, window), count)| Total { entry, owner, window, count })
        .collect();
    result
}

enum Comparison<'a> {
    Agreed(&'a Row),
    Settled,
    Differ,
    Gap(NodeId),
}

fn compare<'a>(
    ingress: Option<&'a Row>,
    gate: Option<&'a Row>,
    complete: &BTreeSet<NodeId>,
) -> Comparison<'a> {
    match (ingress, gate) {
        (Some(sender), Some(receiver)) if sender.mark == receiver.mark => {
            Comparison::Agreed(receiver)
        }
        (Some(sender), Some(_)) if matches!(sender.mark, Mark::Cancelled | Mark::Unknown) => {
            Comparison::Settled
        }
        (Some(sender), None) if !complete.contains(&sender.gate) => Comparison::Gap(sender.gate),
        // The attempt did not reach the gate, and the sender recorded no answer.
        (Some(sender), None) if sender.mark != Mark::Answered => Comparison::Settled,
        (None, Some(receiver)) if !complete.contains(&receiver.attempt.node) => {
            Comparison::Gap(receiver.attempt.node)
        }
        _ => Comparison::Differ,
    }
}

fn gap_entry(gaps: &mut BTreeMap<NodeId, Gap>, node: NodeId) -> &mut Gap {
    gaps.entry(node).or_insert(Gap { node, one_sided: 0, no_rows: 0 })
}

/// Serial numbers are consecutive, so a missing one is an attempt that lost both of its rows.
fn count_missing_serials(
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
            gap_entry(gaps, node).no_rows += missing;
        }
    }
}
