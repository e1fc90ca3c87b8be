//! Prometheus metrics of a node.

use bbv_core::route::Name;
use bbv_core::units::Micros;
use prometheus::{
    Encoder, Gauge, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge,
    Opts, Registry, TextEncoder,
};

/// Metrics with their registry.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    calls: IntCounterVec,
    latency: HistogramVec,
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
    /// Time since that version came into force here, in seconds.
    pub version_age: Gauge,
    /// Revision up to which the fleet is known.
    pub revision: IntGauge,
    /// Requests that run on the upstream.
    pub running: IntGauge,
    /// Requests that wait for the upstream.
    pub queued: IntGauge,
    /// Whether the upstream is cold.
    pub cold: IntGauge,
    /// Age of what the upstream last said of its load, in seconds.
    pub report_age: Gauge,
}

/// What a request asked for, as far as it is known.
#[derive(Clone, Debug)]
pub(crate) struct Kind {
    /// Service that runs it.
    pub service: Name,
    /// Rank of its route.
    pub rank: u8,
}

/// Label of a request that matched no route.
const NONE: &str = "none";
/// Labels of a caller's request.
const LABELS: [&str; 3] = ["service", "rank", "ended"];

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
        let seconds = |name, help| {
            register(&registry, Gauge::new(name, help).expect("metric names are valid"))
        };
        let counters = |name, help, label| {
            let vec = IntCounterVec::new(opts(name, help), &[label]);
            register(&registry, vec.expect("metric names are valid"))
        };
        let latency = histogram("bbv_call_seconds", "Time until a caller had its answer.");
        let latency = HistogramVec::new(latency, &LABELS).expect("metric names are valid");
        let calls = IntCounterVec::new(opts("bbv_calls_total", "Requests from callers."), &LABELS);
        let calls = calls.expect("metric names are valid");
        let waited = histogram("bbv_wait_seconds", "Time that requests waited for the upstream.");
        let waited = Histogram::with_opts(waited).expect("metric names are valid");
        Metrics {
            calls: register(&registry, calls),
            latency: register(&registry, latency),
            admitted: counters("bbv_admitted_total", "Requests from ingresses.", "ended"),
            waited: register(&registry, waited),
            retries: counter("bbv_retries_total", "Requests sent to a further upstream."),
            store_calls: counters("bbv_store_calls_total", "Calls to the store.", "result"),
            probes: counter("bbv_probes_total", "Health checks of the upstream."),
            notices: counter("bbv_notices_total", "Load notices sent."),
            version: gauge("bbv_routing_version", "Version of the routing in force."),
            limit: gauge("bbv_limit", "Concurrent requests allowed at the upstream."),
            version_age: seconds("bbv_routing_age_seconds", "Time since it came into force."),
            revision: gauge("bbv_revision", "Revision up to which the fleet is known."),
            running: gauge("bbv_running", "Requests that run on the upstream."),
            queued: gauge("bbv_queued", "Requests that wait for the upstream."),
            cold: gauge("bbv_cold", "Whether the upstream is cold."),
            report_age: seconds("bbv_report_age_seconds", "Age of the upstream's load report."),
            registry,
        }
    }

    /// Records how a caller's request ended.
    pub fn call(&self, kind: Option<&Kind>, ended: &str, took: Micros) {
        let rank = kind.map_or_else(|| NONE.to_owned(), |kind| kind.rank.to_string());
        let labels = [kind.map_or(NONE, |kind| &*kind.service), &rank, ended];
        self.calls.with_label_values(&labels).inc();
        self.latency.with_label_values(&labels).observe(took as f64 / 1e6);
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
