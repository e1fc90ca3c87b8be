//! Trial files.

use bbv_core::catalogue::{Catalogue, ConfigErrors, YamlReader, read_yaml};
use bbv_core::units::{MS, Micros, SEC};

use crate::fault::Fault;

/// One service of a trial.
#[derive(Clone, Debug, PartialEq)]
pub struct Pool {
    /// Name of the service in the catalogue.
    pub service: String,
    /// Upstreams, placed on the zones in turn.
    pub endpoints: u32,
    /// Median service time.
    pub median: Micros,
    /// Standard deviation of the logarithm of the service time.
    pub sigma: f64,
}

/// Calls of one entry.
#[derive(Clone, Debug, PartialEq)]
pub struct Stream {
    /// Catalogue entry.
    pub entry: String,
    /// Share of the service's capacity that is offered, from 0.
    pub load: f64,
    /// Share of calls that are sent twice at once.
    pub twice: f64,
    /// Share of answers that are lost on the way to the caller, which sends again.
    pub answer_loss: f64,
}

/// One trial.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Name of the trial.
    pub name: String,
    /// Catalogue in force at the start.
    pub catalogue: Catalogue,
    /// Availability zones in order.
    pub zones: Vec<String>,
    /// One-way time between callers and nodes.
    pub client: Micros,
    /// Mean of the random part of a link's delay, as a share of its fixed part.
    pub jitter: f64,
    /// Share of messages that are sent again after a loss.
    pub loss: f64,
    /// Services.
    pub pools: Vec<Pool>,
    /// Calls.
    pub streams: Vec<Stream>,
    /// Time measured.
    pub length: Micros,
    /// Time before the measurement, for the warm-up.
    pub lead: Micros,
    /// Whether upstreams are warm at the start of the lead.
    pub warm: bool,
    /// Faults.
    pub faults: Vec<Fault>,
    /// Whether upstreams of a zone are cold when it comes back.
    pub chill_on_return: bool,
    /// Catalogue changes an hour that change nothing, to load the spread.
    pub changes: f64,
}

impl Plan {
    /// Reads a trial file; `load` reads the catalogue file that it names.
    ///
    /// ```
    /// use bbv_trial::plan::Plan;
    /// assert!(Plan::parse("name: x\n", |_| Err("no file".to_owned())).is_err());
    /// ```
    pub fn parse(
        text: &str,
        load: impl Fn(&str) -> Result<String, String>,
    ) -> Result<Self, ConfigErrors> {
        read_yaml(text, |root| {
            let catalogue = root.parsed("catalogue", |path| {
                let text = load(path)?;
                Catalogue::parse(&text).map_err(|faults| format!("{path}: {faults}"))
            });
            let catalogue = catalogue.unwrap_or_default();
            let plan = Plan {
                name: root.text("name"),
                zones: catalogue.zones.iter().cloned().collect(),
                catalogue,
                client: root.uint("client_ms", 0..=1_000) * MS,
                jitter: root.optional_float("jitter", 0.0..=10.0).unwrap_or(0.1),
                loss: root.optional_float("loss", 0.0..=0.5).unwrap_or(0.0),
                pools: root.list("pools", read_pool),
                streams: root.list("streams", read_stream),
                length: root.uint("seconds", 1..=86_400) * SEC,
                lead: root.optional_uint("lead_s", 0..=3_600).unwrap_or(8) * SEC,
                warm: root.optional_uint("warm", 0..=1).unwrap_or(1) == 1,
                faults: root.optional_list("faults", Fault::read),
                chill_on_return: root.optional_uint("chill_on_return", 0..=1) == Some(1),
                changes: root.optional_float("changes_per_hour", 0.0..=1e6).unwrap_or(0.0),
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

    /// Calls a second that all upstreams of a service can answer when warm.
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
    /// Mean service time in microseconds.
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
        twice: item.optional_float("twice", 0.0..=1.0).unwrap_or(0.0),
        answer_loss: item.optional_float("answer_loss", 0.0..=1.0).unwrap_or(0.0),
    }
}
