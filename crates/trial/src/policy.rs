//! Policies that a trial can run: the node's own and the baselines.

use std::collections::BTreeMap;
use std::sync::Arc;

use bbv_core::id::Vm;
use bbv_core::units::Micros;
use bbv_node::BaselinePolicy;
use parking_lot::Mutex;
use rand::seq::IndexedRandom;

use crate::model::Model;

/// Policy of a trial.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Policy {
    /// The node's own steering and admission.
    Bluebellvale,
    /// Shortest queue, with perfect and free knowledge.
    Oracle,
    /// Any upstream.
    Random,
    /// Each upstream in turn.
    RoundRobin,
}

impl Policy {
    /// Reads the name of a policy.
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

    /// Name of the policy.
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

/// What the oracle sees of every upstream.
#[derive(Default)]
pub struct Oracle {
    seen: Mutex<BTreeMap<u32, View>>,
}

struct View {
    model: Arc<Model>,
    zone: String,
    slots: f64,
    mean: f64,
}

impl Oracle {
    /// Shows an upstream to the oracle.
    pub fn show(&self, model: &Arc<Model>, zone: &str, slots: f64, mean: f64) {
        let view = View { model: Arc::clone(model), zone: zone.to_owned(), slots, mean };
        self.seen.lock().insert(model.vm, view);
    }

    fn pick(&self, tried: &[Vm], vms: &[Vm], rtt: &dyn Fn(&str) -> Micros) -> Option<Vm> {
        let seen = self.seen.lock();
        let cost = |vm: &Vm| {
            let view = seen.get(&vm.0)?;
            let ahead = f64::from(view.model.assigned() + 1);
            let wait = (ahead / view.slots).max(1.0) * view.mean * view.model.slowness();
            Some(wait + rtt(&view.zone) as f64)
        };
        let open = vms.iter().filter(|vm| !tried.contains(vm));
        let best = open.filter_map(|vm| Some((cost(vm)?, *vm))).min_by(|a, b| a.0.total_cmp(&b.0));
        let (_, vm) = best?;
        seen.get(&vm.0)?.model.assign();
        Some(vm)
    }
}

/// Choice of a baseline, or none for the node's own.
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
            let open: Vec<Vm> = vms.iter().filter(|vm| !tried.contains(vm)).copied().collect();
            open.choose(rng).copied()
        })),
        Policy::RoundRobin => {
            let next = Mutex::new(0_usize);
            Some(Box::new(move |_, tried, vms, _| {
                let open: Vec<Vm> = vms.iter().filter(|vm| !tried.contains(vm)).copied().collect();
                let mut next = next.lock();
                *next += 1;
                open.get(*next % open.len().max(1)).copied()
            }))
        }
    }
}
