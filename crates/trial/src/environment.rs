//! State that the callers, the faults and the report of a trial share: clock, plan, nodes and
//! random number generator.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use bbv_core::id::Vm;
use bbv_core::units::Micros;
use bbv_node::timer::Timer;
use parking_lot::Mutex;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

use crate::member::SimulatedMember;
use crate::observer::Observer;
use crate::plan::Plan;
use crate::platform::Platform;

/// State of a trial outside its nodes.
pub struct Environment {
    /// Clock of everything outside the nodes.
    pub timer: Timer,
    /// Parsed trial file.
    pub plan: Plan,
    /// Collects the measurements.
    pub observer: Arc<Observer>,
    /// Simulated platform.
    pub platform: Arc<Platform>,
    /// Nodes that accept calls.
    pub members: Mutex<BTreeMap<Vm, SimulatedMember>>,
    /// Nodes whose process has exited.
    pub exited: Mutex<Vec<SimulatedMember>>,
    /// Random number generator for the seeds of nodes and upstreams, seed peers, caller delays and
    /// republished entries.
    pub rng: Mutex<SmallRng>,
    /// Factor by which the offered load is multiplied.
    pub load_factor: Mutex<f64>,
    next_call: AtomicU64,
}

impl Environment {
    /// Creates the environment of a trial without nodes.
    pub fn new(timer: Timer, platform: Arc<Platform>, plan: &Plan, seed: u64) -> Self {
        Environment {
            timer,
            platform,
            plan: plan.clone(),
            observer: Arc::default(),
            members: Mutex::default(),
            exited: Mutex::default(),
            rng: Mutex::new(SmallRng::seed_from_u64(seed)),
            load_factor: Mutex::new(1.0),
            next_call: AtomicU64::new(1),
        }
    }

    /// Returns a new call id.
    pub fn next_call_id(&self) -> u64 {
        self.next_call.fetch_add(1, Ordering::Relaxed)
    }

    /// Returns the factor by which the offered load is multiplied now.
    pub fn load_factor(&self) -> f64 {
        *self.load_factor.lock()
    }

    /// Returns whether a call that started at `start` lies in the measured period.
    pub fn is_measured(&self, start: Micros) -> bool {
        (self.plan.warmup..self.plan.warmup + self.plan.duration).contains(&start)
    }

    /// Chooses the node that a caller connects to: `preferred` if it accepts calls, else any.
    pub fn choose_ingress(
        &self,
        preferred: Option<Vm>,
        rng: &mut SmallRng,
    ) -> Option<SimulatedMember> {
        let members = self.members.lock();
        let vms: Vec<Vm> = members.keys().copied().collect();
        choose_vm(&vms, preferred, rng).and_then(|vm| members.get(&vm).cloned())
    }

    /// Returns whether a member accepts calls.
    pub fn accepts_calls(&self, member: &SimulatedMember) -> bool {
        self.members.lock().contains_key(&member.vm)
    }

    /// Returns whether the process of a member has exited.
    pub fn has_exited(&self, member: &SimulatedMember) -> bool {
        self.exited.lock().iter().any(|exited| exited.vm == member.vm)
    }

    /// Waits for the one-way delay between a caller and a node.
    pub async fn caller_delay(&self) {
        let jitter = -(1.0 - self.rng.lock().random::<f64>()).ln() * self.plan.jitter;
        let delay = self.plan.caller_delay as f64 * (1.0 + jitter);
        self.timer.sleep(delay as Micros).await;
    }
}

fn choose_vm(vms: &[Vm], preferred: Option<Vm>, rng: &mut SmallRng) -> Option<Vm> {
    preferred.filter(|vm| vms.contains(vm)).or_else(|| vms.choose(rng).copied())
}
