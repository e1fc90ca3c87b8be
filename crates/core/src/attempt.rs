//! Remembers attempts of non-idempotent operations at a gate, so that a repeated or voided attempt
//! is not run. Used by bbv-node for every such attempt; under a high rate of them the table fills
//! up and further attempts are refused.

use std::collections::{BTreeMap, VecDeque};
use std::sync::LazyLock;

use crate::chart::{Chart, State};
use crate::id::AttemptId;
use crate::units::{Micros, SEC};

/// State chart of an attempt.
pub static CHART: LazyLock<Chart> = LazyLock::new(|| {
    Chart::parse(include_str!("../../../charts/attempt.yaml")).expect("attempt chart is valid")
});

/// Time for which a gate remembers an attempt: the lifetime of a ticket plus the owner's grace.
pub const RETENTION: Micros = 660 * SEC;

/// Status of an attempt at a gate.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AttemptStatus<A> {
    /// It arrived for the first time and may run.
    New,
    /// It runs or waits to run.
    Running,
    /// It ran and gave this answer.
    Done(A),
    /// It may have run; its answer is lost.
    Lost,
    /// It did not run and will not run.
    Voided,
}

#[derive(Clone, Debug)]
struct AttemptRecord<A> {
    state: State,
    answer: Option<A>,
}

/// Attempts remembered by a gate.
#[derive(Clone, Debug)]
pub struct Attempts<A> {
    records: BTreeMap<AttemptId, AttemptRecord<A>>,
    arrivals: VecDeque<(Micros, AttemptId)>,
    capacity: usize,
}

impl<A: Clone> Attempts<A> {
    /// Creates a table of at most `capacity` attempts.
    ///
    /// ```
    /// use bbv_core::attempt::Attempts;
    /// let attempts: Attempts<u32> = Attempts::new(9);
    /// assert!(attempts.is_empty());
    /// ```
    pub fn new(capacity: usize) -> Self {
        Attempts { records: BTreeMap::new(), arrivals: VecDeque::new(), capacity }
    }

    /// Number of attempts.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether there are no attempts.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns whether the table has no room for another attempt.
    pub fn is_full(&self) -> bool {
        self.records.len() >= self.capacity
    }

    /// Records the arrival of an attempt; it may run only if this returns [`AttemptStatus::New`].
    ///
    /// ```
    /// use bbv_core::{attempt::{Attempts, AttemptStatus}, id::AttemptId};
    /// let mut attempts: Attempts<u32> = Attempts::new(9);
    /// assert_eq!(attempts.register(0, AttemptId::default()), AttemptStatus::New);
    /// assert_eq!(attempts.register(0, AttemptId::default()), AttemptStatus::Running);
    /// ```
    pub fn register(&mut self, now: Micros, id: AttemptId) -> AttemptStatus<A> {
        if let Some(record) = self.records.get(&id) {
            return Self::status(record);
        }
        self.insert(now, id, "arrive");
        AttemptStatus::New
    }

    /// Voids an attempt that has not arrived; returns the status of one that has.
    ///
    /// ```
    /// use bbv_core::{attempt::{Attempts, AttemptStatus}, id::AttemptId};
    /// let mut attempts: Attempts<u32> = Attempts::new(9);
    /// assert_eq!(attempts.void(0, AttemptId::default()), AttemptStatus::Voided);
    /// assert_eq!(attempts.register(0, AttemptId::default()), AttemptStatus::Voided);
    /// ```
    pub fn void(&mut self, now: Micros, id: AttemptId) -> AttemptStatus<A> {
        if let Some(record) = self.records.get(&id) {
            return Self::status(record);
        }
        self.insert(now, id, "void");
        AttemptStatus::Voided
    }

    fn insert(&mut self, now: Micros, id: AttemptId, event: &str) {
        let state = CHART.next(CHART.initial(), event).expect("attempt event is allowed");
        self.records.insert(id, AttemptRecord { state, answer: None });
        self.arrivals.push_back((now, id));
    }

    fn status(record: &AttemptRecord<A>) -> AttemptStatus<A> {
        match (CHART.name(record.state), &record.answer) {
            ("done", Some(answer)) => AttemptStatus::Done(answer.clone()),
            ("running", _) => AttemptStatus::Running,
            ("voided", _) => AttemptStatus::Voided,
            _ => AttemptStatus::Lost,
        }
    }

    fn apply(&mut self, id: AttemptId, event: &str, answer: Option<A>) {
        let Some(record) = self.records.get_mut(&id) else { return };
        record.state = CHART.next(record.state, event).expect("attempt event is allowed");
        record.answer = answer;
    }

    /// Records the answer of a running attempt.
    pub fn mark_answered(&mut self, id: AttemptId, answer: A) {
        self.apply(id, "answered", Some(answer));
    }

    /// Records that a queued attempt was refused and will not run.
    pub fn mark_refused(&mut self, id: AttemptId) {
        self.apply(id, "refused", None);
    }

    /// Records that the upstream was lost while running the attempt.
    pub fn mark_lost(&mut self, id: AttemptId) {
        self.apply(id, "lost", None);
    }

    /// Removes attempts older than [`RETENTION`] that are not running.
    pub fn expire(&mut self, now: Micros) {
        while let Some((at, id)) = self.arrivals.front().copied() {
            if at + RETENTION > now {
                break;
            }
            self.arrivals.pop_front();
            let running =
                self.records.get(&id).is_some_and(|record| CHART.name(record.state) == "running");
            if running {
                self.arrivals.push_back((now, id));
                break;
            }
            self.records.remove(&id);
        }
    }
}
