//! Reads trial files: the catalogue, the pools of upstreams, the offered load and the faults of
//! a trial.

use bbv_core::catalogue::{Catalogue, ConfigErrors, YamlReader, read_yaml};
use bbv_core::units::{MS, Micros, SEC};

use crate::fault::Fault;

/// A pool of upstreams of one service.
#[derive(Clone, Debug, PartialEq)]
pub struct Pool {
    /// Name of the service in the catalogue.
    pub service: String,
    /// Number of upstreams, assigned to the zones in turn.
    pub endpoints: u32,
    /// Median service time.
    pub median: Micros,
    /// Standard deviation of the logarithm of the service time.
    pub sigma: f64,
}

/// The calls to one entry.
#[derive(Clone, Debug, PartialEq)]
pub struct Stream {
    /// Catalogue entry.
    pub entry: String,
    /// Offered load as a share of the service's capacity.
    pub load: f64,
    /// Share of calls that are sent twice concurrently.
    pub duplicates: f64,
    /// Share of answers that are lost on the way to the caller, which then retries.
    pub answer_loss: f64,
}

/// Plan of one trial, read from a trial file.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Name of the trial.
    pub name: String,
    /// Catalogue in force at the start.
    pub catalogue: Catalogue,
    /// Availability zones in name order.
    pub zones: Vec<String>,
    /// Fixed part of the one-way delay between callers and nodes.
    pub caller_delay: Micros,
    /// Mean of the random part of a link's delay, as a share of its fixed part.
    pub jitter: f64,
    /// Share of messages that are lost and retransmitted.
    pub loss: f64,
    /// Pools of upstreams.
    pub pools: Vec<Pool>,
    /// Streams of calls.
    pub streams: Vec<Stream>,
    /// Length of the measured period.
    pub duration: Micros,
    /// Warm-up time before the measured period.
    pub warmup: Micros,
    /// Whether upstreams are warm when the trial starts.
    pub warm: bool,
    /// Scheduled faults.
    pub faults: Vec<Fault>,
    /// Whether the upstreams of a zone are cold when it returns to service.
    pub cold_on_return: bool,
    /// Unchanged entries republished per hour, to put load on the distribution of documents.
    pub change_rate: f64,
}

impl Plan {
    /// Parses a trial file; `read_file` reads the catalogue file that it names.
    ///
    /// ```
    /// use bbv_trial::plan::Plan;
    /// assert!(Plan::parse("name: x\n", |_| Err("no file".to_owned())).is_err());
    /// ```
    pub fn parse(
        text: &str,
        read_file: impl Fn(&str) -> Result<String, String>,
    ) -> Result<Self, ConfigErrors> {
        read_yaml(text, |root| {
            let catalogue = root.parsed("catalogue", |path| {
                let text = read_file(path)?;
                Catalogue::parse(&text).map_err(|faults| format!("{path}: {faults}"))
            });
            let catalogue = catalogue.unwrap_or_default();
            let plan = Plan {
                name: root.text("name"),
                zones: catalogue.zones.iter().cloned().collect(),
                catalogue,
                caller_delay: root.uint("client_ms", 0..=1_000) * MS,
                jitter: root.optional_float("jitter", 0.0..=10.0).unwrap_or(0.1),
                loss: root.optional_float("loss", 0.0..=0.5).unwrap_or(0.0),
                pools: root.list("pools", read_pool),
                streams: root.list("streams", read_stream),
                duration: root.uint("seconds", 1..=86_400) * SEC,
                warmup: root.optional_uint("lead_s", 0..=3_600).unwrap_or(8) * SEC,
                warm: root.optional_uint("warm", 0..=1).unwrap_or(1) == 1,
                faults: root.optional_list("faults", Fault::read),
                cold_on_return: root.optional_uint("chill_on_return", 0..=1) == Some(1),
                change_rate: root.optional_float("changes_per_hour", 0.0..=1e6).unwrap_or(0.0),
            };
            root.for_each_field("pools", "service", |name, fault| {
                if !plan.catalogue.services.contains_key(name.text) {
                    fault(format!("service {} is not in the catalogue", name.text));
                }
            });
            root.for_each_field("streams", "entry", |name, fault| {
                if !plan.catalogue.entries.contains_key(name.text) {
                    fault(format!("entry {} is not in the catalogue", name.text));
                }
            });
            plan
        })
    }

    /// Returns the calls per second that all upstreams of a service can answer when warm.
    pub fn capacity(&self, service: &str) -> f64 {
        let pools = self.pools.iter().filter(|pool| pool.service == service);
        pools
            .map(|pool| {
                let slots = self.catalogue.services.get(service).map_or(0, |s| s.slots) as f64;
                f64::from(pool.endpoints) * slots * SEC as f64 / pool.mean()
            })
            .sum()
    }
}

impl Pool {
    /// Returns the mean service time in microseconds.
    ///
    /// ```
    /// use bbv_trial::plan::Pool;
    /// let pool = Pool { service: "a".into(), endpoints: 1, median: 1_000, sigma: 0.0 };
    /// assert_eq!(pool.mean(), 1_000.0);
    /// ```
    pub fn mean(&self) -> f64 {
        self.median as f64 * (self.sigma * self.sigma / 2.0).exp()
    }
}

fn read_pool(item: &mut YamlReader<'_>) -> Pool {
    Pool {
        service: item.text("service"),
        endpoints: item.uint("endpoints", 1..=10_000) as u32,
        median: (item.optional_float("median_ms", 0.01..=10_000.0).unwrap_or(8.0) * MS as f64)
            as Micros,
        sigma: item.optional_float("sigma", 0.0..=2.0).unwrap_or(0.5),
    }
}

fn read_stream(item: &mut YamlReader<'_>) -> Stream {
    Stream {
        entry: item.text("entry"),
        load: item.optional_float("load", 0.0..=100.0).unwrap_or(0.5),
        duplicates: item.optional_float("twice", 0.0..=1.0).unwrap_or(0.0),
        answer_loss: item.optional_float("answer_loss", 0.0..=1.0).unwrap_or(0.0),
    }
}
