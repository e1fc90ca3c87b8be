//! Stand-in for the platform's configuration service, which offers nodes only reads and watches.
//! Counts the reads and simulates outages and stale answers.

use std::collections::BTreeMap;

use bbv_core::documents::DocumentChange;
use bbv_core::units::{MS, Micros, Revision, SEC};
use bbv_node::ports::Published;
use bbv_node::timer::Timer;
use parking_lot::Mutex;
use tokio::sync::Notify;

#[derive(Default)]
struct State {
    documents: BTreeMap<String, DocumentChange>,
    log: Vec<DocumentChange>,
    down_until: Micros,
    stale: Option<(Micros, Revision)>,
    current_second: u64,
    second_reads: u64,
    reads: u64,
    refused: u64,
    peak_reads: u64,
}

/// Counts of the reads that the service received.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReadCounts {
    /// Reads received while the service was not down, refused ones included. A read that waits for
    /// changes counts once.
    pub total: u64,
    /// Reads refused because they exceeded the limit per second.
    pub refused: u64,
    /// Reads in the busiest second.
    pub peak_per_s: u64,
}

/// Stand-in for the configuration service.
pub struct Platform {
    timer: Timer,
    read_limit: u64,
    state: Mutex<State>,
    changed: Notify,
}

impl Platform {
    /// Creates an empty service that refuses reads above `read_limit` per second.
    pub fn new(timer: Timer, read_limit: u64) -> Self {
        Platform { timer, read_limit, state: Mutex::default(), changed: Notify::new() }
    }

    /// Publishes a document, or removes it if `value` is `None`, and returns the new revision.
    pub fn publish(&self, key: &str, value: Option<String>) -> Revision {
        let mut state = self.state.lock();
        let revision = state.log.len() as Revision + 1;
        let published_ms = self.timer.now() / MS;
        let change = DocumentChange { revision, key: key.to_owned(), value, published_ms };
        state.documents.insert(key.to_owned(), change.clone());
        state.log.push(change);
        drop(state);
        self.changed.notify_waiters();
        revision
    }

    /// Fails all reads until `until`.
    pub fn fail_until(&self, until: Micros) {
        self.state.lock().down_until = until;
    }

    /// Answers reads until `until` from a state three revisions older than the current one.
    pub fn serve_stale_until(&self, until: Micros) {
        let mut state = self.state.lock();
        state.stale = Some((until, (state.log.len() as Revision).saturating_sub(3)));
    }

    /// Returns the read counts so far.
    pub fn read_counts(&self) -> ReadCounts {
        let state = self.state.lock();
        ReadCounts { total: state.reads, refused: state.refused, peak_per_s: state.peak_reads }
    }

    /// Returns the latest revision.
    pub fn revision(&self) -> Revision {
        self.state.lock().log.len() as Revision
    }

    fn count_read(&self) -> Result<(), String> {
        let now = self.timer.now();
        let mut state = self.state.lock();
        if now < state.down_until {
            return Err("the platform is down".to_owned());
        }
        if state.current_second != now / SEC {
            state.current_second = now / SEC;
            state.second_reads = 0;
        }
        state.second_reads += 1;
        state.reads += 1;
        state.peak_reads = state.peak_reads.max(state.second_reads);
        if state.second_reads > self.read_limit {
            state.refused += 1;
            return Err("too many reads".to_owned());
        }
        Ok(())
    }

    fn changes_since(&self, since: Revision) -> Published {
        let now = self.timer.now();
        let state = self.state.lock();
        let through = match state.stale {
            Some((until, revision)) if now < until => revision,
            _ => state.log.len() as Revision,
        };
        if since == 0 {
            let visible = state.documents.values().filter(|change| change.revision <= through);
            return Published { through, changes: visible.cloned().collect(), snapshot: true };
        }
        let range = (since.min(through) as usize)..(through as usize);
        Published { through, changes: state.log[range].to_vec(), snapshot: false }
    }

    /// Returns changes after `since`, waiting up to `wait` for the first one.
    pub async fn read(&self, since: Revision, wait: Micros) -> Result<Published, String> {
        self.count_read()?;
        let until = self.timer.now() + wait;
        loop {
            let changed = self.changed.notified();
            let published = self.changes_since(since);
            if !published.changes.is_empty() || published.through < since || wait == 0 {
                return Ok(published);
            }
            if self.timer.timeout_at(until, changed).await.is_none() {
                return Ok(published);
            }
        }
    }
}
