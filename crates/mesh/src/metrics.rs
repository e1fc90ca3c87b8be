//! Prometheus metrics of a node.

use bbv_core::units::Micros;
use prometheus::{
    Encoder, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Opts,
    Registry, TextEncoder,
};

/// Metrics with their registry.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    /// Requests from callers, by ending.
    pub calls: IntCounterVec,
    /// Time until a caller had its answer, by ending.
    pub latency: HistogramVec,
    /// Requests from ingresses, by ending.
    pub admitted: IntCounterVec,
    /// Time that requests waited for the upstream.
    pub waited: Histogram,
    /// Requests sent to a further upstream.
    pub retries: IntCounter,
    /// Calls to the store.
    pub store_calls: IntCounterVec,
    /// Health checks of the upstream.
    pub probes: IntCounter,
    /// Notices sent.
    pub notices: IntCounter,
    /// Version of the routing in force.
    pub version: IntGauge,
    /// Concurrent requests allowed at the upstream.
    pub limit: IntGauge,
    /// Requests that wait for the upstream.
    pub queued: IntGauge,
}

use crate::event::{self, Event};

const SECONDS: &[f64] = &[0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, 4.0];

fn register<T: prometheus::core::Collector + Clone + 'static>(registry: &Registry, metric: T) -> T {
    registry.register(Box::new(metric.clone())).expect("metric names are unique");
    metric
}

fn opts(name: &str, help: &str) -> Opts {
    Opts::new(name, help)
}

fn histogram(name: &str, help: &str) -> HistogramOpts {
    HistogramOpts::new(name, help).buckets(SECONDS.to_vec())
}

impl Metrics {
    pub fn new() -> Self {
        let registry = Registry::new();
        let counter = |name, help| {
            register(&registry, IntCounter::new(name, help).expect("metric names are valid"))
        };
        let gauge = |name, help| {
            register(&registry, IntGauge::new(name, help).expect("metric names are valid"))
        };
        let counters = |name, help, label| {
            let vec = IntCounterVec::new(opts(name, help), &[label]);
            register(&registry, vec.expect("metric names are valid"))
        };
        let latency = histogram("bbv_call_seconds", "Time until a caller had its answer.");
        let latency = HistogramVec::new(latency, &["ended"]).expect("metric names are valid");
        let waited = histogram("bbv_wait_seconds", "Time that requests waited for the upstream.");
        let waited = Histogram::with_opts(waited).expect("metric names are valid");
        Metrics {
            calls: counters("bbv_calls_total", "Requests from callers.", "ended"),
            latency: register(&registry, latency),
            admitted: counters("bbv_admitted_total", "Requests from ingresses.", "ended"),
            waited: register(&registry, waited),
            retries: counter("bbv_retries_total", "Requests sent to a further upstream."),
            store_calls: counters("bbv_store_calls_total", "Calls to the store.", "result"),
            probes: counter("bbv_probes_total", "Health checks of the upstream."),
            notices: counter("bbv_notices_total", "Load notices sent."),
            version: gauge("bbv_routing_version", "Version of the routing in force."),
            limit: gauge("bbv_limit", "Concurrent requests allowed at the upstream."),
            queued: gauge("bbv_queued", "Requests that wait for the upstream."),
            registry,
        }
    }

    /// Records how a caller's request ended.
    pub fn call(&self, ended: &str, took: Micros) {
        self.calls.with_label_values(&[ended]).inc();
        let seconds = took as f64 / 1e6;
        self.latency.with_label_values(&[ended]).observe(seconds);
    }

    /// All metrics in Prometheus's text format.
    pub fn render(&self) -> String {
        let mut out = Vec::new();
        match TextEncoder::new().encode(&self.registry.gather(), &mut out) {
            Ok(()) => String::from_utf8_lossy(&out).into_owned(),
            Err(error) => {
                event::warn(Event::MetricsFailed, &[("why", &error)]);
                String::new()
            }
        }
    }
}
