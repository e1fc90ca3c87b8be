//! Attempts of non-idempotent operations as a gate knows them.

use std::collections::{BTreeMap, VecDeque};
use std::sync::LazyLock;

use crate::chart::{Chart, State};
use crate::id::AttemptId;
use crate::units::{Micros, SEC};

/// State chart of an attempt.
pub static CHART: LazyLock<Chart> = LazyLock::new(|| {
    Chart::parse(include_str!("../../../charts/attempt.yaml")).expect("attempt chart is valid")
});

/// Time for which a gate remembers an attempt.
pub const RETENTION: Micros = 660 * SEC;

/// What a gate knows about an attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Known<A> {
    /// It came for the first time and may run.
    New,
    /// It runs or waits to run.
    Running,
    /// It ran and this was its answer.
    Done(A),
    /// It ran or may have run; its answer is lost.
    Lost,
    /// It did not run and never will.
    Voided,
}

#[derive(Clone, Debug)]
struct Record<A> {
    state: State,
    answer: Option<A>,
}

/// Attempts remembered by a gate.
#[derive(Clone, Debug)]
pub struct Attempts<A> {
    records: BTreeMap<AttemptId, Record<A>>,
    order: VecDeque<(Micros, AttemptId)>,
    cap: usize,
}

impl<A: Clone> Attempts<A> {
    /// Creates a table for at most `cap` attempts.
    ///
    /// ```
    /// use bbv_core::attempt::Attempts;
    /// let attempts: Attempts<u32> = Attempts::new(9);
    /// assert!(attempts.is_empty());
    /// ```
    pub fn new(cap: usize) -> Self {
        Attempts { records: BTreeMap::new(), order: VecDeque::new(), cap }
    }

    /// Attempts remembered.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Tells whether no attempt is remembered.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Tells whether no further attempt can be remembered.
    pub fn is_full(&self) -> bool {
        self.records.len() >= self.cap
    }

    /// Records that an attempt arrived; only [`Known::New`] may be run.
    ///
    /// ```
    /// use bbv_core::{attempt::{Attempts, Known}, id::AttemptId};
    /// let mut attempts: Attempts<u32> = Attempts::new(9);
    /// assert_eq!(attempts.arrive(0, AttemptId::default()), Known::New);
    /// assert_eq!(attempts.arrive(0, AttemptId::default()), Known::Running);
    /// ```
    pub fn arrive(&mut self, now: Micros, id: AttemptId) -> Known<A> {
        if let Some(record) = self.records.get(&id) {
            return Self::known(record);
        }
        self.insert(now, id, "arrive");
        Known::New
    }

    /// Voids an attempt that has not arrived; tells what is known otherwise.
    ///
    /// ```
    /// use bbv_core::{attempt::{Attempts, Known}, id::AttemptId};
    /// let mut attempts: Attempts<u32> = Attempts::new(9);
    /// assert_eq!(attempts.void(0, AttemptId::default()), Known::Voided);
    /// assert_eq!(attempts.arrive(0, AttemptId::default()), Known::Voided);
    /// ```
    pub fn void(&mut self, now: Micros, id: AttemptId) -> Known<A> {
        if let Some(record) = self.records.get(&id) {
            return Self::known(record);
        }
        self.insert(now, id, "void");
        Known::Voided
    }

    fn insert(&mut self, now: Micros, id: AttemptId, event: &str) {
        let state = CHART.next(CHART.initial(), event).expect("attempt event is allowed");
        self.records.insert(id, Record { state, answer: None });
        self.order.push_back((now, id));
    }

    fn known(record: &Record<A>) -> Known<A> {
        match (CHART.name(record.state), &record.answer) {
            ("done", Some(answer)) => Known::Done(answer.clone()),
            ("running", _) => Known::Running,
            ("voided", _) => Known::Voided,
            _ => Known::Lost,
        }
    }

    fn apply(&mut self, id: AttemptId, event: &str, answer: Option<A>) {
        let Some(record) = self.records.get_mut(&id) else { return };
        record.state = CHART.next(record.state, event).expect("attempt event is allowed");
        record.answer = answer;
    }

    /// Records the answer of a running attempt.
    pub fn answered(&mut self, id: AttemptId, answer: A) {
        self.apply(id, "answered", Some(answer));
    }

    /// Records that a waiting attempt was refused; it never runs.
    pub fn refused(&mut self, id: AttemptId) {
        self.apply(id, "refused", None);
    }

    /// Records that the upstream was lost while it ran the attempt.
    pub fn lost(&mut self, id: AttemptId) {
        self.apply(id, "lost", None);
    }

    /// Forgets attempts older than [`RETENTION`] that do not run.
    pub fn expire(&mut self, now: Micros) {
        while let Some((at, id)) = self.order.front().copied() {
            if at + RETENTION > now {
                break;
            }
            self.order.pop_front();
            let running = self.records.get(&id).is_some_and(|r| CHART.name(r.state) == "running");
            if running {
                self.order.push_back((now, id));
                break;
            }
            self.records.remove(&id);
        }
    }
}
