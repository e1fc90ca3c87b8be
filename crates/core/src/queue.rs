//! Queue of one upstream, ordered by class and by the share of the slots that each owner uses.
//!
//! The gate of bbv-node uses it; it matters while more requests arrive than the upstream has
//! slots.

use serde::{Deserialize, Serialize};

use crate::units::Micros;

/// Priority class of a catalogue entry; a greater class is served first.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Class {
    /// Tolerates queueing and is refused first.
    Batch,
    /// A user waits for the answer.
    Interactive,
    /// Refused last.
    Critical,
}

/// Number of the team that owns an entry, valid on one node.
pub type OwnerId = u16;

/// Request that needs a slot of the upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PendingRequest {
    /// Identifier that the node gives to the request.
    pub id: u64,
    /// Class of its entry.
    pub class: Class,
    /// Owner of its entry.
    pub owner: OwnerId,
    /// Share of the slots reserved for its owner, from 0 to 1.
    pub share: f64,
    /// Time after which the answer is of no use.
    pub deadline: Micros,
}

/// Requests queued at one upstream.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    requests: Vec<PendingRequest>,
}

impl Queue {
    /// Adds a request at the end.
    ///
    /// ```
    /// use bbv_core::queue::{Class, PendingRequest, Queue};
    /// let mut queue = Queue::default();
    /// queue.push(PendingRequest {
    ///     id: 1, class: Class::Batch, owner: 0, share: 1.0, deadline: 9,
    /// });
    /// assert_eq!(queue.len(), 1);
    /// ```
    pub fn push(&mut self, request: PendingRequest) {
        self.requests.push(request);
    }

    /// Number of queued requests.
    ///
    /// ```
    /// assert_eq!(bbv_core::queue::Queue::default().len(), 0);
    /// ```
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Returns whether no request is queued.
    ///
    /// ```
    /// assert!(bbv_core::queue::Queue::default().is_empty());
    /// ```
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Number of queued requests of `owner`.
    ///
    /// ```
    /// assert_eq!(bbv_core::queue::Queue::default().count_owner(3), 0);
    /// ```
    pub fn count_owner(&self, owner: OwnerId) -> usize {
        self.requests.iter().filter(|request| request.owner == owner).count()
    }

    /// Removes and returns the next request to run.
    ///
    /// The greatest class goes first; within it the owner with the fewest running requests
    /// relative to its share; within an owner the earliest arrival. `running` returns the
    /// number of running requests of an owner.
    ///
    /// ```
    /// use bbv_core::queue::{Class, PendingRequest, Queue};
    /// let mut queue = Queue::default();
    /// queue.push(PendingRequest {
    ///     id: 1, class: Class::Batch, owner: 0, share: 1.0, deadline: 9,
    /// });
    /// queue.push(PendingRequest {
    ///     id: 2, class: Class::Critical, owner: 0, share: 1.0, deadline: 9,
    /// });
    /// assert_eq!(queue.pop(|_| 0).map(|request| request.id), Some(2));
    /// ```
    pub fn pop(&mut self, running: impl Fn(OwnerId) -> u32) -> Option<PendingRequest> {
        let usage =
            |request: &PendingRequest| f64::from(running(request.owner)) / request.share.max(0.001);
        let mut best: Option<(usize, f64)> = None;
        for (index, request) in self.requests.iter().enumerate() {
            let ratio = usage(request);
            let better = match best {
                None => true,
                Some((best_index, best_ratio)) => {
                    let class = self.requests[best_index].class;
                    request.class > class || (request.class == class && ratio < best_ratio)
                }
            };
            if better {
                best = Some((index, ratio));
            }
        }
        best.map(|(index, _)| self.requests.remove(index))
    }

    /// Removes and returns a request whose deadline has passed.
    ///
    /// ```
    /// use bbv_core::queue::{Class, PendingRequest, Queue};
    /// let mut queue = Queue::default();
    /// queue.push(PendingRequest {
    ///     id: 1, class: Class::Batch, owner: 0, share: 1.0, deadline: 9,
    /// });
    /// assert!(queue.expire(10).is_some());
    /// ```
    pub fn expire(&mut self, now: Micros) -> Option<PendingRequest> {
        let index = self.requests.iter().position(|request| request.deadline <= now)?;
        Some(self.requests.remove(index))
    }

    /// Removes a cancelled request; returns whether it was queued.
    ///
    /// ```
    /// assert!(!bbv_core::queue::Queue::default().cancel(4));
    /// ```
    pub fn cancel(&mut self, id: u64) -> bool {
        let before = self.requests.len();
        self.requests.retain(|request| request.id != id);
        self.requests.len() < before
    }
}
