//! Selection among slow, failing, closed and targets without a sample.

use bbv_core::balancer::{Balancer, Candidate, SUBSET_SIZE};
use bbv_core::id::Vm;
use bbv_core::load::Load;
use bbv_core::units::{MS, Micros};
use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const BASE_LATENCY: Micros = 10 * MS;

fn balancer(rtts: &[Micros]) -> Balancer {
    let mut balancer = Balancer::new(Vm(99), BASE_LATENCY, 9);
    let candidates = rtts.iter().enumerate();
    let candidates: Vec<Candidate> =
        candidates.map(|(vm, rtt)| Candidate { vm: Vm(vm as u32), rtt: *rtt }).collect();
    balancer.set_candidates(&candidates);
    balancer
}

fn load(running: u16, service: Micros) -> Load {
    Load { running, allowed: 9, service_us: service as u32, ..Load::default() }
}

/// Share of picks that go to `vm`.
fn share_of_picks(balancer: &Balancer, now: Micros, vm: u32) -> f64 {
    let mut rng = SmallRng::seed_from_u64(1);
    let picks = (0..1_000).filter(|_| balancer.pick(now, &[], &mut rng) == Some(Vm(vm)));
    picks.count() as f64 / 1_000.0
}

#[test]
fn own_zone_is_preferred_while_its_cost_is_lower() {
    let mut balancer = balancer(&[0, 6 * MS]);
    balancer.record_sample(0, Vm(0), load(3, BASE_LATENCY));
    balancer.record_sample(0, Vm(1), load(3, BASE_LATENCY));
    assert_eq!(share_of_picks(&balancer, 0, 0), 1.0);
    balancer.record_sample(0, Vm(0), Load { queued: 9, ..load(9, BASE_LATENCY) });
    assert_eq!(share_of_picks(&balancer, 0, 0), 0.0);
}

#[test]
fn upstream_that_fails_fast_does_not_look_idle() {
    let mut balancer = balancer(&[0, 0]);
    balancer.record_sample(0, Vm(0), Load { failing_pct: 90, ..load(0, 100) });
    balancer.record_sample(0, Vm(1), load(7, BASE_LATENCY));
    assert_eq!(share_of_picks(&balancer, 0, 0), 0.0);
}

#[test]
fn unanswered_attempt_makes_a_target_slow() {
    let mut balancer = balancer(&[0, 0]);
    for vm in [0, 1] {
        balancer.record_sample(0, Vm(vm), load(1, BASE_LATENCY));
    }
    balancer.target_mut(Vm(0)).expect("VM 0 is a target").load.start_attempt(0, 1);
    assert_eq!(share_of_picks(&balancer, 8 * BASE_LATENCY, 0), 0.0);
}

#[test]
fn closed_target_is_picked_only_when_there_is_no_other() {
    let mut balancer = balancer(&[0, 0]);
    balancer.record_sample(0, Vm(0), Load { closed: true, ..load(0, BASE_LATENCY) });
    assert_eq!(share_of_picks(&balancer, 0, 0), 0.0);
    let mut rng = SmallRng::seed_from_u64(1);
    assert_eq!(balancer.pick(0, &[Vm(1)], &mut rng), Some(Vm(0)));
}

#[test]
fn subset_is_bounded_and_spreads_ingresses() {
    let all: Vec<Candidate> = (0..700).map(|vm| Candidate { vm: Vm(vm), rtt: 0 }).collect();
    let mut used = vec![0; 700];
    for ingress in 0..700 {
        let mut balancer = Balancer::new(Vm(ingress), BASE_LATENCY, 9);
        balancer.set_candidates(&all);
        assert_eq!(balancer.targets().len(), SUBSET_SIZE);
        balancer.targets().iter().for_each(|target| used[target.vm.0 as usize] += 1);
    }
    assert!(used.iter().all(|count| *count > 0), "an upstream is in no ingress's subset");
}

proptest! {
    #[test]
    fn pick_is_a_candidate_that_was_not_tried(
        rtts in prop::collection::vec(0_u64..20_000, 1..30),
        loads in prop::collection::vec((0_u16..40, 0_u64..90_000, any::<bool>()), 1..30),
        tried in prop::collection::vec(0_u32..30, 0..30),
        now in 0_u64..1_000_000,
    ) {
        let mut balancer = balancer(&rtts);
        for (vm, (running, service, closed)) in loads.iter().enumerate() {
            let load = Load { closed: *closed, ..load(*running, *service) };
            balancer.record_sample(now / 2, Vm(vm as u32), load);
        }
        let tried: Vec<Vm> = tried.into_iter().map(Vm).collect();
        let mut rng = SmallRng::seed_from_u64(now);
        let untried = balancer.targets().iter().any(|target| !tried.contains(&target.vm));
        let picked = balancer.pick(now, &tried, &mut rng);
        prop_assert_eq!(picked.is_some(), untried);
        if let Some(vm) = picked {
            prop_assert!(!tried.contains(&vm));
            prop_assert!(balancer.targets().iter().any(|target| target.vm == vm));
        }
    }
}
