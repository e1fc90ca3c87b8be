//! Choice of a target under slow, failing, unknown and refused ones.

use bbv_core::id::Vm;
use bbv_core::load::Load;
use bbv_core::steer::{Candidate, SUBSET, Steer};
use bbv_core::units::{MS, Micros};
use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const USUAL: Micros = 10 * MS;

fn steer(links: &[Micros]) -> Steer {
    let mut steer = Steer::new(Vm(99), USUAL, 9);
    let candidates = links.iter().enumerate();
    let candidates: Vec<Candidate> =
        candidates.map(|(vm, link)| Candidate { vm: Vm(vm as u32), link: *link }).collect();
    steer.set_candidates(&candidates);
    steer
}

fn load(running: u16, service: Micros) -> Load {
    Load { running, allowed: 9, service_us: service as u32, ..Load::default() }
}

/// Share of picks that go to `vm`.
fn share(steer: &Steer, now: Micros, vm: u32) -> f64 {
    let mut rng = SmallRng::seed_from_u64(1);
    let picks = (0..1_000).filter(|_| steer.pick(now, &[], &mut rng) == Some(Vm(vm)));
    picks.count() as f64 / 1_000.0
}

#[test]
fn own_zone_goes_first_while_it_is_cheaper() {
    let mut steer = steer(&[0, 6 * MS]);
    steer.learn(0, Vm(0), load(3, USUAL));
    steer.learn(0, Vm(1), load(3, USUAL));
    assert_eq!(share(&steer, 0, 0), 1.0);
    steer.learn(0, Vm(0), Load { queued: 9, ..load(9, USUAL) });
    assert_eq!(share(&steer, 0, 0), 0.0);
}

#[test]
fn upstream_that_fails_fast_does_not_look_idle() {
    let mut steer = steer(&[0, 0]);
    steer.learn(0, Vm(0), Load { failing_pct: 90, ..load(0, 100) });
    steer.learn(0, Vm(1), load(7, USUAL));
    assert_eq!(share(&steer, 0, 0), 0.0);
}

#[test]
fn attempt_without_an_answer_makes_a_target_look_slow() {
    let mut steer = steer(&[0, 0]);
    for vm in [0, 1] {
        steer.learn(0, Vm(vm), load(1, USUAL));
    }
    steer.target_mut(Vm(0)).expect("it is a target").pool.send(0, 1);
    assert_eq!(share(&steer, 8 * USUAL, 0), 0.0);
}

#[test]
fn closed_target_is_picked_only_when_there_is_no_other() {
    let mut steer = steer(&[0, 0]);
    steer.learn(0, Vm(0), Load { closed: true, ..load(0, USUAL) });
    assert_eq!(share(&steer, 0, 0), 0.0);
    let mut rng = SmallRng::seed_from_u64(1);
    assert_eq!(steer.pick(0, &[Vm(1)], &mut rng), Some(Vm(0)));
}

#[test]
fn subset_is_bounded_and_spreads_ingresses() {
    let all: Vec<Candidate> = (0..700).map(|vm| Candidate { vm: Vm(vm), link: 0 }).collect();
    let mut used = vec![0; 700];
    for ingress in 0..700 {
        let mut steer = Steer::new(Vm(ingress), USUAL, 9);
        steer.set_candidates(&all);
        assert_eq!(steer.targets().len(), SUBSET);
        steer.targets().iter().for_each(|target| used[target.vm.0 as usize] += 1);
    }
    assert!(used.iter().all(|count| *count > 0), "an upstream is in no subset");
}

proptest! {
    #[test]
    fn pick_is_a_candidate_that_was_not_tried(
        links in prop::collection::vec(0_u64..20_000, 1..30),
        loads in prop::collection::vec((0_u16..40, 0_u64..90_000, any::<bool>()), 1..30),
        tried in prop::collection::vec(0_u32..30, 0..30),
        now in 0_u64..1_000_000,
    ) {
        let mut steer = steer(&links);
        for (vm, (running, service, closed)) in loads.iter().enumerate() {
            let load = Load { closed: *closed, ..load(*running, *service) };
            steer.learn(now / 2, Vm(vm as u32), load);
        }
        let tried: Vec<Vm> = tried.into_iter().map(Vm).collect();
        let mut rng = SmallRng::seed_from_u64(now);
        let open = steer.targets().iter().any(|target| !tried.contains(&target.vm));
        let picked = steer.pick(now, &tried, &mut rng);
        prop_assert_eq!(picked.is_some(), open);
        if let Some(vm) = picked {
            prop_assert!(!tried.contains(&vm));
            prop_assert!(steer.targets().iter().any(|target| target.vm == vm));
        }
    }
}
