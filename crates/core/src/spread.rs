//! Documents of the configuration and their spread between nodes.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};

use crate::rendezvous;
use crate::units::Revision;

/// One change of one document.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Change {
    /// Position in the platform's history.
    pub revision: Revision,
    /// Name of the document.
    pub key: String,
    /// Text of the document, or none when it was removed.
    pub value: Option<String>,
    /// Publication time on the platform's clock, in milliseconds.
    #[serde(default)]
    pub published_ms: u64,
}

/// What became of an offered change.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Taken {
    /// It is in force.
    InForce(Change),
    /// Its document is invalid; the former one stays in force.
    Refused(Change, String),
}

/// Everything that a peer lacks.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Since {
    /// The changes after its revision.
    Changes(Vec<Change>),
    /// All documents, complete up to the revision.
    Snapshot(Revision, Vec<Change>),
}

/// Documents in force.
///
/// Each document is ordered only by its own changes: one of a higher revision wins,
/// whatever order the changes arrive in. `through` is the revision up to which all
/// changes are known.
#[derive(Clone, Debug)]
pub struct Spread {
    docs: BTreeMap<String, Change>,
    refused: BTreeMap<String, Change>,
    through: Revision,
    ahead: BTreeSet<Revision>,
    log: VecDeque<Change>,
    log_cap: usize,
}

impl Spread {
    /// Creates an empty store that remembers the last `log_cap` changes.
    ///
    /// ```
    /// assert_eq!(bbv_core::spread::Spread::new(9).through(), 0);
    /// ```
    pub fn new(log_cap: usize) -> Self {
        Spread {
            docs: BTreeMap::new(),
            refused: BTreeMap::new(),
            through: 0,
            ahead: BTreeSet::new(),
            log: VecDeque::new(),
            log_cap,
        }
    }

    /// Revision up to which every change is known.
    pub fn through(&self) -> Revision {
        self.through
    }

    /// Highest revision known.
    pub fn highest(&self) -> Revision {
        self.ahead.last().copied().unwrap_or(0).max(self.through)
    }

    /// Documents in force.
    pub fn docs(&self) -> &BTreeMap<String, Change> {
        &self.docs
    }

    /// Takes changes that are new; `check` tells why a document is invalid.
    ///
    /// ```
    /// use bbv_core::spread::{Change, Spread};
    /// let mut spread = Spread::new(9);
    /// let change = Change { revision: 1, key: "a".into(), value: None, published_ms: 0 };
    /// assert_eq!(spread.offer(&[change.clone()], |_| Ok(())).len(), 1);
    /// assert_eq!(spread.offer(&[change], |_| Ok(())).len(), 0);
    /// ```
    pub fn offer(
        &mut self,
        changes: &[Change],
        check: impl Fn(&Change) -> Result<(), String>,
    ) -> Vec<Taken> {
        let mut taken = Vec::new();
        for change in changes {
            if change.revision <= self.through || !self.ahead.insert(change.revision) {
                continue;
            }
            self.remember(change);
            taken.extend(self.take(change, &check));
        }
        self.advance();
        taken
    }

    fn take(
        &mut self,
        change: &Change,
        check: impl Fn(&Change) -> Result<(), String>,
    ) -> Option<Taken> {
        let known = self.docs.get(&change.key).map_or(0, |doc| doc.revision);
        if change.revision <= known {
            return None;
        }
        if let Err(reason) = check(change) {
            self.refused.insert(change.key.clone(), change.clone());
            return Some(Taken::Refused(change.clone(), reason));
        }
        self.refused.remove(&change.key);
        self.docs.insert(change.key.clone(), change.clone());
        Some(Taken::InForce(change.clone()))
    }

    /// Takes a snapshot complete up to `through`; documents known newer stay.
    ///
    /// ```
    /// use bbv_core::spread::Spread;
    /// let mut spread = Spread::new(9);
    /// spread.snapshot(7, &[], |_| Ok(()));
    /// assert_eq!(spread.through(), 7);
    /// spread.snapshot(3, &[], |_| Ok(()));
    /// assert_eq!(spread.through(), 7);
    /// ```
    pub fn snapshot(
        &mut self,
        through: Revision,
        docs: &[Change],
        check: impl Fn(&Change) -> Result<(), String>,
    ) -> Vec<Taken> {
        let mut taken = Vec::new();
        for change in docs {
            taken.extend(self.take(change, &check));
        }
        if through > self.through {
            self.through = through;
            self.ahead = self.ahead.split_off(&(through + 1));
        }
        self.advance();
        taken
    }

    fn remember(&mut self, change: &Change) {
        self.log.push_back(change.clone());
        if self.log.len() > self.log_cap {
            self.log.pop_front();
        }
    }

    fn advance(&mut self) {
        while self.ahead.remove(&(self.through + 1)) {
            self.through += 1;
        }
    }

    /// Returns what a peer that knows every change up to `revision` lacks.
    ///
    /// ```
    /// use bbv_core::spread::{Since, Spread};
    /// assert_eq!(Spread::new(9).since(0), Since::Changes(vec![]));
    /// ```
    pub fn since(&self, revision: Revision) -> Since {
        let newer: Vec<Change> =
            self.log.iter().filter(|change| change.revision > revision).cloned().collect();
        let covered = (newer.len() as u64) >= self.highest().saturating_sub(revision);
        if covered || self.through <= revision {
            return Since::Changes(newer);
        }
        // A refused document is passed on too: whoever receives it refuses it as well.
        let docs = self.docs.values().chain(self.refused.values());
        Since::Snapshot(self.through, docs.cloned().collect())
    }
}

/// Tells whether `me` is among the `count` readers of the platform for a zone.
///
/// ```
/// assert!(bbv_core::spread::is_reader("zone-a", 7, &[7], 2));
/// ```
pub fn is_reader(zone: &str, me: u64, members: &[u64], count: usize) -> bool {
    rendezvous::top(zone.as_bytes(), members, count).contains(&me)
}
