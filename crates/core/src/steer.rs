//! Choice of a target for an attempt.

use rand::Rng;
use rand::seq::IndexedRandom;

use crate::id::Vm;
use crate::load::{Load, Pool};
use crate::rank;
use crate::units::{MS, Micros};

/// Targets that one ingress considers for a service.
pub const SUBSET: usize = 16;

/// A possible target of a service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Candidate {
    /// VM of the upstream.
    pub vm: Vm,
    /// Round trip to its gate in microseconds.
    pub link: Micros,
}

/// One target and what is known about it.
#[derive(Clone, Debug)]
pub struct Target {
    /// VM of the upstream.
    pub vm: Vm,
    /// Estimated round trip to its gate.
    pub link: Micros,
    /// Load samples.
    pub pool: Pool,
}

/// Choice among the targets of one service.
#[derive(Clone, Debug)]
pub struct Steer {
    ingress: Vm,
    usual: Micros,
    slots: u32,
    targets: Vec<Target>,
    prior: f64,
}

const PRIOR_GAIN: f64 = 0.05;
const LINK_GAIN: f64 = 0.1;
const FAILING_COST: f64 = 40.0;
const NEAR_TIE: f64 = 0.04;
const SLOW_FACTOR: u64 = 4;

impl Steer {
    /// Creates a choice without targets; `usual` is the latency of an unloaded upstream.
    ///
    /// ```
    /// use bbv_core::{id::Vm, steer::Steer};
    /// assert!(Steer::new(Vm(1), 5_000, 9).targets().is_empty());
    /// ```
    pub fn new(ingress: Vm, usual: Micros, slots: u32) -> Self {
        Steer { ingress, usual, slots, targets: Vec::new(), prior: f64::from(slots) * 0.5 }
    }

    /// Sets the candidates; the samples of targets that remain are kept.
    ///
    /// At most [`SUBSET`] are considered: those of least link time first, and among
    /// equals those that rendezvous hashing gives to this ingress.
    ///
    /// ```
    /// use bbv_core::{id::Vm, steer::{Candidate, Steer, SUBSET}};
    /// let mut steer = Steer::new(Vm(1), 5_000, 9);
    /// let all: Vec<_> = (0..700).map(|n| Candidate { vm: Vm(n), link: 0 }).collect();
    /// steer.set_candidates(&all);
    /// assert_eq!(steer.targets().len(), SUBSET);
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
                    link: candidate.link,
                    pool: Pool::default(),
                }),
            }
        }
        self.targets = next;
    }

    fn subset(&self, candidates: &[Candidate]) -> Vec<Candidate> {
        let mut all = candidates.to_vec();
        if all.len() <= SUBSET {
            return all;
        }
        let key = self.ingress.0.to_be_bytes();
        all.sort_by_cached_key(|c| std::cmp::Reverse(rank::weight(&key, u64::from(c.vm.0))));
        // Half of the subset is near, the rest is spread over all zones.
        let nearest = all.iter().map(|c| c.link).min().unwrap_or(0);
        let (near, far): (Vec<_>, Vec<_>) = all.into_iter().partition(|c| c.link <= nearest);
        let near_count = near.len().min(SUBSET.saturating_sub(far.len()).max(SUBSET / 2));
        let mut chosen = near[..near_count].to_vec();
        chosen.extend(far.into_iter().take(SUBSET - near_count));
        chosen
    }

    /// Targets considered.
    pub fn targets(&self) -> &[Target] {
        &self.targets
    }

    /// Changes the assumed latency and slots of an unloaded upstream.
    pub fn set_usual(&mut self, usual: Micros, slots: u32) {
        self.usual = usual;
        self.slots = slots;
    }

    /// Target of `vm`, if it is considered.
    pub fn target_mut(&mut self, vm: Vm) -> Option<&mut Target> {
        self.targets.iter_mut().find(|target| target.vm == vm)
    }

    /// Records a load sample of `vm`.
    pub fn learn(&mut self, now: Micros, vm: Vm, load: Load) {
        let seen = f64::from(load.running) + f64::from(load.queued);
        self.prior += PRIOR_GAIN * (seen - self.prior);
        if let Some(target) = self.target_mut(vm) {
            target.pool.learn(now, load);
        }
    }

    /// Records the round trip of one attempt without the time at the gate.
    pub fn learn_link(&mut self, vm: Vm, link: Micros) {
        if let Some(target) = self.target_mut(vm) {
            let known = target.link as f64;
            target.link = (known + LINK_GAIN * (link as f64 - known)) as Micros;
        }
    }

    /// Forgets all samples, after a pause.
    pub fn forget(&mut self) {
        for target in &mut self.targets {
            target.pool.forget();
        }
    }

    /// Picks a target that is not in `tried`, or none.
    ///
    /// ```
    /// use bbv_core::{id::Vm, steer::{Candidate, Steer}};
    /// use rand::{SeedableRng, rngs::SmallRng};
    /// let mut steer = Steer::new(Vm(1), 5_000, 9);
    /// steer.set_candidates(&[Candidate { vm: Vm(2), link: 0 }]);
    /// let mut rng = SmallRng::seed_from_u64(1);
    /// assert_eq!(steer.pick(0, &[], &mut rng), Some(Vm(2)));
    /// assert_eq!(steer.pick(0, &[Vm(2)], &mut rng), None);
    /// ```
    pub fn pick(&self, now: Micros, tried: &[Vm], rng: &mut impl Rng) -> Option<Vm> {
        let best = self.best(now, tried, |target| !target.pool.load().closed);
        let best = best.or_else(|| self.best(now, tried, |_| true));
        let (vm, cost) = best?;
        // Near ties are broken at random, so that ingresses do not move in step.
        let margin = cost + NEAR_TIE * self.usual as f64;
        let mut ties = [vm; 4];
        let mut count = 0;
        for target in &self.targets {
            let usable = !tried.contains(&target.vm)
                && !target.pool.avoided(now)
                && !target.pool.load().closed;
            if usable && count < ties.len() && self.cost(now, target) <= margin {
                ties[count] = target.vm;
                count += 1;
            }
        }
        ties[..count].choose(rng).copied().or(Some(vm))
    }

    fn best(
        &self,
        now: Micros,
        tried: &[Vm],
        usable: impl Fn(&Target) -> bool,
    ) -> Option<(Vm, f64)> {
        let mut best: Option<(Vm, f64)> = None;
        for target in &self.targets {
            if tried.contains(&target.vm) || target.pool.avoided(now) || !usable(target) {
                continue;
            }
            let cost = self.cost(now, target);
            if best.is_none_or(|(_, least)| cost < least) {
                best = Some((target.vm, cost));
            }
        }
        best
    }

    /// Expected time to an answer from `target` in microseconds.
    pub fn cost(&self, now: Micros, target: &Target) -> f64 {
        let load = target.pool.load();
        let known = target.pool.age(now).is_some();
        let allowed = if known { f64::from(load.allowed.max(1)) } else { f64::from(self.slots) };
        let service = self.service(now, target);
        let ahead = target.pool.expected(now, self.prior.min(allowed));
        let busy = ((ahead + 1.0) / allowed).min(1.0);
        let excess = (ahead + 1.0 - allowed).max(0.0);
        let wait = service / allowed * (excess + busy.powi(8));
        let failing = target.pool.failure_share(now).max(f64::from(load.failing_pct) / 100.0);
        target.link as f64 + service + wait + failing * FAILING_COST * self.usual as f64
    }

    fn service(&self, now: Micros, target: &Target) -> f64 {
        let load = target.pool.load();
        let fresh = target.pool.age(now).is_some_and(|age| age < 500 * MS);
        let told =
            if fresh && load.service_us > 0 { u64::from(load.service_us) } else { self.usual };
        let usual = told.max(1);
        let own = target.pool.oldest(now).saturating_sub(target.link);
        let oldest = if fresh { own.max(u64::from(load.oldest_us)) } else { own };
        // One request far older than usual means that the upstream is slow now.
        let slow = oldest > SLOW_FACTOR * usual;
        if slow { oldest as f64 } else { usual as f64 }
    }

    /// Target whose sample is missing or oldest and older than `age`, for a probe.
    ///
    /// ```
    /// use bbv_core::{id::Vm, steer::{Candidate, Steer}};
    /// let mut steer = Steer::new(Vm(1), 5_000, 9);
    /// steer.set_candidates(&[Candidate { vm: Vm(2), link: 0 }]);
    /// assert_eq!(steer.stalest(0, 1_000), Some(Vm(2)));
    /// ```
    pub fn stalest(&self, now: Micros, age: Micros) -> Option<Vm> {
        let old = |target: &&Target| target.pool.age(now).is_none_or(|have| have > age);
        let key = |target: &&Target| target.pool.age(now).unwrap_or(Micros::MAX);
        self.targets.iter().filter(old).max_by_key(key).map(|target| target.vm)
    }

    /// Latency past which a second attempt may be sent.
    pub fn hedge_after(&self, vm: Vm) -> Micros {
        let target = self.targets.iter().find(|target| target.vm == vm);
        let link = target.map_or(0, |target| target.link);
        let mut fastest = self.usual * SLOW_FACTOR;
        for target in &self.targets {
            let told = u64::from(target.pool.load().service_us);
            if told > 0 {
                fastest = fastest.min(told);
            }
        }
        link + fastest.max(self.usual / 2) * 3
    }
}
