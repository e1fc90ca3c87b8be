//! Stand-in of the platform's configuration service: read and watch only.

use std::collections::BTreeMap;

use bbv_core::documents::DocumentChange;
use bbv_core::units::{MS, Micros, Revision, SEC};
use bbv_node::ports::Published;
use bbv_node::timer::Timer;
use parking_lot::Mutex;
use tokio::sync::Notify;

#[derive(Default)]
struct Body {
    docs: BTreeMap<String, DocumentChange>,
    log: Vec<DocumentChange>,
    down_until: Micros,
    stale: Option<(Micros, Revision)>,
    second: u64,
    in_second: u64,
    reads: u64,
    refused: u64,
    max_in_second: u64,
}

/// Reads that the platform has counted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Reads {
    /// All reads, each wait of a watch counted as one.
    pub total: u64,
    /// Reads refused above the cap.
    pub refused: u64,
    /// Reads in the busiest second.
    pub max_per_s: u64,
}

/// Configuration service.
pub struct Platform {
    timer: Timer,
    cap: u64,
    body: Mutex<Body>,
    changed: Notify,
}

impl Platform {
    /// Creates an empty service that refuses reads above `cap` a second.
    pub fn new(timer: Timer, cap: u64) -> Self {
        Platform { timer, cap, body: Mutex::default(), changed: Notify::new() }
    }

    /// Publishes a document, or removes it; returns its revision.
    pub fn publish(&self, key: &str, value: Option<String>) -> Revision {
        let mut body = self.body.lock();
        let revision = body.log.len() as Revision + 1;
        let published_ms = self.timer.now() / MS;
        let change = DocumentChange { revision, key: key.to_owned(), value, published_ms };
        body.docs.insert(key.to_owned(), change.clone());
        body.log.push(change);
        drop(body);
        self.changed.notify_waiters();
        revision
    }

    /// Answers nothing until `until`.
    pub fn down(&self, until: Micros) {
        self.body.lock().down_until = until;
    }

    /// Answers as of now until `until`.
    pub fn stale(&self, until: Micros) {
        let mut body = self.body.lock();
        body.stale = Some((until, (body.log.len() as Revision).saturating_sub(3)));
    }

    /// Reads counted so far.
    pub fn reads(&self) -> Reads {
        let body = self.body.lock();
        Reads { total: body.reads, refused: body.refused, max_per_s: body.max_in_second }
    }

    /// Latest revision.
    pub fn revision(&self) -> Revision {
        self.body.lock().log.len() as Revision
    }

    fn count(&self) -> Result<(), String> {
        let now = self.timer.now();
        let mut body = self.body.lock();
        if now < body.down_until {
            return Err("the platform is down".to_owned());
        }
        if body.second != now / SEC {
            body.second = now / SEC;
            body.in_second = 0;
        }
        body.in_second += 1;
        body.reads += 1;
        body.max_in_second = body.max_in_second.max(body.in_second);
        if body.in_second > self.cap {
            body.refused += 1;
            return Err("too many reads".to_owned());
        }
        Ok(())
    }

    fn view(&self, since: Revision) -> Published {
        let now = self.timer.now();
        let body = self.body.lock();
        let through = match body.stale {
            Some((until, revision)) if now < until => revision,
            _ => body.log.len() as Revision,
        };
        if since == 0 {
            let shown = body.docs.values().filter(|change| change.revision <= through);
            return Published { through, changes: shown.cloned().collect(), snapshot: true };
        }
        let range = (since.min(through) as usize)..(through as usize);
        Published { through, changes: body.log[range].to_vec(), snapshot: false }
    }

    /// Returns changes after `since`, waiting up to `wait` for the first one.
    pub async fn read(&self, since: Revision, wait: Micros) -> Result<Published, String> {
        self.count()?;
        let until = self.timer.now() + wait;
        loop {
            let changed = self.changed.notified();
            let view = self.view(since);
            if !view.changes.is_empty() || view.through < since || wait == 0 {
                return Ok(view);
            }
            if self.timer.timeout_at(until, changed).await.is_none() {
                return Ok(view);
            }
        }
    }
}
