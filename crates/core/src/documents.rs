//! Merges changes of configuration documents that nodes receive from the platform and from
//! each other, in any order and more than once.
//!
//! bbv-node uses it under any load, so that it needs few reads of the platform and keeps its
//! configuration while the platform is down or serves an older state.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};

use crate::rendezvous;
use crate::units::Revision;

/// One change of one document.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DocumentChange {
    /// Position in the platform's history.
    pub revision: Revision,
    /// Name of the document.
    pub key: String,
    /// Text of the document, or `None` if it was removed.
    pub value: Option<String>,
    /// Publication time on the platform's clock, in milliseconds.
    #[serde(default)]
    pub published_ms: u64,
}

/// Result of applying a change that is newer than its document.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ChangeOutcome {
    /// The change is in force.
    InForce(DocumentChange),
    /// The document is invalid for this reason; the previous version stays in force.
    Refused(DocumentChange, String),
}

/// Everything that a peer needs to catch up.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum CatchUp {
    /// The changes after the peer's revision.
    Changes(Vec<DocumentChange>),
    /// All documents, complete up to this revision.
    Snapshot(Revision, Vec<DocumentChange>),
}

/// Documents in force.
///
/// The change with the highest revision of a document wins, whatever order the changes
/// arrive in. `through` is the revision up to which all changes are known; `ahead` holds the
/// known revisions above it.
#[derive(Clone, Debug)]
pub struct Documents {
    docs: BTreeMap<String, DocumentChange>,
    refused: BTreeMap<String, DocumentChange>,
    through: Revision,
    ahead: BTreeSet<Revision>,
    log: VecDeque<DocumentChange>,
    log_capacity: usize,
}

impl Documents {
    /// Creates an empty set of documents that keeps the last `log_capacity` changes for peers.
    ///
    /// ```
    /// assert_eq!(bbv_core::documents::Documents::new(9).through(), 0);
    /// ```
    pub fn new(log_capacity: usize) -> Self {
        Documents {
            docs: BTreeMap::new(),
            refused: BTreeMap::new(),
            through: 0,
            ahead: BTreeSet::new(),
            log: VecDeque::new(),
            log_capacity,
        }
    }

    /// Returns the revision up to which every change is known.
    pub fn through(&self) -> Revision {
        self.through
    }

    /// Returns the highest known revision.
    pub fn highest(&self) -> Revision {
        self.ahead.last().copied().unwrap_or(0).max(self.through)
    }

    /// Returns the documents in force by key.
    pub fn docs(&self) -> &BTreeMap<String, DocumentChange> {
        &self.docs
    }

    /// Applies the changes that are new.
    ///
    /// `check` returns an error with the reason if a document is invalid.
    ///
    /// ```
    /// use bbv_core::documents::{DocumentChange, Documents};
    /// let mut documents = Documents::new(9);
    /// let change = DocumentChange { revision: 1, key: "a".into(), value: None, published_ms: 0 };
    /// assert_eq!(documents.apply(&[change.clone()], |_| Ok(())).len(), 1);
    /// assert_eq!(documents.apply(&[change], |_| Ok(())).len(), 0);
    /// ```
    pub fn apply(
        &mut self,
        changes: &[DocumentChange],
        check: impl Fn(&DocumentChange) -> Result<(), String>,
    ) -> Vec<ChangeOutcome> {
        let mut outcomes = Vec::new();
        for change in changes {
            if change.revision <= self.through || !self.ahead.insert(change.revision) {
                continue;
            }
            self.log_change(change);
            outcomes.extend(self.apply_change(change, &check));
        }
        self.advance_through();
        outcomes
    }

    fn apply_change(
        &mut self,
        change: &DocumentChange,
        check: impl Fn(&DocumentChange) -> Result<(), String>,
    ) -> Option<ChangeOutcome> {
        let known = self.docs.get(&change.key).map_or(0, |doc| doc.revision);
        if change.revision <= known {
            return None;
        }
        if let Err(reason) = check(change) {
            self.refused.insert(change.key.clone(), change.clone());
            return Some(ChangeOutcome::Refused(change.clone(), reason));
        }
        self.refused.remove(&change.key);
        self.docs.insert(change.key.clone(), change.clone());
        Some(ChangeOutcome::InForce(change.clone()))
    }

    /// Applies a snapshot that is complete up to `through`; documents that are newer here stay.
    ///
    /// ```
    /// use bbv_core::documents::Documents;
    /// let mut documents = Documents::new(9);
    /// documents.apply_snapshot(7, &[], |_| Ok(()));
    /// assert_eq!(documents.through(), 7);
    /// documents.apply_snapshot(3, &[], |_| Ok(()));
    /// assert_eq!(documents.through(), 7);
    /// ```
    pub fn apply_snapshot(
        &mut self,
        through: Revision,
        docs: &[DocumentChange],
        check: impl Fn(&DocumentChange) -> Result<(), String>,
    ) -> Vec<ChangeOutcome> {
        let mut outcomes = Vec::new();
        for change in docs {
            outcomes.extend(self.apply_change(change, &check));
        }
        if through > self.through {
            self.through = through;
            self.ahead = self.ahead.split_off(&(through + 1));
        }
        self.advance_through();
        outcomes
    }

    fn log_change(&mut self, change: &DocumentChange) {
        self.log.push_back(change.clone());
        if self.log.len() > self.log_capacity {
            self.log.pop_front();
        }
    }

    fn advance_through(&mut self) {
        while self.ahead.remove(&(self.through + 1)) {
            self.through += 1;
        }
    }

    /// Returns what a peer lacks that knows every change up to `revision`.
    ///
    /// ```
    /// use bbv_core::documents::{CatchUp, Documents};
    /// assert_eq!(Documents::new(9).catch_up(0), CatchUp::Changes(vec![]));
    /// ```
    pub fn catch_up(&self, revision: Revision) -> CatchUp {
        let newer: Vec<DocumentChange> =
            self.log.iter().filter(|change| change.revision > revision).cloned().collect();
        let covered = (newer.len() as u64) >= self.highest().saturating_sub(revision);
        if covered || self.through <= revision {
            return CatchUp::Changes(newer);
        }
        // Refused documents are sent too, so that the peer also knows their revision and refuses
        // them itself.
        let docs = self.docs.values().chain(self.refused.values());
        CatchUp::Snapshot(self.through, docs.cloned().collect())
    }
}

/// Returns whether `me` is one of the `count` members that read the platform for a zone.
///
/// ```
/// assert!(bbv_core::documents::is_reader("zone-a", 7, &[7], 2));
/// ```
pub fn is_reader(zone: &str, me: u64, members: &[u64], count: usize) -> bool {
    rendezvous::top(zone.as_bytes(), members, count).contains(&me)
}
