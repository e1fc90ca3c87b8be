//! Load-balancing policies that a trial can run: the node's own and the baselines that it is
//! compared with.

use std::collections::BTreeMap;
use std::sync::Arc;

use bbv_core::id::Vm;
use bbv_core::units::Micros;
use bbv_node::BaselinePolicy;
use parking_lot::Mutex;
use rand::seq::IndexedRandom;

use crate::model::UpstreamModel;

/// Load-balancing policy of a trial.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Policy {
    /// The node's own load balancing and admission control.
    Bluebellvale,
    /// Least expected response time, with exact knowledge of every upstream at no cost.
    Oracle,
    /// An upstream at random.
    Random,
    /// Each upstream in turn.
    RoundRobin,
}

impl Policy {
    /// Parses the name of a policy.
    ///
    /// ```
    /// use bbv_trial::policy::Policy;
    /// assert_eq!(Policy::parse("oracle"), Ok(Policy::Oracle));
    /// assert!(Policy::parse("best").is_err());
    /// ```
    pub fn parse(text: &str) -> Result<Self, String> {
        Ok(match text {
            "bluebellvale" => Policy::Bluebellvale,
            "oracle" => Policy::Oracle,
            "random" => Policy::Random,
            "round-robin" => Policy::RoundRobin,
            _ => {
                let names = "bluebellvale, oracle, random, round-robin";
                return Err(format!("could not use policy {text}: not one of {names}"));
            }
        })
    }

    /// Returns the name of the policy.
    ///
    /// ```
    /// assert_eq!(bbv_trial::policy::Policy::RoundRobin.name(), "round-robin");
    /// ```
    pub fn name(self) -> &'static str {
        match self {
            Policy::Bluebellvale => "bluebellvale",
            Policy::Oracle => "oracle",
            Policy::Random => "random",
            Policy::RoundRobin => "round-robin",
        }
    }
}

/// Chooses upstreams with exact knowledge of their load.
#[derive(Default)]
pub struct Oracle {
    upstreams: Mutex<BTreeMap<u32, KnownUpstream>>,
}

struct KnownUpstream {
    model: Arc<UpstreamModel>,
    zone: String,
    slots: f64,
    mean_time: f64,
}

impl Oracle {
    /// Adds an upstream to those that the oracle knows.
    pub fn register(&self, model: &Arc<UpstreamModel>, zone: &str, slots: f64, mean_time: f64) {
        let upstream =
            KnownUpstream { model: Arc::clone(model), zone: zone.to_owned(), slots, mean_time };
        self.upstreams.lock().insert(model.vm, upstream);
    }

    fn pick(&self, tried: &[Vm], vms: &[Vm], rtt: &dyn Fn(&str) -> Micros) -> Option<Vm> {
        let upstreams = self.upstreams.lock();
        let cost = |vm: &Vm| {
            let upstream = upstreams.get(&vm.0)?;
            let requests = f64::from(upstream.model.assigned() + 1);
            let wait = (requests / upstream.slots).max(1.0)
                * upstream.mean_time
                * upstream.model.slowdown();
            Some(wait + rtt(&upstream.zone) as f64)
        };
        let untried = vms.iter().filter(|vm| !tried.contains(vm));
        let best =
            untried.filter_map(|vm| Some((cost(vm)?, *vm))).min_by(|a, b| a.0.total_cmp(&b.0));
        let (_, vm) = best?;
        upstreams.get(&vm.0)?.model.assign();
        Some(vm)
    }
}

/// Returns the choice function of a baseline, or `None` for the node's own policy.
pub fn baseline(
    policy: Policy,
    oracle: &Arc<Oracle>,
    rtt: impl Fn(&str) -> Micros + Send + Sync + 'static,
) -> Option<BaselinePolicy> {
    match policy {
        Policy::Bluebellvale => None,
        Policy::Oracle => {
            let oracle = Arc::clone(oracle);
            Some(Box::new(move |_, tried, vms, _| oracle.pick(tried, vms, &rtt)))
        }
        Policy::Random => Some(Box::new(|_, tried, vms, rng| {
            let untried: Vec<Vm> = vms.iter().filter(|vm| !tried.contains(vm)).copied().collect();
            untried.choose(rng).copied()
        })),
        Policy::RoundRobin => {
            let next = Mutex::new(0_usize);
            Some(Box::new(move |_, tried, vms, _| {
                let untried: Vec<Vm> =
                    vms.iter().filter(|vm| !tried.contains(vm)).copied().collect();
                let mut next = next.lock();
                *next += 1;
                untried.get(*next % untried.len().max(1)).copied()
            }))
        }
    }
}
