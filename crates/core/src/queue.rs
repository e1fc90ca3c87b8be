//! Short waiting line ordered by class and by owner share.

use serde::{Deserialize, Serialize};

use crate::units::Micros;

/// Importance of a catalogue entry; a greater class is served first.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Class {
    /// May wait and is shed first.
    Batch,
    /// A person waits for the answer.
    Interactive,
    /// Shed last.
    Critical,
}

/// Number of an owner, local to one node.
pub type Owner = u16;

/// A request that asks to run on the upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Ask {
    /// Number that the shell uses for the request.
    pub id: u64,
    /// Class of its entry.
    pub class: Class,
    /// Owner of its entry.
    pub owner: Owner,
    /// Share of the upstream that its owner may always use, from 0 to 1.
    pub share: f64,
    /// Time by which its answer is useless.
    pub deadline: Micros,
}

/// Waiting line of one upstream.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    asks: Vec<Ask>,
}

impl Queue {
    /// Adds a request at the end.
    ///
    /// ```
    /// use bbv_core::queue::{Ask, Class, Queue};
    /// let mut queue = Queue::default();
    /// queue.push(Ask { id: 1, class: Class::Batch, owner: 0, share: 1.0, deadline: 9 });
    /// assert_eq!(queue.len(), 1);
    /// ```
    pub fn push(&mut self, ask: Ask) {
        self.asks.push(ask);
    }

    /// Requests that wait.
    ///
    /// ```
    /// assert_eq!(bbv_core::queue::Queue::default().len(), 0);
    /// ```
    pub fn len(&self) -> usize {
        self.asks.len()
    }

    /// Tells whether nothing waits.
    ///
    /// ```
    /// assert!(bbv_core::queue::Queue::default().is_empty());
    /// ```
    pub fn is_empty(&self) -> bool {
        self.asks.is_empty()
    }

    /// Requests of `owner` that wait.
    ///
    /// ```
    /// assert_eq!(bbv_core::queue::Queue::default().of_owner(3), 0);
    /// ```
    pub fn of_owner(&self, owner: Owner) -> usize {
        self.asks.iter().filter(|ask| ask.owner == owner).count()
    }

    /// Removes and returns the next request to run.
    ///
    /// The greatest class goes first; within it the owner that uses the least of its
    /// share, as told by `running`; within an owner the earliest arrival.
    ///
    /// ```
    /// use bbv_core::queue::{Ask, Class, Queue};
    /// let mut queue = Queue::default();
    /// queue.push(Ask { id: 1, class: Class::Batch, owner: 0, share: 1.0, deadline: 9 });
    /// queue.push(Ask { id: 2, class: Class::Critical, owner: 0, share: 1.0, deadline: 9 });
    /// assert_eq!(queue.pop(|_| 0).map(|ask| ask.id), Some(2));
    /// ```
    pub fn pop(&mut self, running: impl Fn(Owner) -> u32) -> Option<Ask> {
        let use_of = |ask: &Ask| f64::from(running(ask.owner)) / ask.share.max(0.001);
        let mut best: Option<(usize, f64)> = None;
        for (at, ask) in self.asks.iter().enumerate() {
            let used = use_of(ask);
            let better = match best {
                None => true,
                Some((top, least)) => {
                    let class = self.asks[top].class;
                    ask.class > class || (ask.class == class && used < least)
                }
            };
            if better {
                best = Some((at, used));
            }
        }
        best.map(|(at, _)| self.asks.remove(at))
    }

    /// Removes and returns a request that can no longer be answered in time.
    ///
    /// ```
    /// use bbv_core::queue::{Ask, Class, Queue};
    /// let mut queue = Queue::default();
    /// queue.push(Ask { id: 1, class: Class::Batch, owner: 0, share: 1.0, deadline: 9 });
    /// assert!(queue.expire(10).is_some());
    /// ```
    pub fn expire(&mut self, now: Micros) -> Option<Ask> {
        let at = self.asks.iter().position(|ask| ask.deadline <= now)?;
        Some(self.asks.remove(at))
    }

    /// Removes a request that was cancelled; returns whether it was waiting.
    ///
    /// ```
    /// assert!(!bbv_core::queue::Queue::default().cancel(4));
    /// ```
    pub fn cancel(&mut self, id: u64) -> bool {
        let before = self.asks.len();
        self.asks.retain(|ask| ask.id != id);
        self.asks.len() < before
    }
}
