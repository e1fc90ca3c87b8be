//! What the callers, the faults and the report of a trial share.

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

use crate::member::Member;
use crate::observer::Observer;
use crate::plan::Plan;
use crate::platform::Platform;

/// State of a trial outside its nodes.
pub struct Scene {
    /// Clock of everything outside the nodes.
    pub timer: Timer,
    /// Trial file.
    pub plan: Plan,
    /// Independent observer.
    pub observer: Arc<Observer>,
    /// Platform stand-in.
    pub platform: Arc<Platform>,
    /// Nodes whose process runs.
    pub members: Mutex<BTreeMap<Vm, Member>>,
    /// Nodes whose process has ended.
    pub gone: Mutex<Vec<Member>>,
    /// Randomness of everything outside the nodes.
    pub rng: Mutex<SmallRng>,
    /// Factor by which the offered load is raised.
    pub load: Mutex<f64>,
    calls: AtomicU64,
}

impl Scene {
    /// Creates the scene of a trial without nodes.
    pub fn new(timer: Timer, platform: Arc<Platform>, plan: &Plan, seed: u64) -> Self {
        Scene {
            timer,
            platform,
            plan: plan.clone(),
            observer: Arc::default(),
            members: Mutex::default(),
            gone: Mutex::default(),
            rng: Mutex::new(SmallRng::seed_from_u64(seed)),
            load: Mutex::new(1.0),
            calls: AtomicU64::new(1),
        }
    }

    /// Number for the next call.
    pub fn next_call(&self) -> u64 {
        self.calls.fetch_add(1, Ordering::Relaxed)
    }

    /// Factor by which the offered load is raised now.
    pub fn load_factor(&self) -> f64 {
        *self.load.lock()
    }

    /// Tells whether a call that began at `start` is measured.
    pub fn measured(&self, start: Micros) -> bool {
        (self.plan.lead..self.plan.lead + self.plan.length).contains(&start)
    }

    /// Node that a caller connects to.
    pub fn ingress(&self, home: Option<Vm>, rng: &mut SmallRng) -> Option<Member> {
        let members = self.members.lock();
        let vms: Vec<Vm> = members.keys().copied().collect();
        choose(&vms, home, rng).and_then(|vm| members.get(&vm).cloned())
    }

    /// Tells whether the process of a member still runs.
    pub fn is_alive(&self, member: &Member) -> bool {
        self.members.lock().contains_key(&member.vm)
    }

    /// Tells whether the process of a member has ended.
    pub fn is_dead(&self, member: &Member) -> bool {
        self.gone.lock().iter().any(|gone| gone.vm == member.vm)
    }

    /// Waits for the way between a caller and a node.
    pub async fn client_delay(&self) {
        let jitter = -(1.0 - self.rng.lock().random::<f64>()).ln() * self.plan.jitter;
        let delay = self.plan.client as f64 * (1.0 + jitter);
        self.timer.sleep(delay as Micros).await;
    }
}

/// Chooses the node that a caller connects to.
fn choose(vms: &[Vm], home: Option<Vm>, rng: &mut SmallRng) -> Option<Vm> {
    home.filter(|vm| vms.contains(vm)).or_else(|| vms.choose(rng).copied())
}
