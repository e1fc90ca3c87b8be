//! Tests of admission to an upstream that other processes on its machine slow to a fifth of its
//! speed for a third of the time.

use std::collections::BTreeMap;

use bbv_core::admission::{Admission, AdmissionDecision, AdmissionDequeued, AdmissionRequest};
use bbv_core::slow_period::SlowPeriods;
use bbv_core::units::{MS, Micros, SEC};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const SERVICE_TIME: Micros = 50 * MS;
const SLOTS: u32 = 6;
/// Time between changes of the speed.
const SPEED_PERIOD: Micros = 150 * MS;
const DURATION: Micros = 30 * SEC;

/// Running request.
struct RunningRequest {
    started_at: Micros,
    ends_at: Micros,
    /// Service time in percent of normal, fixed when the request starts.
    speed: u32,
}

/// Simulates one upstream behind admission control in steps of a millisecond.
struct Simulation {
    admission: Admission,
    rng: SmallRng,
    speeds: Vec<u32>,
    running: BTreeMap<u64, RunningRequest>,
    /// Factor on the service time while more than four requests run.
    high_load_factor: f64,
    answered: usize,
    refused: usize,
}

impl Simulation {
    fn new(seed: u64, high_load_factor: f64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let speed = |_| if rng.random_bool(0.35) { 500 } else { 100 };
        let speeds = (0..=DURATION / SPEED_PERIOD).map(speed).collect();
        let admission = Admission::new(SLOTS);
        Simulation {
            admission,
            rng,
            speeds,
            running: BTreeMap::new(),
            high_load_factor,
            answered: 0,
            refused: 0,
        }
    }

    fn speed(&self, now: Micros) -> u32 {
        self.speeds[(now / SPEED_PERIOD) as usize]
    }

    fn start(&mut self, now: Micros, id: u64) {
        let speed = self.speed(now);
        let factor = if self.admission.running() > 4 { self.high_load_factor } else { 1.0 };
        let spread = self.rng.random_range(0.7..1.3);
        let service_time = SERVICE_TIME as f64 * spread * factor * f64::from(speed) / 100.0;
        self.running.insert(
            id,
            RunningRequest { started_at: now, ends_at: now + service_time as Micros, speed },
        );
    }

    fn step(&mut self, now: Micros) {
        self.admission.update_load(self.running.len() as u32, self.speed(now));
        let done = self.running.iter().filter(|(_, run)| run.ends_at <= now);
        for id in done.map(|(id, _)| *id).collect::<Vec<_>>() {
            let run = self.running.remove(&id).expect("the request is running");
            let ran = (now - run.started_at) * 100 / u64::from(run.speed);
            self.admission.finish(now, id, ran);
            self.answered += 1;
        }
        let mut decided = Vec::new();
        self.admission.poll(now, &mut decided);
        for decision in decided {
            match decision {
                AdmissionDequeued::Run(id) => self.start(now, id),
                AdmissionDequeued::Refuse(..) => self.refused += 1,
            }
        }
    }

    fn offer(&mut self, now: Micros, id: u64, left: Micros) {
        let request = AdmissionRequest {
            id,
            rank: 1,
            deadline: now + left,
            target: now + left / 2,
            service_time: SERVICE_TIME,
            reroutes: false,
        };
        match self.admission.offer(now, request) {
            AdmissionDecision::Run => self.start(now, id),
            AdmissionDecision::Wait => {}
            AdmissionDecision::Refuse(_) => self.refused += 1,
        }
    }

    /// Alternates between low and high load. Returns the share of time with a limit below the
    /// number of slots.
    fn limited_share(&mut self) -> f64 {
        let mut id = 0;
        let mut limited = 0;
        for now in (0..DURATION).step_by(MS as usize) {
            self.step(now);
            let gap = if (now / SEC).is_multiple_of(2) { 30 } else { 8 };
            if (now / MS).is_multiple_of(gap) {
                id += 1;
                self.offer(now, id, 500 * MS);
            }
            limited += u64::from(self.admission.limit(now) < SLOTS);
        }
        limited as f64 / (DURATION / MS) as f64
    }
}

#[test]
fn noise_is_not_mistaken_for_a_knee() {
    for seed in 0..20 {
        let limited = Simulation::new(seed, 1.0).limited_share();
        assert!(limited == 0.0, "seed {seed}: limit below the slots for {limited} of the time");
    }
}

#[test]
fn knee_is_detected_in_spite_of_noise() {
    for seed in 0..20 {
        let limited = Simulation::new(seed, 1.7).limited_share();
        assert!(limited > 0.5, "seed {seed}: limit below the slots for only {limited} of the time");
    }
}

/// A request that can only meet its deadline at normal speed waits for the end of a slow period
/// while it still can, since it is certainly late if it starts at once.
#[test]
fn request_that_needs_normal_speed_waits_for_it() {
    const STEP: Micros = 20 * MS;
    const ROUNDS: usize = 2_000;
    let mut rng = SmallRng::seed_from_u64(3);
    let speeds: Vec<u32> =
        (0..30_000).map(|_| if rng.random_bool(0.35) { 500 } else { 100 }).collect();
    let speed = |now: Micros| speeds[(now / SPEED_PERIOD) as usize];
    let (service_time, left) = (110 * MS, 450 * MS);
    let mut in_time = 0;
    let mut periods = SlowPeriods::default();
    for round in 0..ROUNDS {
        let arrived = (round + 1) as Micros * SEC + rng.random_range(0..SPEED_PERIOD);
        for now in (arrived - 500 * MS..=arrived).step_by(STEP as usize) {
            periods.observe(now, speed(now));
        }
        let mut start = arrived;
        while periods.may_wait(start, service_time, arrived + left, STEP) {
            start += STEP;
            periods.observe(start, speed(start));
        }
        in_time +=
            usize::from(start + service_time * u64::from(speed(start)) / 100 <= arrived + left);
    }
    assert!(in_time * 10 >= ROUNDS * 9, "{in_time} of {ROUNDS} in time");
}

/// Under high load the calls that most requests make wait in the queue of another service, so that
/// these requests take longer. Fewer slots do not help, which a short trial shows.
#[test]
fn waiting_calls_of_requests_are_not_mistaken_for_a_knee() {
    const CALL_WAIT: Micros = 100 * MS;
    let mut rng = SmallRng::seed_from_u64(5);
    let mut admission = Admission::new(12);
    let mut running: Vec<(u64, Micros, Micros)> = Vec::new();
    let (mut limited, mut high_loads, mut next) = (0, 0, 0);
    for now in (0..40 * SEC).step_by(MS as usize) {
        let high_load = (now / (2 * SEC)) % 2 == 1;
        for (id, _, ran) in running.extract_if(.., |(_, end, _)| *end <= now) {
            admission.finish(now, id, ran);
        }
        let wanted = if high_load { admission.limit(now) as usize } else { 4 };
        while running.len() < wanted {
            next += 1;
            let deadline = now + SEC;
            let request = AdmissionRequest {
                id: next,
                rank: 1,
                deadline,
                target: deadline,
                service_time: SERVICE_TIME,
                reroutes: false,
            };
            assert_eq!(admission.offer(now, request), AdmissionDecision::Run);
            let own = SERVICE_TIME as f64 * rng.random_range(0.7..1.3);
            let calls = if high_load && rng.random_bool(0.7) { CALL_WAIT } else { 0 };
            let ran = own as Micros + calls;
            running.push((next, now + ran, ran));
        }
        high_loads += u32::from(high_load);
        limited += u32::from(high_load && admission.limit(now) < 12);
    }
    assert!(limited * 10 <= high_loads, "limited for {limited} of {high_loads} ms of high load");
}
