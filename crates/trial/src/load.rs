//! Generates open-loop or closed-loop load over HTTP and measures latency, for the commands
//! `demo` and `load`.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use parking_lot::Mutex;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use reqwest::Client;

use crate::http::SERVICE_TIME_HEADER;
use crate::model::{CALL_HEADER, ONCE_HEADER};

/// Path that the calls go to, on one or several nodes.
#[derive(Clone, Debug)]
pub struct Target {
    /// Base URLs of the nodes, or of an upstream, used in turn.
    pub base_urls: Vec<String>,
    /// Path to which the call id is appended.
    pub path: String,
    /// Whether a call may run more than once.
    pub idempotent: bool,
}

/// Counters and latencies of the calls that a load generator sent.
#[derive(Debug)]
pub struct LoadMetrics {
    /// Calls that ended.
    pub calls: AtomicU64,
    /// Calls answered.
    pub answered: AtomicU64,
    /// Calls refused and not run.
    pub refused: AtomicU64,
    /// Calls of unknown outcome.
    pub unknown: AtomicU64,
    /// Latency of answered calls in microseconds.
    pub latency: Mutex<Histogram<u64>>,
    /// Latency of answered calls without the time spent in the upstream, in microseconds.
    pub added_latency: Mutex<Histogram<u64>>,
}

const MAX_LATENCY_US: u64 = 60_000_000;

impl Default for LoadMetrics {
    fn default() -> Self {
        let histogram =
            || Mutex::new(Histogram::new_with_max(MAX_LATENCY_US, 3).expect("bounds are valid"));
        LoadMetrics {
            calls: AtomicU64::new(0),
            answered: AtomicU64::new(0),
            refused: AtomicU64::new(0),
            unknown: AtomicU64::new(0),
            latency: histogram(),
            added_latency: histogram(),
        }
    }
}

impl LoadMetrics {
    /// Returns the latency at a quantile in milliseconds.
    pub fn latency_ms(&self, quantile: f64) -> f64 {
        self.latency.lock().value_at_quantile(quantile) as f64 / 1_000.0
    }
}

/// Generates load on one target.
pub struct LoadGenerator {
    /// Destination of the calls.
    pub target: Target,
    /// Metrics so far.
    pub metrics: Arc<LoadMetrics>,
    client: Client,
    spare_tickets: Mutex<Vec<String>>,
    next_id: AtomicU64,
    stopped: AtomicBool,
}

impl LoadGenerator {
    /// Creates an idle load generator.
    pub fn new(target: Target) -> Arc<Self> {
        let client = Client::builder().no_proxy().tcp_nodelay(true).build();
        // Idempotent and other calls have disjoint ranges of ids.
        let first = if target.idempotent { 1 } else { 1 << 40 };
        Arc::new(LoadGenerator {
            target,
            metrics: Arc::default(),
            client: client.expect("a client without TLS can be built"),
            spare_tickets: Mutex::default(),
            next_id: AtomicU64::new(first),
            stopped: AtomicBool::new(false),
        })
    }

    /// Offers calls as a Poisson process of `rate` per second for `duration`.
    pub async fn run_open_loop(self: &Arc<Self>, rate: f64, duration: Duration, seed: u64) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let start = tokio::time::Instant::now();
        let mut offset = 0.0;
        let mut tasks = tokio::task::JoinSet::new();
        while offset < duration.as_secs_f64() {
            offset += -(1.0 - rng.random::<f64>()).ln() / rate;
            tokio::time::sleep_until(start + Duration::from_secs_f64(offset)).await;
            let generator = Arc::clone(self);
            tasks.spawn(async move { generator.call().await });
            while tasks.try_join_next().is_some() {}
        }
        while tasks.join_next().await.is_some() {}
    }

    /// Keeps `concurrency` calls in flight for `duration`.
    pub async fn run_closed_loop(self: &Arc<Self>, concurrency: usize, duration: Duration) {
        let mut tasks = tokio::task::JoinSet::new();
        for _ in 0..concurrency {
            let generator = Arc::clone(self);
            tasks.spawn(async move {
                while !generator.stopped.load(Ordering::Relaxed) {
                    generator.call().await;
                }
            });
        }
        tokio::time::sleep(duration).await;
        self.stopped.store(true, Ordering::Relaxed);
        while tasks.join_next().await.is_some() {}
    }

    async fn call(&self) {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        if !self.target.idempotent && self.spare_tickets.lock().is_empty() {
            // A call without a ticket is refused with a new ticket.
            self.send(id, None).await;
        }
        let ticket = if self.target.idempotent { None } else { self.spare_tickets.lock().pop() };
        let start = Instant::now();
        let outcome = self.send(id, ticket.as_deref()).await;
        let latency = start.elapsed().as_micros() as u64;
        let metrics = &self.metrics;
        metrics.calls.fetch_add(1, Ordering::Relaxed);
        match outcome {
            CallResult::Answered(upstream_us) => {
                metrics.answered.fetch_add(1, Ordering::Relaxed);
                metrics.latency.lock().saturating_record(latency);
                metrics.added_latency.lock().saturating_record(latency.saturating_sub(upstream_us));
            }
            CallResult::NotRun => drop(metrics.refused.fetch_add(1, Ordering::Relaxed)),
            CallResult::Unknown => drop(metrics.unknown.fetch_add(1, Ordering::Relaxed)),
        }
    }

    async fn send(&self, id: u64, ticket: Option<&str>) -> CallResult {
        let Target { base_urls, path, idempotent } = &self.target;
        let base_url = &base_urls[id as usize % base_urls.len()];
        let mut request = self.client.get(format!("{base_url}{path}/{id}")).header(CALL_HEADER, id);
        if !idempotent {
            request = request.header(ONCE_HEADER, "1");
        }
        if let Some(ticket) = ticket {
            request = request.header("idempotency-key", ticket);
        }
        let Ok(response) = request.send().await else { return CallResult::Unknown };
        let header = |name: &str| response.headers().get(name).and_then(|v| v.to_str().ok());
        if let Some(ticket) = header("bbv-ticket") {
            self.spare_tickets.lock().push(ticket.to_owned());
        }
        let upstream_us = header(SERVICE_TIME_HEADER)
            .and_then(|upstream_us| upstream_us.parse().ok())
            .unwrap_or(0);
        let outcome = header("bbv-outcome").unwrap_or("answered").to_owned();
        match outcome.as_str() {
            "answered" if response.bytes().await.is_ok() => CallResult::Answered(upstream_us),
            "not-run" => CallResult::NotRun,
            _ => CallResult::Unknown,
        }
    }
}

enum CallResult {
    Answered(u64),
    NotRun,
    Unknown,
}
