//! Least-cost selection of the target of an attempt.
//!
//! The ingress of bbv-node uses it for each attempt; it matters when the upstreams of a service
//! differ in load, speed, failures or distance.

use rand::Rng;
use rand::seq::IndexedRandom;

use crate::id::Vm;
use crate::load::{Load, TargetLoad};
use crate::rendezvous;
use crate::units::{MS, Micros};

/// Maximum number of targets that one ingress uses for a service.
pub const SUBSET_SIZE: usize = 16;

/// Possible target of a service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Candidate {
    /// VM of the upstream.
    pub vm: Vm,
    /// Round-trip time to its gate in microseconds.
    pub rtt: Micros,
}

/// Target and its estimated round-trip time and load.
#[derive(Clone, Debug)]
pub struct Target {
    /// VM of the upstream.
    pub vm: Vm,
    /// Estimated round-trip time to its gate.
    pub rtt: Micros,
    /// Estimated load.
    pub load: TargetLoad,
}

/// Load balancer among the targets of one service.
#[derive(Clone, Debug)]
pub struct Balancer {
    ingress: Vm,
    base_latency: Micros,
    slots: u32,
    targets: Vec<Target>,
    prior_load: f64,
}

const PRIOR_LOAD_GAIN: f64 = 0.05;
const RTT_GAIN: f64 = 0.1;
const FAILURE_COST: f64 = 40.0;
const TIE_MARGIN: f64 = 0.04;
const SLOW_FACTOR: u64 = 4;

impl Balancer {
    /// Creates a balancer without targets; `base_latency` is the latency of an unloaded upstream.
    ///
    /// ```
    /// use bbv_core::{balancer::Balancer, id::Vm};
    /// assert!(Balancer::new(Vm(1), 5_000, 9).targets().is_empty());
    /// ```
    pub fn new(ingress: Vm, base_latency: Micros, slots: u32) -> Self {
        Balancer {
            ingress,
            base_latency,
            slots,
            targets: Vec::new(),
            prior_load: f64::from(slots) * 0.5,
        }
    }

    /// Sets the candidates; targets that remain keep their samples.
    ///
    /// At most [`SUBSET_SIZE`] of them become targets: those with the lowest round-trip time
    /// first, and among equals those that rendezvous hashing assigns to this ingress.
    ///
    /// ```
    /// use bbv_core::{balancer::{Balancer, Candidate, SUBSET_SIZE}, id::Vm};
    /// let mut balancer = Balancer::new(Vm(1), 5_000, 9);
    /// let all: Vec<_> = (0..700).map(|n| Candidate { vm: Vm(n), rtt: 0 }).collect();
    /// balancer.set_candidates(&all);
    /// assert_eq!(balancer.targets().len(), SUBSET_SIZE);
    /// ```
    pub fn set_candidates(&mut self, candidates: &[Candidate]) {
        let chosen = self.subset(candidates);
        let mut next = Vec::with_capacity(chosen.len());
        for candidate in chosen {
            let kept = self.targets.iter().position(|target| target.vm == candidate.vm);
            match kept {
                Some(at) => next.push(self.targets.swap_remove(at)),
                None => next.push(Target {
                    vm: candidate.vm,
                    rtt: candidate.rtt,
                    load: TargetLoad::default(),
                }),
            }
        }
        self.targets = next;
    }

    fn subset(&self, candidates: &[Candidate]) -> Vec<Candidate> {
        let mut all = candidates.to_vec();
        if all.len() <= SUBSET_SIZE {
            return all;
        }
        let key = self.ingress.0.to_be_bytes();
        all.sort_by_cached_key(|c| std::cmp::Reverse(rendezvous::weight(&key, u64::from(c.vm.0))));
        // Half of the subset is nearest, the rest is spread over the other zones.
        let nearest = all.iter().map(|c| c.rtt).min().unwrap_or(0);
        let (near, far): (Vec<_>, Vec<_>) = all.into_iter().partition(|c| c.rtt <= nearest);
        let near_count = near.len().min(SUBSET_SIZE.saturating_sub(far.len()).max(SUBSET_SIZE / 2));
        let mut chosen = near[..near_count].to_vec();
        chosen.extend(far.into_iter().take(SUBSET_SIZE - near_count));
        chosen
    }

    /// Targets in the subset.
    pub fn targets(&self) -> &[Target] {
        &self.targets
    }

    /// Sets the latency of an unloaded upstream and its slots.
    pub fn set_base_latency(&mut self, base_latency: Micros, slots: u32) {
        self.base_latency = base_latency;
        self.slots = slots;
    }

    /// Target on `vm`, if it is in the subset.
    pub fn target_mut(&mut self, vm: Vm) -> Option<&mut Target> {
        self.targets.iter_mut().find(|target| target.vm == vm)
    }

    /// Records a load sample of `vm`.
    pub fn record_sample(&mut self, now: Micros, vm: Vm, load: Load) {
        let sampled = f64::from(load.running) + f64::from(load.queued);
        self.prior_load += PRIOR_LOAD_GAIN * (sampled - self.prior_load);
        if let Some(target) = self.target_mut(vm) {
            target.load.record_sample(now, load);
        }
    }

    /// Records the round-trip time of one message, without the time at the gate.
    pub fn record_rtt(&mut self, vm: Vm, rtt: Micros) {
        if let Some(target) = self.target_mut(vm) {
            let previous = target.rtt as f64;
            target.rtt = (previous + RTT_GAIN * (rtt as f64 - previous)) as Micros;
        }
    }

    /// Clears all samples, after a pause of the process.
    pub fn clear_samples(&mut self) {
        for target in &mut self.targets {
            target.load.clear_sample();
        }
    }

    /// Picks a target that is not in `tried`, if there is one.
    ///
    /// ```
    /// use bbv_core::{balancer::{Balancer, Candidate}, id::Vm};
    /// use rand::{SeedableRng, rngs::SmallRng};
    /// let mut balancer = Balancer::new(Vm(1), 5_000, 9);
    /// balancer.set_candidates(&[Candidate { vm: Vm(2), rtt: 0 }]);
    /// let mut rng = SmallRng::seed_from_u64(1);
    /// assert_eq!(balancer.pick(0, &[], &mut rng), Some(Vm(2)));
    /// assert_eq!(balancer.pick(0, &[Vm(2)], &mut rng), None);
    /// ```
    pub fn pick(&self, now: Micros, tried: &[Vm], rng: &mut impl Rng) -> Option<Vm> {
        let cheapest = self.cheapest(now, tried, |target| !target.load.latest().closed);
        let cheapest = cheapest.or_else(|| self.cheapest(now, tried, |_| true));
        let (vm, cost) = cheapest?;
        // Near ties are broken at random, so that ingresses do not all move to the same target.
        let margin = cost + TIE_MARGIN * self.base_latency as f64;
        let mut ties = [vm; 4];
        let mut count = 0;
        for target in &self.targets {
            let usable = !tried.contains(&target.vm)
                && !target.load.excluded(now)
                && !target.load.latest().closed;
            if usable && count < ties.len() && self.cost(now, target) <= margin {
                ties[count] = target.vm;
                count += 1;
            }
        }
        ties[..count].choose(rng).copied().or(Some(vm))
    }

    fn cheapest(
        &self,
        now: Micros,
        tried: &[Vm],
        usable: impl Fn(&Target) -> bool,
    ) -> Option<(Vm, f64)> {
        let mut cheapest: Option<(Vm, f64)> = None;
        for target in &self.targets {
            if tried.contains(&target.vm) || target.load.excluded(now) || !usable(target) {
                continue;
            }
            let cost = self.cost(now, target);
            if cheapest.is_none_or(|(_, lowest)| cost < lowest) {
                cheapest = Some((target.vm, cost));
            }
        }
        cheapest
    }

    /// Expected time in microseconds until an answer from `target`, with a penalty for failures.
    pub fn cost(&self, now: Micros, target: &Target) -> f64 {
        let load = target.load.latest();
        let known = target.load.sample_age(now).is_some();
        let allowed = if known { f64::from(load.allowed.max(1)) } else { f64::from(self.slots) };
        let run_time = self.run_time(now, target);
        let expected = target.load.expected_load(now, self.prior_load.min(allowed));
        let busy = ((expected + 1.0) / allowed).min(1.0);
        let excess = (expected + 1.0 - allowed).max(0.0);
        let wait = run_time / allowed * (excess + busy.powi(8));
        let failing = target.load.failure_rate(now).max(f64::from(load.failing_pct) / 100.0);
        target.rtt as f64 + run_time + wait + failing * FAILURE_COST * self.base_latency as f64
    }

    fn run_time(&self, now: Micros, target: &Target) -> f64 {
        let load = target.load.latest();
        let fresh = target.load.sample_age(now).is_some_and(|age| age < 500 * MS);
        let reported = if fresh && load.service_us > 0 {
            u64::from(load.service_us)
        } else {
            self.base_latency
        };
        let base_latency = reported.max(1);
        let own_oldest = target.load.oldest_age(now).saturating_sub(target.rtt);
        let oldest = if fresh { own_oldest.max(u64::from(load.oldest_us)) } else { own_oldest };
        // A request far older than the reported latency shows that the upstream is slow now.
        let slow = oldest > SLOW_FACTOR * base_latency;
        if slow { oldest as f64 } else { base_latency as f64 }
    }

    /// Target to probe: one without a sample, or else the one with the oldest sample above `age`.
    ///
    /// ```
    /// use bbv_core::{balancer::{Balancer, Candidate}, id::Vm};
    /// let mut balancer = Balancer::new(Vm(1), 5_000, 9);
    /// balancer.set_candidates(&[Candidate { vm: Vm(2), rtt: 0 }]);
    /// assert_eq!(balancer.stalest(0, 1_000), Some(Vm(2)));
    /// ```
    pub fn stalest(&self, now: Micros, age: Micros) -> Option<Vm> {
        let old = |target: &&Target| {
            target.load.sample_age(now).is_none_or(|sample_age| sample_age > age)
        };
        let key = |target: &&Target| target.load.sample_age(now).unwrap_or(Micros::MAX);
        self.targets.iter().filter(old).max_by_key(key).map(|target| target.vm)
    }

    /// Delay after which a hedged attempt may be sent.
    pub fn hedge_delay(&self, vm: Vm) -> Micros {
        let target = self.targets.iter().find(|target| target.vm == vm);
        let rtt = target.map_or(0, |target| target.rtt);
        let mut fastest = self.base_latency * SLOW_FACTOR;
        for target in &self.targets {
            let reported = u64::from(target.load.latest().service_us);
            if reported > 0 {
                fastest = fastest.min(reported);
            }
        }
        rtt + fastest.max(self.base_latency / 2) * 3
    }
}
