//! Prometheus metrics of a node and their text rendering.

use bbv_core::route::Name;
use bbv_core::units::Micros;
use http::StatusCode;
use prometheus::{
    Encoder, Gauge, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge,
    IntGaugeVec, Opts, Registry, TextEncoder,
};

/// Metrics of a node and the registry that renders them.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    calls: IntCounterVec,
    latency: HistogramVec,
    responses: IntCounterVec,
    /// Requests that were refused since a service that they need lacks room, by service, service that
    /// lacks room, and rank.
    pub shed: IntCounterVec,
    /// Room of the upstream: the sum of the shares of all ranks.
    pub room: Gauge,
    /// Requests from ingresses that ended at the gate, by outcome.
    pub admitted: IntCounterVec,
    /// Time that requests were queued for the upstream.
    pub queue_time: Histogram,
    /// Requests sent again to another upstream.
    pub retries: IntCounter,
    /// Calls to the store, by result.
    pub store_calls: IntCounterVec,
    /// Health checks of the upstream.
    pub probes: IntCounter,
    /// Load notices sent.
    pub notices: IntCounter,
    /// Requests refused for their keys, by cause.
    pub keys_refused: IntCounterVec,
    /// Tokens of quotas that requests needed, by result.
    pub quota_claims: IntCounterVec,
    /// Questions to granters of quotas.
    pub quota_asks: IntCounter,
    /// Time since the store is proven to have had no newer routing, in seconds.
    pub proof_age: Gauge,
    /// Requests sent to other regions.
    pub region_sends: IntCounter,
    /// Bytes of the bodies of these requests and of their responses.
    pub region_bytes: IntCounter,
    /// Number of regions out of reach.
    pub regions_lost: IntGauge,
    /// Panics of background tasks.
    pub panics: IntCounter,
    /// Requests started before their turn on their connection.
    pub ahead_started: IntCounter,
    /// Connections on which requests are read before their turn.
    pub ahead_connections: IntGauge,
    /// Responses that wait for earlier ones on their connection.
    pub ahead_held: IntGauge,
    /// Version of the routing in force.
    pub routing_version: IntGauge,
    /// Concurrent requests allowed at the upstream.
    pub limit: IntGauge,
    /// Time since the routing came into force on this node, in seconds.
    pub routing_age: Gauge,
    /// Latest known revision of the fleet.
    pub revision: IntGauge,
    /// Latest known revision of the routing and of zones.
    pub control_revision: IntGauge,
    /// Era of the store, which rises when it comes back from an older copy.
    pub era: IntGauge,
    /// Age of what is known of upstreams, in seconds.
    pub upstreams_age: Gauge,
    /// Age of what is known of the routing and of zones, in seconds.
    pub control_age: Gauge,
    /// Requests running on the upstream.
    pub running: IntGauge,
    /// Requests queued for the upstream.
    pub queued: IntGauge,
    /// Whether the upstream is cold.
    pub cold: IntGauge,
    /// Age of the upstream's last load report, in seconds.
    pub report_age: Gauge,
    /// Bytes counted for bodies, by whose bodies they are.
    pub body_bytes: IntGaugeVec,
    /// Resident memory of the process, in bytes.
    pub resident: IntGauge,
}

/// Service and rank of the route that a request matched, as metric labels.
#[derive(Clone, Debug)]
pub(crate) struct RouteLabels {
    /// Service that the request is sent to.
    pub service: Name,
    /// Priority rank of the route.
    pub rank: u8,
}

/// Who chose the status of a response to a caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ResponseSource {
    /// The HTTP library, before the node saw the request.
    Library,
    /// The node.
    Node,
    /// An upstream.
    Upstream,
}

impl ResponseSource {
    /// Name in the metrics.
    fn name(self) -> &'static str {
        match self {
            ResponseSource::Library => "library",
            ResponseSource::Node => "node",
            ResponseSource::Upstream => "upstream",
        }
    }
}

/// Label value of requests that matched no route.
const NO_ROUTE: &str = "none";
/// Labels of the metrics of callers' requests.
const CALL_LABELS: [&str; 3] = ["service", "rank", "ended"];

use crate::event::{self, Event};

const BUCKETS_S: &[f64] = &[0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, 4.0];

fn register<T: prometheus::core::Collector + Clone + 'static>(registry: &Registry, metric: T) -> T {
    registry.register(Box::new(metric.clone())).expect("metric names are unique");
    metric
}

fn opts(name: &str, help: &str) -> Opts {
    Opts::new(name, help)
}

fn histogram(name: &str, help: &str) -> HistogramOpts {
    HistogramOpts::new(name, help).buckets(BUCKETS_S.to_vec())
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
        let latency = histogram("bbv_call_seconds", "Time until a caller received its answer.");
        let latency = HistogramVec::new(latency, &CALL_LABELS).expect("metric names are valid");
        let calls =
            IntCounterVec::new(opts("bbv_calls_total", "Requests from callers."), &CALL_LABELS);
        let calls = calls.expect("metric names are valid");
        let responses = opts("bbv_responses_total", "Responses to callers.");
        let responses = IntCounterVec::new(responses, &["status", "source"]);
        let responses = responses.expect("metric names are valid");
        let shed = opts("bbv_shed_total", "Requests refused for lack of room.");
        let shed = IntCounterVec::new(shed, &["service", "scarce", "rank"]);
        let shed = shed.expect("metric names are valid");
        let body_bytes = opts("bbv_body_bytes", "Bytes counted for bodies.");
        let body_bytes = IntGaugeVec::new(body_bytes, &["of"]).expect("metric names are valid");
        let queue_time =
            histogram("bbv_wait_seconds", "Time that requests were queued for the upstream.");
        let queue_time = Histogram::with_opts(queue_time).expect("metric names are valid");
        Metrics {
            calls: register(&registry, calls),
            latency: register(&registry, latency),
            responses: register(&registry, responses),
            shed: register(&registry, shed),
            room: seconds("bbv_room", "Ranks that the upstream has room for."),
            admitted: counters("bbv_admitted_total", "Requests ended at the gate.", "ended"),
            queue_time: register(&registry, queue_time),
            retries: counter("bbv_retries_total", "Requests sent again to another upstream."),
            store_calls: counters("bbv_store_calls_total", "Calls to the store.", "result"),
            probes: counter("bbv_probes_total", "Health checks of the upstream."),
            notices: counter("bbv_notices_total", "Load notices sent."),
            keys_refused: counters(
                "bbv_keys_refused_total",
                "Requests refused for their keys.",
                "why",
            ),
            quota_claims: counters("bbv_quota_claims_total", "Tokens needed of quotas.", "result"),
            quota_asks: counter("bbv_quota_asks_total", "Questions to granters of quotas."),
            proof_age: seconds(
                "bbv_proof_age_seconds",
                "Age of the proof that the routing is newest.",
            ),
            region_sends: counter("bbv_region_sends_total", "Requests sent to other regions."),
            region_bytes: counter(
                "bbv_region_bytes_total",
                "Bytes of bodies sent to other regions and received from them.",
            ),
            regions_lost: gauge("bbv_regions_lost", "Number of regions out of reach."),
            panics: counter("bbv_panics_total", "Panics of background tasks."),
            ahead_started: counter(
                "bbv_ahead_started_total",
                "Requests started before their turn on their connection.",
            ),
            ahead_connections: gauge(
                "bbv_ahead_connections",
                "Connections on which requests are read before their turn.",
            ),
            ahead_held: gauge(
                "bbv_ahead_held",
                "Responses that wait for earlier ones on their connection.",
            ),
            routing_version: gauge("bbv_routing_version", "Version of the routing in force."),
            limit: gauge("bbv_limit", "Concurrent requests allowed at the upstream."),
            routing_age: seconds("bbv_routing_age_seconds", "Age of the routing in force."),
            revision: gauge("bbv_revision", "Latest known revision of upstreams."),
            control_revision: gauge(
                "bbv_control_revision",
                "Latest known revision of the routing and of zones.",
            ),
            era: gauge("bbv_store_era", "Era of the store."),
            running: gauge("bbv_running", "Requests running on the upstream."),
            queued: gauge("bbv_queued", "Requests queued for the upstream."),
            cold: gauge("bbv_cold", "Whether the upstream is cold."),
            upstreams_age: seconds("bbv_upstreams_age_seconds", "Age of the known upstreams."),
            control_age: seconds("bbv_control_age_seconds", "Age of the known routing and zones."),
            report_age: seconds("bbv_report_age_seconds", "Age of the upstream's load report."),
            body_bytes: register(&registry, body_bytes),
            resident: gauge("bbv_resident_bytes", "Resident memory of the process."),
            registry,
        }
    }

    /// Records the outcome and latency of a caller's request.
    pub fn record_call(&self, route: Option<&RouteLabels>, outcome: &str, latency: Micros) {
        let rank = route.map_or_else(|| NO_ROUTE.to_owned(), |route| route.rank.to_string());
        let labels = [route.map_or(NO_ROUTE, |route| &*route.service), &rank, outcome];
        self.calls.with_label_values(&labels).inc();
        self.latency.with_label_values(&labels).observe(latency as f64 / 1e6);
    }

    /// Counts a response to a caller.
    pub fn record_response(&self, status: StatusCode, source: ResponseSource) {
        self.responses.with_label_values(&[status.as_str(), source.name()]).inc();
    }

    /// Returns all metrics in the Prometheus text format.
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
