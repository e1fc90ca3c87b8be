//! Replays the noise of the laundry's calm day: each upstream runs at a seventh of its speed for a
//! quarter of the time, and the speed is drawn anew every half second.

use bbv_core::admission::{
    Admission, AdmissionDecision, AdmissionDequeued, AdmissionRefusal, AdmissionRequest,
    RefusalReason,
};
use bbv_core::placement::{LoadReport, UpstreamStats};
use bbv_core::slow_period::SlowPeriods;
use bbv_core::units::{MS, Micros, SEC};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const INTERVAL: Micros = 500 * MS;
const SLOW_PCT: u32 = 700;
const STEP: Micros = 20 * MS;
/// Time that an ingress needs to ask another gate.
const REROUTE: Micros = 10 * MS;

/// Speeds of one upstream, and what its gate knows of them.
struct Gate {
    speeds: Vec<u32>,
    periods: SlowPeriods,
}

impl Gate {
    fn new(rng: &mut SmallRng) -> Self {
        let speeds = (0..4_000).map(|_| if rng.random_bool(0.25) { SLOW_PCT } else { 100 });
        let mut gate = Gate { speeds: speeds.collect(), periods: SlowPeriods::default() };
        (0..20 * SEC).step_by(STEP as usize).for_each(|now| gate.observe(now));
        gate
    }

    fn speed(&self, now: Micros) -> u32 {
        self.speeds[(now / INTERVAL) as usize]
    }

    fn observe(&mut self, now: Micros) {
        self.periods.observe(now, self.speed(now));
    }

    /// Runs a request from `now`, after waiting for a slow period to end; returns the time of its
    /// end.
    fn run(&mut self, mut now: Micros, service_time: Micros, deadline: Micros) -> Micros {
        self.observe(now);
        while self.periods.may_wait(now, service_time, deadline, STEP) {
            now += STEP;
            self.observe(now);
        }
        now + service_time * u64::from(self.speed(now)) / 100
    }
}

/// A request that waits for the end of a slow period ends sooner on average than one that starts
/// at once, however long the periods of this fleet are.
#[test]
fn waiting_pays_with_long_slow_periods() {
    let mut rng = SmallRng::seed_from_u64(7);
    let (service_time, deadline) = (120 * MS, 2_500 * MS);
    let (mut waited, mut at_once) = (0, 0);
    for _ in 0..40 {
        let mut gate = Gate::new(&mut rng);
        for round in 0..40 {
            let arrived = 20 * SEC + round * SEC + rng.random_range(0..INTERVAL);
            if gate.speed(arrived) == 100 {
                continue;
            }
            waited += gate.run(arrived, service_time, arrived + deadline) - arrived;
            at_once += service_time * u64::from(SLOW_PCT) / 100;
        }
    }
    assert!(waited * 10 < at_once * 8, "{waited} us waited, {at_once} us at once");
}

/// With three upstreams, one of which is nearly always at normal speed, nearly every request meets
/// its target, since a slow gate hands it back before it waits.
#[test]
fn requests_move_to_an_upstream_at_normal_speed() {
    let mut rng = SmallRng::seed_from_u64(8);
    let (service_time, target) = (120 * MS, 400 * MS);
    let (mut sent, mut late) = (0, 0);
    for _ in 0..40 {
        let mut gates = [Gate::new(&mut rng), Gate::new(&mut rng), Gate::new(&mut rng)];
        for round in 0..40 {
            let arrived = 20 * SEC + round * SEC + rng.random_range(0..INTERVAL);
            let mut now = arrived;
            let mut chosen = 0;
            for (index, gate) in gates.iter_mut().enumerate() {
                gate.observe(now);
                chosen = index;
                if !gate.periods.worth_rerouting(service_time) {
                    break;
                }
                now += REROUTE;
            }
            let ended = gates[chosen].run(now, service_time, arrived + 2_500 * MS);
            sent += 1;
            late += u32::from(ended > arrived + target);
        }
    }
    assert!(late * 33 < sent, "{late} of {sent} late");
}

/// An ingress stops avoiding an upstream once the slow period that it knows of should have ended.
#[test]
fn outdated_slow_period_does_not_repel_requests() {
    let mut stats = UpstreamStats::default();
    let slow_remaining = 400 * MS;
    let report =
        LoadReport { limit: 12, speed_pct: SLOW_PCT, slow_remaining, ..LoadReport::default() };
    stats.record_report(0, report);
    let cost = |now| stats.cost(now, 120 * MS, 12, 0);
    assert!(cost(0) >= 520 * MS, "runs after the slow period");
    assert!(cost(200 * MS) < cost(0) && cost(200 * MS) >= 320 * MS);
    assert!(cost(401 * MS) < 200 * MS, "the slow period is over: {}", cost(401 * MS));
}

fn request(id: u64, deadline: Micros, service_time: Micros) -> AdmissionRequest {
    AdmissionRequest { id, rank: 1, deadline, target: deadline, service_time, reroutes: false }
}

/// A slow period begins while requests queue. They are kept, since they still meet their deadlines
/// if they start after it; only those that do not are refused, and at once.
#[test]
fn slow_period_does_not_empty_the_queue() {
    let mut admission = Admission::new(2);
    let service_time = 120 * MS;
    for id in 0..6 {
        let deadline = if id == 5 { 400 * MS } else { 2 * SEC };
        admission.offer(0, request(id, deadline, service_time));
    }
    assert_eq!((admission.running(), admission.queued()), (2, 4));
    admission.observe_speed(200 * MS, SLOW_PCT);
    let mut decided = Vec::new();
    admission.poll(200 * MS, &mut decided);
    assert!(
        matches!(decided[..], [AdmissionDequeued::Refuse(5, _)]),
        "only the request that cannot wait for the end is refused: {decided:?}"
    );
    assert_eq!(admission.queued(), 3);
}

/// While long requests wait for a slow period to end, they occupy no slot: short requests run in
/// the meantime, and the long ones start when the speed is normal again.
#[test]
fn requests_that_wait_for_speed_leave_their_slots_to_short_ones() {
    let mut admission = Admission::new(2);
    admission.observe_speed(0, SLOW_PCT);
    for id in 0..4 {
        let decision = admission.offer(0, request(id, 2 * SEC, 120 * MS));
        assert_eq!(decision, AdmissionDecision::Wait);
    }
    let short = request(9, 250 * MS, 15 * MS);
    assert_eq!(admission.offer(MS, short), AdmissionDecision::Run);
    admission.finish(106 * MS, 9, 15 * MS);
    admission.observe_speed(110 * MS, 100);
    let mut decided = Vec::new();
    admission.poll(110 * MS, &mut decided);
    assert_eq!(decided.len(), 2, "{decided:?}");
    assert!(decided.iter().all(|entry| matches!(entry, AdmissionDequeued::Run(0..4))));
}

/// A request that may run elsewhere is handed back by a slow upstream, when it arrives or when its
/// turn comes, and is not counted as refused for lack of room.
#[test]
fn request_that_may_run_elsewhere_is_handed_back() {
    let mut admission = Admission::new(1);
    let reroutes = |id| AdmissionRequest { reroutes: true, ..request(id, 2 * SEC, 120 * MS) };
    assert_eq!(admission.offer(0, reroutes(0)), AdmissionDecision::Run);
    assert_eq!(admission.offer(0, reroutes(1)), AdmissionDecision::Wait);
    admission.observe_speed(MS, SLOW_PCT);
    let slow = |refusal: AdmissionRefusal| refusal.reason == RefusalReason::Slow;
    let decision = admission.offer(MS, reroutes(2));
    assert!(matches!(decision, AdmissionDecision::Refuse(refusal) if slow(refusal)));
    admission.finish(120 * MS, 0, 120 * MS);
    let mut decided = Vec::new();
    admission.poll(120 * MS, &mut decided);
    assert!(matches!(decided[..], [AdmissionDequeued::Refuse(1, refusal)] if slow(refusal)));
}

/// An upstream that stays slow without a predictable end refuses what it cannot answer in time.
#[test]
fn permanent_slowness_refuses_at_once() {
    let mut admission = Admission::new(2);
    admission.observe_speed(0, SLOW_PCT);
    let now = 5 * SEC;
    admission.observe_speed(now, SLOW_PCT);
    let decision = admission.offer(now, request(1, now + 500 * MS, 120 * MS));
    assert!(matches!(decision, AdmissionDecision::Refuse(_)), "{decision:?}");
    let decision = admission.offer(now, request(2, now + SEC, 120 * MS));
    assert_eq!(decision, AdmissionDecision::Run);
}

/// A cold upstream takes twice as long for every request and has slow periods besides. Its rate
/// limit is not spent on a request that starts in one of them and cannot end in time.
#[test]
fn cold_upstream_does_not_start_requests_in_a_slow_period() {
    let (service_time, deadline) = (170 * MS, 1_200 * MS);
    let mut admission = Admission::new(5);
    admission.set_limits(5, 7.0);
    admission.set_cold_until(3 * SEC);
    admission.observe_speed(0, 200);
    assert_eq!(admission.offer(0, request(1, deadline, service_time)), AdmissionDecision::Run);
    admission.observe_speed(MS, 1_000);
    let waits = admission.offer(MS, request(2, deadline, service_time));
    assert_eq!(waits, AdmissionDecision::Wait, "it would take 1.7 s if it started at once");
    admission.observe_speed(150 * MS, 200);
    let mut decided = Vec::new();
    admission.poll(150 * MS, &mut decided);
    assert!(matches!(decided[..], [AdmissionDequeued::Run(2)]), "{decided:?}");
}
