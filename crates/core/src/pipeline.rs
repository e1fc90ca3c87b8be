//! Order of the requests of one connection, some of which are started before it is their turn.
//!
//! It matters when a caller sends further requests before the first one is answered: their work then
//! overlaps, while their responses keep the order of the requests.

use std::collections::VecDeque;

/// Number of a request on its connection, in the order of arrival.
pub type Turn = u64;

/// What happens to a request that was read before its turn.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Step {
    /// It has its turn, or had it.
    Pass,
    /// It starts now.
    Start,
    /// It is looked at again later; no request behind it may start.
    Wait,
}

/// Requests of one connection whose responses are not written yet.
#[derive(Clone, Debug)]
pub struct Pipeline {
    /// Number of requests that have had their turn.
    begun: Turn,
    /// Whether the last of them has been read to its end.
    complete: bool,
    /// Requests that have been started before their turn.
    started: VecDeque<Turn>,
    max_started: usize,
    closing: bool,
}

impl Pipeline {
    /// Creates the state of a connection on which at most `max_started` requests may be open before their
    /// turn.
    pub fn new(max_started: usize) -> Self {
        Pipeline {
            begun: 0,
            complete: false,
            started: VecDeque::new(),
            max_started,
            closing: false,
        }
    }

    /// Begins the turn of the next request, which has been read to its end if `complete` is set.
    /// Returns its number, and whether it was started before.
    ///
    /// ```
    /// use bbv_core::pipeline::{Pipeline, Step};
    /// let mut pipeline = Pipeline::new(4);
    /// assert_eq!(pipeline.begin(true), (0, false));
    /// assert_eq!(pipeline.step(1, true), Step::Start);
    /// assert_eq!(pipeline.begin(true), (1, true));
    /// ```
    pub fn begin(&mut self, complete: bool) -> (Turn, bool) {
        let turn = self.begun;
        self.begun += 1;
        self.complete = complete;
        let started = self.started.front() == Some(&turn);
        if started {
            self.started.pop_front();
        }
        (turn, started)
    }

    /// Records that the last request that has had its turn has been read to its end.
    ///
    /// ```
    /// let mut pipeline = bbv_core::pipeline::Pipeline::new(4);
    /// pipeline.begin(false);
    /// pipeline.complete();
    /// assert!(pipeline.is_complete());
    /// ```
    pub fn complete(&mut self) {
        self.complete = true;
    }

    /// Returns whether a request has had its turn, and the last such has been read to its end.
    ///
    /// ```
    /// assert!(!bbv_core::pipeline::Pipeline::new(4).is_complete());
    /// ```
    pub fn is_complete(&self) -> bool {
        self.complete
    }

    /// Returns the number of the next request that has its turn.
    ///
    /// ```
    /// assert_eq!(bbv_core::pipeline::Pipeline::new(4).next_turn(), 0);
    /// ```
    pub fn next_turn(&self) -> Turn {
        self.begun
    }

    /// Decides about request `turn`, which has been read, and which may run beside the ones before it if
    /// `independent` is set. A request starts at most once.
    ///
    /// ```
    /// use bbv_core::pipeline::{Pipeline, Step};
    /// let mut pipeline = Pipeline::new(4);
    /// pipeline.begin(true);
    /// assert_eq!(pipeline.step(0, true), Step::Pass);
    /// assert_eq!(pipeline.step(1, false), Step::Wait);
    /// ```
    pub fn step(&mut self, turn: Turn, independent: bool) -> Step {
        if turn < self.begun {
            let incomplete = turn + 1 == self.begun && !self.complete;
            return if incomplete { Step::Wait } else { Step::Pass };
        }
        if self.started.back().is_some_and(|last| *last >= turn) {
            return Step::Pass;
        }
        if !independent || self.closing || self.started.len() >= self.max_started {
            return Step::Wait;
        }
        self.started.push_back(turn);
        Step::Start
    }

    /// Lets no further request start before its turn.
    ///
    /// ```
    /// use bbv_core::pipeline::{Pipeline, Step};
    /// let mut pipeline = Pipeline::new(4);
    /// pipeline.close();
    /// assert_eq!(pipeline.step(0, true), Step::Wait);
    /// ```
    pub fn close(&mut self) {
        self.closing = true;
    }

    /// Returns whether requests have been started whose turn has not come. Until it has, the connection
    /// has to stay open.
    ///
    /// ```
    /// assert!(!bbv_core::pipeline::Pipeline::new(4).has_started());
    /// ```
    pub fn has_started(&self) -> bool {
        !self.started.is_empty()
    }

    /// Decides whether the response of the last request that has had its turn closes the connection,
    /// which the request itself wants if `wanted` is set. Started requests are answered before.
    ///
    /// ```
    /// let mut pipeline = bbv_core::pipeline::Pipeline::new(4);
    /// pipeline.begin(true);
    /// assert!(pipeline.closes(true));
    /// ```
    pub fn closes(&mut self, wanted: bool) -> bool {
        self.closing |= wanted;
        self.closing && self.started.is_empty()
    }
}
