//! Load over real sockets.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use parking_lot::Mutex;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use reqwest::Client;

use crate::http::SERVICE_TIME_HEADER;
use crate::model::{CALL, ONCE};

/// Calls to one path of several nodes.
#[derive(Clone, Debug)]
pub struct Target {
    /// Base URLs of the nodes, or of an upstream.
    pub bases: Vec<String>,
    /// Path; the number of the call is appended.
    pub path: String,
    /// Whether a call may run more than once.
    pub idempotent: bool,
}

/// Figures of a load.
#[derive(Debug)]
pub struct Figures {
    /// Calls that ended.
    pub calls: AtomicU64,
    /// Calls answered.
    pub answered: AtomicU64,
    /// Calls refused and not run.
    pub refused: AtomicU64,
    /// Calls of unknown outcome.
    pub unknown: AtomicU64,
    /// Latency in microseconds.
    pub latency: Mutex<Histogram<u64>>,
    /// Latency less the time that the upstream took, in microseconds.
    pub added: Mutex<Histogram<u64>>,
}

const LATENCY_MAX_US: u64 = 60_000_000;

impl Default for Figures {
    fn default() -> Self {
        let histogram =
            || Mutex::new(Histogram::new_with_max(LATENCY_MAX_US, 3).expect("bounds are valid"));
        Figures {
            calls: AtomicU64::new(0),
            answered: AtomicU64::new(0),
            refused: AtomicU64::new(0),
            unknown: AtomicU64::new(0),
            latency: histogram(),
            added: histogram(),
        }
    }
}

impl Figures {
    /// Latency at a quantile in milliseconds.
    pub fn latency_ms(&self, quantile: f64) -> f64 {
        self.latency.lock().value_at_quantile(quantile) as f64 / 1_000.0
    }
}

/// Load on one target.
pub struct Load {
    /// Target.
    pub target: Target,
    /// Figures so far.
    pub figures: Arc<Figures>,
    client: Client,
    spare: Mutex<Vec<String>>,
    next: AtomicU64,
    stop: AtomicBool,
}

impl Load {
    /// Creates a load that has not begun.
    pub fn new(target: Target) -> Arc<Self> {
        let client = Client::builder().no_proxy().tcp_nodelay(true).build();
        // Calls of both kinds have numbers of their own.
        let first = if target.idempotent { 1 } else { 1 << 40 };
        Arc::new(Load {
            target,
            figures: Arc::default(),
            client: client.expect("a client without TLS can be built"),
            spare: Mutex::default(),
            next: AtomicU64::new(first),
            stop: AtomicBool::new(false),
        })
    }

    /// Offers calls at `rate` a second with random gaps for `span`.
    pub async fn open(self: &Arc<Self>, rate: f64, span: Duration, seed: u64) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let start = tokio::time::Instant::now();
        let mut at = 0.0;
        let mut tasks = tokio::task::JoinSet::new();
        while at < span.as_secs_f64() {
            at += -(1.0 - rng.random::<f64>()).ln() / rate;
            tokio::time::sleep_until(start + Duration::from_secs_f64(at)).await;
            let load = Arc::clone(self);
            tasks.spawn(async move { load.call().await });
            while tasks.try_join_next().is_some() {}
        }
        while tasks.join_next().await.is_some() {}
    }

    /// Keeps `count` calls under way for `span`.
    pub async fn closed(self: &Arc<Self>, count: usize, span: Duration) {
        let mut tasks = tokio::task::JoinSet::new();
        for _ in 0..count {
            let load = Arc::clone(self);
            tasks.spawn(async move {
                while !load.stop.load(Ordering::Relaxed) {
                    load.call().await;
                }
            });
        }
        tokio::time::sleep(span).await;
        self.stop.store(true, Ordering::Relaxed);
        while tasks.join_next().await.is_some() {}
    }

    async fn call(&self) {
        let id = self.next.fetch_add(1, Ordering::Relaxed);
        if !self.target.idempotent && self.spare.lock().is_empty() {
            // The refusal brings a ticket.
            self.send(id, None).await;
        }
        let ticket = if self.target.idempotent { None } else { self.spare.lock().pop() };
        let start = Instant::now();
        let outcome = self.send(id, ticket.as_deref()).await;
        let latency = start.elapsed().as_micros() as u64;
        let figures = &self.figures;
        figures.calls.fetch_add(1, Ordering::Relaxed);
        match outcome {
            Told::Answered(took) => {
                figures.answered.fetch_add(1, Ordering::Relaxed);
                figures.latency.lock().saturating_record(latency);
                figures.added.lock().saturating_record(latency.saturating_sub(took));
            }
            Told::NotRun => drop(figures.refused.fetch_add(1, Ordering::Relaxed)),
            Told::Unknown => drop(figures.unknown.fetch_add(1, Ordering::Relaxed)),
        }
    }

    async fn send(&self, id: u64, ticket: Option<&str>) -> Told {
        let Target { bases, path, idempotent } = &self.target;
        let base = &bases[id as usize % bases.len()];
        let mut request = self.client.get(format!("{base}{path}/{id}")).header(CALL, id);
        if !idempotent {
            request = request.header(ONCE, "1");
        }
        if let Some(ticket) = ticket {
            request = request.header("idempotency-key", ticket);
        }
        let Ok(response) = request.send().await else { return Told::Unknown };
        let text = |name: &str| response.headers().get(name).and_then(|v| v.to_str().ok());
        if let Some(ticket) = text("bbv-ticket") {
            self.spare.lock().push(ticket.to_owned());
        }
        let took = text(SERVICE_TIME_HEADER).and_then(|took| took.parse().ok()).unwrap_or(0);
        let outcome = text("bbv-outcome").unwrap_or("answered").to_owned();
        match outcome.as_str() {
            "answered" if response.bytes().await.is_ok() => Told::Answered(took),
            "not-run" => Told::NotRun,
            _ => Told::Unknown,
        }
    }
}

enum Told {
    Answered(u64),
    NotRun,
    Unknown,
}
