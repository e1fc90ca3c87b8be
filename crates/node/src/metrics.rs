//! Prometheus metrics of a node.

use std::sync::atomic::{AtomicU64, Ordering};

use bbv_core::reconciliation::{Mark, Side};
use bbv_core::units::Micros;
use prometheus::{
    Encoder, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder,
};

use crate::outcome::Ending;

/// Metrics of a node and their registry.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    request_ids: AtomicU64,
    /// Calls from callers.
    pub calls: IntCounter,
    /// Messages to peers that carry no call.
    pub control_sent: IntCounter,
    /// Answers dropped because they were for another attempt.
    pub crossed: IntCounter,
    /// Second attempts sent before the first one ended.
    pub hedges: IntCounter,
    /// Messages to peers without a reply.
    pub link_errors: IntCounter,
    /// Messages of peers that could not be decoded, and requests of callers rejected on reading.
    pub malformed: IntCounter,
    /// Messages sent only to measure load.
    pub measure_sent: IntCounter,
    /// Pauses of the process.
    pub pauses: IntCounter,
    /// Reads of the platform, including watches.
    pub platform_reads: IntCounter,
    /// Documents refused as invalid.
    pub refused_docs: IntCounter,
    /// Attempts after the first one ended.
    pub retries: IntCounter,
    /// Revision in force.
    pub revision: IntGauge,
    /// Incoming peer connections whose handshake failed, for example for their certificate.
    pub untrusted: IntCounter,
    /// Connections to the upstream that broke during a request.
    pub upstream_lost: IntCounter,
    attempts: IntCounterVec,
    outcomes: IntCounterVec,
    latency: Histogram,
}

fn counter(registry: &Registry, name: &str, help: &str) -> IntCounter {
    let counter = IntCounter::new(name, help).expect("metric names are valid");
    registry.register(Box::new(counter.clone())).expect("metric names are unique");
    counter
}

fn counter_vec(registry: &Registry, name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
    let vec = IntCounterVec::new(Opts::new(name, help), labels).expect("metric names are valid");
    registry.register(Box::new(vec.clone())).expect("metric names are unique");
    vec
}

const LATENCY_BUCKETS_S: [f64; 12] =
    [0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0];

impl Metrics {
    pub(crate) fn new() -> Self {
        let registry = Registry::new();
        let r = &registry;
        let revision =
            IntGauge::new("bbv_revision", "Revision in force.").expect("metric names are valid");
        r.register(Box::new(revision.clone())).expect("metric names are unique");
        let options = HistogramOpts::new("bbv_call_seconds", "Time to the end of a call.");
        let latency = Histogram::with_opts(options.buckets(LATENCY_BUCKETS_S.to_vec()))
            .expect("metric names are valid");
        r.register(Box::new(latency.clone())).expect("metric names are unique");
        Metrics {
            request_ids: AtomicU64::new(0),
            calls: counter(r, "bbv_calls_total", "Calls from callers."),
            control_sent: counter(r, "bbv_control_messages_total", "Messages without a call."),
            crossed: counter(r, "bbv_crossed_total", "Answers for another attempt, dropped."),
            hedges: counter(r, "bbv_hedges_total", "Second attempts sent early."),
            link_errors: counter(r, "bbv_link_errors_total", "Messages without a reply."),
            malformed: counter(r, "bbv_malformed_total", "Messages that could not be read."),
            measure_sent: counter(r, "bbv_measure_messages_total", "Messages sent to measure."),
            pauses: counter(r, "bbv_pauses_total", "Pauses of the process."),
            platform_reads: counter(r, "bbv_platform_reads_total", "Reads of the platform."),
            refused_docs: counter(r, "bbv_refused_documents_total", "Invalid documents."),
            retries: counter(r, "bbv_retries_total", "Attempts after the first one ended."),
            untrusted: counter(r, "bbv_untrusted_peers_total", "Peers refused."),
            upstream_lost: counter(r, "bbv_upstream_lost_total", "Upstream connections broken."),
            attempts: counter_vec(r, "bbv_attempts_total", "Attempts ended.", &["side", "mark"]),
            outcomes: counter_vec(r, "bbv_outcomes_total", "Calls ended.", &["outcome", "reason"]),
            latency,
            revision,
            registry,
        }
    }

    /// Returns a new id for a request to the gate.
    pub(crate) fn next_request_id(&self) -> u64 {
        self.request_ids.fetch_add(1, Ordering::Relaxed)
    }

    pub(crate) fn count_attempt(&self, side: Side, mark: Mark) {
        let side = if side == Side::Gate { "gate" } else { "ingress" };
        let mark = match mark {
            Mark::Answered => "answered",
            Mark::Cancelled => "cancelled",
            Mark::Refused => "refused",
            Mark::Unknown => "unknown",
        };
        self.attempts.with_label_values(&[side, mark]).inc();
    }

    pub(crate) fn count_outcome(&self, ending: &Ending) {
        let (outcome, reason) = match ending {
            Ending::Answered(_) => ("answered", ""),
            Ending::NotRun(refusal) => ("not-run", refusal.name()),
            Ending::Unknown(reason) => ("unknown", reason.name()),
        };
        self.outcomes.with_label_values(&[outcome, reason]).inc();
    }

    pub(crate) fn observe_latency(&self, latency: Micros) {
        self.latency.observe(latency as f64 / 1e6);
    }

    /// Metrics in the Prometheus text format.
    pub fn text(&self) -> String {
        let mut out = Vec::new();
        let result = TextEncoder::new().encode(&self.registry.gather(), &mut out);
        result.expect("metrics are encoded into memory");
        String::from_utf8(out).expect("the text format is UTF-8")
    }
}
