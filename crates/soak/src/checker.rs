//! Compares the requests that callers sent, and their answers, with what the upstreams ran.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicUsize, Ordering};

use bbv_stand::caller::Response;
use bbv_stand::upstream::ReceivedRequest;
use parking_lot::Mutex;

/// Request that a caller sent, with the result that the caller saw.
#[derive(Clone, Debug)]
pub struct SentRequest {
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Status; 0 if the connection closed without an answer.
    pub status: u16,
    /// Whether the answer was complete and belonged to this request.
    pub complete: bool,
}

/// Collects the requests of a run by id, and the guarantees that were violated.
#[derive(Debug, Default)]
pub struct Checker {
    requests: Mutex<BTreeMap<String, SentRequest>>,
    violations: Mutex<Vec<String>>,
    conclusive: AtomicUsize,
}

/// Statuses that guarantee that a request did not run and never will.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];

/// Statuses with which a node may end a proper request: it is late, misdirected or over a limit.
const ALLOWED_ENDS: [u16; 3] = [408, 421, 429];

impl Checker {
    /// Records a request with its answer.
    pub fn record(&self, id: String, request: SentRequest) {
        if request.status == 200 && !request.complete {
            self.add_violation(format!("{id}: status 200 without its own complete answer"));
        }
        self.requests.lock().insert(id, request);
    }

    /// Checks that node `node` did not deny request `id`, which is proper under every version of the
    /// routing: it may only end it with a status of 300 to 499 that comes from the upstream.
    pub fn check_denied(&self, node: usize, id: &str, answer: &Response) {
        let status = answer.status;
        if (300..500).contains(&status) && !ALLOWED_ENDS.contains(&status) && !answer.is_signed() {
            let reason = answer.header("bbv-reason").unwrap_or("none");
            self.add_violation(format!("{id}: node {node} denied it: {status}, reason {reason}"));
        }
    }

    /// Records the violation of a guarantee.
    pub fn add_violation(&self, violation: String) {
        self.violations.lock().push(violation);
    }

    /// Counts a check of the routing in force if its answer told whether the route was there.
    pub fn count_conclusive(&self, conclusive: bool) {
        self.conclusive.fetch_add(usize::from(conclusive), Ordering::Relaxed);
    }

    /// Returns the number of checks of the routing in force that were conclusive.
    pub fn conclusive(&self) -> usize {
        self.conclusive.load(Ordering::Relaxed)
    }

    /// Returns the number of requests, and of those that succeeded.
    pub fn counts(&self) -> (usize, usize) {
        let requests = self.requests.lock();
        (requests.len(), requests.values().filter(|request| request.status == 200).count())
    }

    /// Compares the requests with those that the upstreams ran; returns all violations.
    pub fn check(&self, runs: &[ReceivedRequest]) -> Vec<String> {
        let mut violations = self.violations.lock().clone();
        let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
        for run in runs {
            *counts.entry(run.id()).or_default() += 1;
        }
        let requests = self.requests.lock();
        for (id, count) in &counts {
            if !requests.contains_key(*id) {
                violations.push(format!("{id}: ran {count} times, but no caller sent it"));
            }
        }
        for (id, request) in requests.iter() {
            let count = counts.get(id.as_str()).copied().unwrap_or(0);
            if !request.idempotent && count > 1 {
                violations.push(format!("{id}: not idempotent, but ran {count} times"));
            }
            if !request.idempotent && count > 0 && NOT_RUN.contains(&request.status) {
                violations.push(format!("{id}: reported as not run ({}), but ran", request.status));
            }
        }
        violations
    }
}
