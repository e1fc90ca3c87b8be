//! What callers sent and got, held against what upstreams ran.

use std::collections::BTreeMap;

use bbv_stand::upstream::ReceivedRequest;
use parking_lot::Mutex;

/// One request as its caller saw it.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Status; zero if the connection closed without an answer.
    pub status: u16,
    /// Whether the answer was its own and whole.
    pub whole: bool,
}

/// All requests of a run by id.
#[derive(Debug, Default)]
pub struct Ledger {
    entries: Mutex<BTreeMap<String, Entry>>,
    broken: Mutex<Vec<String>>,
}

/// Statuses that promise that a request did not run and never will.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];

impl Ledger {
    /// Records a request with its answer.
    pub fn record(&self, id: String, entry: Entry) {
        if entry.status == 200 && !entry.whole {
            self.breach(format!("{id}: a success that is not the whole answer to it"));
        }
        self.entries.lock().insert(id, entry);
    }

    /// Records a broken promise.
    pub fn breach(&self, what: String) {
        self.broken.lock().push(what);
    }

    /// Number of requests, and of those that succeeded.
    pub fn counts(&self) -> (usize, usize) {
        let entries = self.entries.lock();
        (entries.len(), entries.values().filter(|entry| entry.status == 200).count())
    }

    /// Holds everything against what the upstreams ran; returns the promises broken.
    pub fn settle(&self, runs: &[ReceivedRequest]) -> Vec<String> {
        let mut broken = self.broken.lock().clone();
        let mut count: BTreeMap<&str, usize> = BTreeMap::new();
        for run in runs {
            *count.entry(run.id()).or_default() += 1;
        }
        let entries = self.entries.lock();
        for (id, count) in &count {
            if !entries.contains_key(*id) {
                broken.push(format!("{id}: ran {count} times, and nobody sent it"));
            }
        }
        for (id, entry) in entries.iter() {
            let ran = count.get(id.as_str()).copied().unwrap_or(0);
            if !entry.idempotent && ran > 1 {
                broken.push(format!("{id}: ran {ran} times"));
            }
            if !entry.idempotent && ran > 0 && NOT_RUN.contains(&entry.status) {
                broken.push(format!("{id}: answered {} and ran", entry.status));
            }
        }
        broken
    }
}
