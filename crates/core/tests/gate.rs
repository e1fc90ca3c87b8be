//! Admission under cold starts, stalls, deadlines and noisy owners.

use bbv_core::gate::{Admit, Bounds, Gate, Step};
use bbv_core::limit::Finish;
use bbv_core::outcome::Refusal;
use bbv_core::queue::{Ask, Class};
use bbv_core::ramp::Warmup;
use bbv_core::units::{MS, Micros, SEC};
use proptest::prelude::*;

const SERVICE: Micros = 10 * MS;
const WARM_AT: Micros = 60 * SEC;

fn bounds() -> Bounds {
    let warmup = Warmup { cold_slots: 2, time: 4 * SEC };
    Bounds { slots: 9, connections: 200, warmup, usual: SERVICE }
}

fn ask(id: u64, owner: u16, share: f64, now: Micros) -> Ask {
    Ask { id, class: Class::Interactive, owner, share, deadline: now + SEC }
}

fn good(latency: Micros) -> Finish {
    Finish { latency, good: true }
}

/// Gate whose upstream has answered long enough to be warm.
fn warm() -> Gate {
    let mut gate = Gate::new(bounds(), 0);
    for id in 0..200 {
        let now = id * 300 * MS;
        assert_eq!(gate.offer(now, ask(id, 0, 1.0, now)), Admit::Run);
        gate.finish(now + SERVICE, id, 0, good(SERVICE), None);
    }
    assert_eq!(gate.allowed(WARM_AT), 9);
    gate
}

fn fill(gate: &mut Gate, now: Micros, ids: std::ops::Range<u64>) -> usize {
    let run = ids.filter(|id| gate.offer(now, ask(*id, 0, 1.0, now)) == Admit::Run);
    run.count()
}

#[test]
fn cold_upstream_is_offered_little() {
    let mut gate = Gate::new(bounds(), 0);
    assert_eq!(fill(&mut gate, 0, 0..20), 2);
}

#[test]
fn stall_stops_new_starts_before_the_first_slow_answer() {
    let mut gate = warm();
    assert_eq!(fill(&mut gate, WARM_AT, 1_000..1_005), 5);
    // All five run five times longer than usual and none has answered.
    let later = WARM_AT + 5 * SERVICE;
    assert_eq!(fill(&mut gate, later, 2_000..2_010), 0);
}

/// Five requests stall; returns the time at which the gate has noticed.
fn stall(gate: &mut Gate) -> Micros {
    assert_eq!(fill(gate, WARM_AT, 1_000..1_005), 5);
    let now = WARM_AT + 5 * SERVICE;
    gate.poll(now, &mut Vec::new());
    for id in 1_000..1_005 {
        gate.finish(now, id, 0, good(5 * SERVICE), None);
    }
    now
}

/// Runs requests one after another and returns the time after the last one.
fn run_each(
    gate: &mut Gate,
    mut now: Micros,
    ids: std::ops::Range<u64>,
    latency: Micros,
) -> Micros {
    for id in ids {
        assert_eq!(gate.offer(now, ask(id, 0, 1.0, now)), Admit::Run);
        now += latency;
        gate.finish(now, id, 0, good(latency), None);
    }
    now
}

#[test]
fn single_request_that_hangs_is_a_stall() {
    let mut gate = warm();
    fill(&mut gate, WARM_AT, 1_000..1_001);
    let now = WARM_AT + 11 * SERVICE;
    assert_eq!(fill(&mut gate, now, 2_000..2_010), 1);
}

#[test]
fn stall_that_ends_gives_the_slots_back() {
    let mut gate = warm();
    let now = stall(&mut gate);
    assert_eq!(gate.allowed(now), 2);
    let now = run_each(&mut gate, now, 2_000..2_006, SERVICE);
    assert_eq!(gate.allowed(now), 9);
}

#[test]
fn slow_answers_after_a_stall_keep_the_ramp_low() {
    let mut gate = warm();
    let now = stall(&mut gate);
    let now = run_each(&mut gate, now, 2_000..2_006, 5 * SERVICE);
    assert_eq!(gate.allowed(now), 2);
    assert!(!gate.warm(now));
}

#[test]
fn fast_answers_late_in_the_warm_up_do_not_skip_the_rest() {
    let mut gate = warm();
    let now = stall(&mut gate);
    let now = run_each(&mut gate, now + 3 * SEC, 2_000..2_006, SERVICE);
    assert!(gate.allowed(now) < 9);
}

#[test]
fn idle_upstream_does_not_look_slow_for_ever() {
    let mut gate = warm();
    let now = run_each(&mut gate, WARM_AT, 1_000..1_006, 2 * SERVICE);
    assert!(u64::from(gate.load(now).service_us) > 12 * MS);
    assert!(u64::from(gate.load(now + SEC).service_us) < 11 * MS);
}

#[test]
fn latency_while_warming_up_does_not_become_the_usual_one() {
    let mut gate = warm();
    gate.chill(WARM_AT);
    let now = run_each(&mut gate, WARM_AT, 1_000..1_040, 25 * MS);
    assert!(!gate.warm(now));
    gate.close(None);
    let now = run_each(&mut gate, now + 60 * SEC, 2_000..2_001, SERVICE);
    assert!(gate.load(now).service_us < 15 * MS as u32);
}

#[test]
fn stall_during_a_known_warm_up_does_not_shorten_it() {
    let mut gate = warm();
    gate.chill(WARM_AT);
    let now = run_each(&mut gate, WARM_AT + 2 * SEC, 1_000..1_020, SERVICE);
    assert_eq!(fill(&mut gate, now, 2_000..2_004), 4);
    let later = now + 5 * SERVICE;
    gate.poll(later, &mut Vec::new());
    for id in 2_000..2_004 {
        gate.finish(later, id, 0, good(5 * SERVICE), None);
    }
    let now = run_each(&mut gate, later, 3_000..3_006, SERVICE);
    assert!(!gate.warm(now));
}

#[test]
fn second_cold_start_during_a_warm_up_restarts_it() {
    let mut gate = warm();
    gate.chill(WARM_AT);
    let now = run_each(&mut gate, WARM_AT + 3 * SEC, 1_000..1_020, 2 * SERVICE);
    assert_eq!(fill(&mut gate, now, 2_000..2_005), 5);
    let later = now + 10 * SERVICE;
    gate.poll(later, &mut Vec::new());
    assert_eq!(gate.allowed(later), 2);
}

#[test]
fn cancelled_request_teaches_nothing() {
    let mut gate = warm();
    let before = gate.load(WARM_AT).service_us;
    for id in 1_000..1_020 {
        assert_eq!(gate.offer(WARM_AT, ask(id, 0, 1.0, WARM_AT)), Admit::Run);
        gate.release(id, 0);
    }
    assert_eq!(gate.load(WARM_AT).service_us, before);
    assert_eq!(gate.running(), 0);
}

#[test]
fn changed_instance_restarts_the_ramp() {
    let mut gate = warm();
    let now = WARM_AT;
    for (id, instance) in [(1, 7), (2, 8)] {
        gate.offer(now, ask(id, 0, 1.0, now));
        gate.finish(now + SERVICE, id, 0, good(SERVICE), Some(instance));
    }
    assert_eq!(gate.allowed(now + SERVICE), 2);
}

#[test]
fn noisy_owner_leaves_the_next_free_slot_to_the_other() {
    let mut gate = warm();
    for id in 1_000..1_040 {
        gate.offer(WARM_AT, ask(id, 1, 0.2, WARM_AT));
    }
    assert_eq!(gate.running(), 9);
    assert_eq!(gate.offer(WARM_AT, ask(2_000, 2, 0.6, WARM_AT)), Admit::Wait);
    gate.finish(WARM_AT + SERVICE, 1_000, 1, good(SERVICE), None);
    let mut steps = Vec::new();
    gate.poll(WARM_AT + SERVICE, &mut steps);
    assert_eq!(steps, vec![Step::Run(2_000)]);
}

#[test]
fn deadline_that_cannot_be_met_is_refused_at_once() {
    let mut gate = warm();
    fill(&mut gate, WARM_AT, 1_000..1_009);
    let late = Ask { deadline: WARM_AT + SERVICE, ..ask(1, 0, 1.0, WARM_AT) };
    assert_eq!(gate.offer(WARM_AT, late), Admit::Refuse(Refusal::Deadline));
}

#[test]
fn lowest_class_is_refused_first() {
    let mut gate = warm();
    fill(&mut gate, WARM_AT, 1_000..1_009);
    let class = |id, class| Ask { class, ..ask(id, 0, 1.0, WARM_AT) };
    for id in 0..3 {
        assert_eq!(gate.offer(WARM_AT, class(id, Class::Batch)), Admit::Wait);
    }
    assert_eq!(gate.offer(WARM_AT, class(3, Class::Batch)), Admit::Refuse(Refusal::Overload));
    assert_eq!(gate.offer(WARM_AT, class(4, Class::Critical)), Admit::Wait);
}

#[test]
fn closed_gate_finishes_what_it_has() {
    let mut gate = warm();
    fill(&mut gate, WARM_AT, 1_000..1_010);
    gate.close(Some(Refusal::ZoneOut));
    assert_eq!(gate.offer(WARM_AT, ask(1, 0, 1.0, WARM_AT)), Admit::Refuse(Refusal::ZoneOut));
    gate.finish(WARM_AT + SERVICE, 1_000, 0, good(SERVICE), None);
    let mut steps = Vec::new();
    gate.poll(WARM_AT + SERVICE, &mut steps);
    assert_eq!(steps, vec![Step::Run(1_009)]);
}

proptest! {
    /// Whatever comes, no more runs than the slots, and each request is decided once.
    #[test]
    fn running_never_exceeds_the_slots(events in prop::collection::vec((0_u8..4, 1_u64..40), 1..400)) {
        let mut gate = Gate::new(bounds(), 0);
        let (mut now, mut next) = (0, 0);
        let mut running: Vec<u64> = Vec::new();
        let mut waiting: Vec<u64> = Vec::new();
        for (kind, amount) in events {
            now += amount * MS;
            match kind {
                0 | 1 => {
                    next += 1;
                    match gate.offer(now, ask(next, (amount % 3) as u16, 0.3, now)) {
                        Admit::Run => running.push(next),
                        Admit::Wait => waiting.push(next),
                        Admit::Refuse(_) => {}
                    }
                }
                2 if !running.is_empty() => {
                    let id = running.remove(amount as usize % running.len());
                    gate.finish(now, id, 0, Finish { latency: amount * MS, good: amount % 5 > 0 }, None);
                }
                _ if !waiting.is_empty() => {
                    let id = waiting.remove(amount as usize % waiting.len());
                    prop_assert!(gate.cancel(id));
                }
                _ => {}
            }
            let mut steps = Vec::new();
            gate.poll(now, &mut steps);
            for step in steps {
                let id = match step { Step::Run(id) | Step::Refuse(id, _) => id };
                let at = waiting.iter().position(|other| *other == id);
                prop_assert!(at.is_some(), "decided about {id} twice");
                waiting.remove(at.unwrap());
                if matches!(step, Step::Run(_)) {
                    running.push(id);
                }
            }
            prop_assert_eq!(gate.running() as usize, running.len());
            prop_assert!(running.len() <= 9);
        }
    }
}
