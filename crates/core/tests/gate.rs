//! Gate admission under cold starts, stalls, deadlines and noisy owners.

use bbv_core::gate::{Bounds, Gate, GateDecision, GateDequeued};
use bbv_core::limit::Completion;
use bbv_core::outcome::Refusal;
use bbv_core::queue::{Class, PendingRequest};
use bbv_core::ramp::Warmup;
use bbv_core::units::{MS, Micros, SEC};
use proptest::prelude::*;

const BASE_LATENCY: Micros = 10 * MS;
const WARM_AT: Micros = 60 * SEC;

fn bounds() -> Bounds {
    let warmup = Warmup { cold_slots: 2, duration: 4 * SEC };
    Bounds { slots: 9, connections: 200, warmup, base_latency: BASE_LATENCY }
}

fn request(id: u64, owner: u16, share: f64, now: Micros) -> PendingRequest {
    PendingRequest { id, class: Class::Interactive, owner, share, deadline: now + SEC }
}

fn success(latency: Micros) -> Completion {
    Completion { latency, success: true }
}

/// Returns a gate whose upstream is warm.
fn warm_gate() -> Gate {
    let mut gate = Gate::new(bounds(), 0);
    for id in 0..200 {
        let now = id * 300 * MS;
        assert_eq!(gate.offer(now, request(id, 0, 1.0, now)), GateDecision::Run);
        gate.finish(now + BASE_LATENCY, id, 0, success(BASE_LATENCY), None);
    }
    assert_eq!(gate.allowed(WARM_AT), 9);
    gate
}

fn offer_all(gate: &mut Gate, now: Micros, ids: std::ops::Range<u64>) -> usize {
    let run = ids.filter(|id| gate.offer(now, request(*id, 0, 1.0, now)) == GateDecision::Run);
    run.count()
}

#[test]
fn cold_upstream_is_offered_little() {
    let mut gate = Gate::new(bounds(), 0);
    assert_eq!(offer_all(&mut gate, 0, 0..20), 2);
}

#[test]
fn stall_stops_new_starts_before_the_first_slow_answer() {
    let mut gate = warm_gate();
    assert_eq!(offer_all(&mut gate, WARM_AT, 1_000..1_005), 5);
    // All five have run for five times the base latency and none has been answered.
    let later = WARM_AT + 5 * BASE_LATENCY;
    assert_eq!(offer_all(&mut gate, later, 2_000..2_010), 0);
}

/// Lets five requests stall; returns the time at which the gate has detected it.
fn stall(gate: &mut Gate) -> Micros {
    assert_eq!(offer_all(gate, WARM_AT, 1_000..1_005), 5);
    let now = WARM_AT + 5 * BASE_LATENCY;
    gate.poll(now, &mut Vec::new());
    for id in 1_000..1_005 {
        gate.finish(now, id, 0, success(5 * BASE_LATENCY), None);
    }
    now
}

/// Runs requests one after another; returns the time after the last one.
fn run_in_sequence(
    gate: &mut Gate,
    mut now: Micros,
    ids: std::ops::Range<u64>,
    latency: Micros,
) -> Micros {
    for id in ids {
        assert_eq!(gate.offer(now, request(id, 0, 1.0, now)), GateDecision::Run);
        now += latency;
        gate.finish(now, id, 0, success(latency), None);
    }
    now
}

#[test]
fn single_hanging_request_is_a_stall() {
    let mut gate = warm_gate();
    offer_all(&mut gate, WARM_AT, 1_000..1_001);
    let now = WARM_AT + 11 * BASE_LATENCY;
    assert_eq!(offer_all(&mut gate, now, 2_000..2_010), 1);
}

#[test]
fn slots_are_restored_when_a_stall_ends() {
    let mut gate = warm_gate();
    let now = stall(&mut gate);
    assert_eq!(gate.allowed(now), 2);
    let now = run_in_sequence(&mut gate, now, 2_000..2_006, BASE_LATENCY);
    assert_eq!(gate.allowed(now), 9);
}

#[test]
fn slow_answers_after_a_stall_keep_the_ramp_low() {
    let mut gate = warm_gate();
    let now = stall(&mut gate);
    let now = run_in_sequence(&mut gate, now, 2_000..2_006, 5 * BASE_LATENCY);
    assert_eq!(gate.allowed(now), 2);
    assert!(!gate.warm(now));
}

#[test]
fn fast_answers_late_in_the_warm_up_do_not_skip_the_rest() {
    let mut gate = warm_gate();
    let now = stall(&mut gate);
    let now = run_in_sequence(&mut gate, now + 3 * SEC, 2_000..2_006, BASE_LATENCY);
    assert!(gate.allowed(now) < 9);
}

#[test]
fn recent_latency_decays_while_the_upstream_is_idle() {
    let mut gate = warm_gate();
    let now = run_in_sequence(&mut gate, WARM_AT, 1_000..1_006, 2 * BASE_LATENCY);
    assert!(u64::from(gate.load(now).service_us) > 12 * MS);
    assert!(u64::from(gate.load(now + SEC).service_us) < 11 * MS);
}

#[test]
fn latency_during_warm_up_does_not_change_the_base_latency() {
    let mut gate = warm_gate();
    gate.restart_warmup(WARM_AT);
    let now = run_in_sequence(&mut gate, WARM_AT, 1_000..1_040, 25 * MS);
    assert!(!gate.warm(now));
    gate.close(None);
    let now = run_in_sequence(&mut gate, now + 60 * SEC, 2_000..2_001, BASE_LATENCY);
    assert!(gate.load(now).service_us < 15 * MS as u32);
}

#[test]
fn stall_during_a_known_warm_up_does_not_shorten_it() {
    let mut gate = warm_gate();
    gate.restart_warmup(WARM_AT);
    let now = run_in_sequence(&mut gate, WARM_AT + 2 * SEC, 1_000..1_020, BASE_LATENCY);
    assert_eq!(offer_all(&mut gate, now, 2_000..2_004), 4);
    let later = now + 5 * BASE_LATENCY;
    gate.poll(later, &mut Vec::new());
    for id in 2_000..2_004 {
        gate.finish(later, id, 0, success(5 * BASE_LATENCY), None);
    }
    let now = run_in_sequence(&mut gate, later, 3_000..3_006, BASE_LATENCY);
    assert!(!gate.warm(now));
}

#[test]
fn second_cold_start_during_a_warm_up_restarts_it() {
    let mut gate = warm_gate();
    gate.restart_warmup(WARM_AT);
    let now = run_in_sequence(&mut gate, WARM_AT + 3 * SEC, 1_000..1_020, 2 * BASE_LATENCY);
    assert_eq!(offer_all(&mut gate, now, 2_000..2_005), 5);
    let later = now + 10 * BASE_LATENCY;
    gate.poll(later, &mut Vec::new());
    assert_eq!(gate.allowed(later), 2);
}

#[test]
fn cancelled_request_does_not_change_the_latency() {
    let mut gate = warm_gate();
    let before = gate.load(WARM_AT).service_us;
    for id in 1_000..1_020 {
        assert_eq!(gate.offer(WARM_AT, request(id, 0, 1.0, WARM_AT)), GateDecision::Run);
        gate.release(id, 0);
    }
    assert_eq!(gate.load(WARM_AT).service_us, before);
    assert_eq!(gate.running(), 0);
}

#[test]
fn changed_instance_restarts_the_warm_up() {
    let mut gate = warm_gate();
    let now = WARM_AT;
    for (id, instance) in [(1, 7), (2, 8)] {
        gate.offer(now, request(id, 0, 1.0, now));
        gate.finish(now + BASE_LATENCY, id, 0, success(BASE_LATENCY), Some(instance));
    }
    assert_eq!(gate.allowed(now + BASE_LATENCY), 2);
}

#[test]
fn noisy_owner_leaves_the_next_free_slot_to_the_other() {
    let mut gate = warm_gate();
    for id in 1_000..1_040 {
        gate.offer(WARM_AT, request(id, 1, 0.2, WARM_AT));
    }
    assert_eq!(gate.running(), 9);
    assert_eq!(gate.offer(WARM_AT, request(2_000, 2, 0.6, WARM_AT)), GateDecision::Wait);
    gate.finish(WARM_AT + BASE_LATENCY, 1_000, 1, success(BASE_LATENCY), None);
    let mut dequeued = Vec::new();
    gate.poll(WARM_AT + BASE_LATENCY, &mut dequeued);
    assert_eq!(dequeued, vec![GateDequeued::Run(2_000)]);
}

#[test]
fn deadline_that_cannot_be_met_is_refused_immediately() {
    let mut gate = warm_gate();
    offer_all(&mut gate, WARM_AT, 1_000..1_009);
    let late = PendingRequest { deadline: WARM_AT + BASE_LATENCY, ..request(1, 0, 1.0, WARM_AT) };
    assert_eq!(gate.offer(WARM_AT, late), GateDecision::Refuse(Refusal::Deadline));
}

#[test]
fn lowest_class_is_refused_first() {
    let mut gate = warm_gate();
    offer_all(&mut gate, WARM_AT, 1_000..1_009);
    let with_class = |id, class| PendingRequest { class, ..request(id, 0, 1.0, WARM_AT) };
    for id in 0..3 {
        assert_eq!(gate.offer(WARM_AT, with_class(id, Class::Batch)), GateDecision::Wait);
    }
    assert_eq!(
        gate.offer(WARM_AT, with_class(3, Class::Batch)),
        GateDecision::Refuse(Refusal::Overload)
    );
    assert_eq!(gate.offer(WARM_AT, with_class(4, Class::Critical)), GateDecision::Wait);
}

#[test]
fn closed_gate_runs_queued_requests() {
    let mut gate = warm_gate();
    offer_all(&mut gate, WARM_AT, 1_000..1_010);
    gate.close(Some(Refusal::ZoneOut));
    assert_eq!(
        gate.offer(WARM_AT, request(1, 0, 1.0, WARM_AT)),
        GateDecision::Refuse(Refusal::ZoneOut)
    );
    gate.finish(WARM_AT + BASE_LATENCY, 1_000, 0, success(BASE_LATENCY), None);
    let mut dequeued = Vec::new();
    gate.poll(WARM_AT + BASE_LATENCY, &mut dequeued);
    assert_eq!(dequeued, vec![GateDequeued::Run(1_009)]);
}

proptest! {
    /// No more requests run than there are slots, and each request is decided once.
    #[test]
    fn running_never_exceeds_the_slots(events in prop::collection::vec((0_u8..4, 1_u64..40), 1..400)) {
        let mut gate = Gate::new(bounds(), 0);
        let (mut now, mut next) = (0, 0);
        let mut running: Vec<u64> = Vec::new();
        let mut queued: Vec<u64> = Vec::new();
        for (kind, amount) in events {
            now += amount * MS;
            match kind {
                0 | 1 => {
                    next += 1;
                    match gate.offer(now, request(next, (amount % 3) as u16, 0.3, now)) {
                        GateDecision::Run => running.push(next),
                        GateDecision::Wait => queued.push(next),
                        GateDecision::Refuse(_) => {}
                    }
                }
                2 if !running.is_empty() => {
                    let id = running.remove(amount as usize % running.len());
                    gate.finish(
                        now, id, 0,
                        Completion { latency: amount * MS, success: amount % 5 > 0 },
                        None,
                    );
                }
                _ if !queued.is_empty() => {
                    let id = queued.remove(amount as usize % queued.len());
                    prop_assert!(gate.cancel(id));
                }
                _ => {}
            }
            let mut dequeued = Vec::new();
            gate.poll(now, &mut dequeued);
            for decision in dequeued {
                let id = match decision {
                    GateDequeued::Run(id) | GateDequeued::Refuse(id, _) => id,
                };
                let at = queued.iter().position(|other| *other == id);
                prop_assert!(at.is_some(), "request {id} decided twice");
                queued.remove(at.unwrap());
                if matches!(decision, GateDequeued::Run(_)) {
                    running.push(id);
                }
            }
            prop_assert_eq!(gate.running() as usize, running.len());
            prop_assert!(running.len() <= 9);
        }
    }
}
