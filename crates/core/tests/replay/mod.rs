//! Replays requests and their calls at the gates of three services, without a network: `till` is
//! needed by the most urgent requests and by calls of the least urgent ones, `desk` by the latter
//! and by calls of `board`.

use bbv_core::admission::{Admission, AdmissionDecision, AdmissionDequeued, AdmissionRequest};
use bbv_core::rank_shares::RankShares;
use bbv_core::room::{Room, urgency};
use bbv_core::shedding::{ServiceRoom, Verdict, decide};
use bbv_core::units::{MS, Micros, SEC};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

pub const TILL: usize = 0;
pub const DESK: usize = 1;
const BOARD: usize = 2;
const UPSTREAMS: [usize; 3] = [9, 23, 35];
const SLOTS: u32 = 13;
const COLD_RATE: f64 = 16.0;
/// Sends of a request until it is refused.
const SENDS: usize = 4;
/// Time after the load has eased from which all requests should be served again.
const SETTLING: Micros = 2 * SEC;
/// Most arrivals of one rank in a millisecond.
const ARRIVALS: u32 = 8;
const CALL_TIME: Micros = 42 * MS;

/// One kind of request, by rank.
#[derive(Clone, Copy)]
struct Kind {
    service: usize,
    time: Micros,
    target: Micros,
    deadline: Micros,
    /// Service that it calls, and how often.
    calls: Option<(usize, u32)>,
}

const KINDS: [Kind; 3] = [
    Kind { service: TILL, time: 120 * MS, target: 400 * MS, deadline: SEC, calls: None },
    Kind {
        service: BOARD,
        time: 170 * MS,
        target: 700 * MS,
        deadline: 1_200 * MS,
        calls: Some((DESK, 1)),
    },
    Kind {
        service: DESK,
        time: 220 * MS,
        target: SEC,
        deadline: 1_500 * MS,
        calls: Some((TILL, 2)),
    },
];
/// Share of the requests with calls that make them.
const CALLING_SHARE: f64 = 0.7;

/// Load and conditions of a replay.
#[derive(Clone, Copy)]
pub struct Load {
    /// Requests per second by rank until [`Load::eases_at`].
    pub per_s: [f64; 3],
    /// Requests per second by rank afterwards.
    pub then_per_s: [f64; 3],
    pub eases_at: Micros,
    pub length: Micros,
    /// Time for which all upstreams are cold.
    pub cold: Micros,
    /// Age at which reports of room are replaced.
    pub report_age: Micros,
    /// Whether the part under test decides.
    pub on: bool,
    pub seed: u64,
}

/// Result by rank.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    pub asked: [f64; 3],
    pub in_time: [f64; 3],
    pub served: [f64; 3],
    pub shed: [f64; 3],
    /// Requests that ran and failed since a call of theirs was refused.
    pub failed: [f64; 3],
    /// Requests asked from [`SETTLING`] after the load has eased and that long before the end, by rank,
    /// and those of them that were served.
    pub late_served: [f64; 3],
    pub late_asked: [f64; 3],
    pub most_running: u32,
    pub most_cold_starts: usize,
    /// Least and largest share of requests of rank 2 that passed the ingress, by 100 ms.
    pub passed: Vec<f64>,
}

impl Tally {
    pub fn share(&self, rank: usize) -> f64 {
        self.served[rank] / self.asked[rank].max(1.0)
    }
}

struct Request {
    /// Kind, by the rank of its route.
    rank: usize,
    /// Rank by which gates decide.
    used_rank: u8,
    born: Micros,
    weight: f64,
    calls_left: u32,
    gate: (usize, usize),
    job: u64,
}

/// Run of a request or of one of its calls at a gate.
struct Job {
    id: u64,
    request: usize,
    call: bool,
    gate: (usize, usize),
    /// Number of gates that it has been offered to.
    sends: usize,
    end: Option<Micros>,
}

pub struct Replay {
    load: Load,
    gates: Vec<Vec<Admission>>,
    rooms: Vec<Vec<Room>>,
    requests: Vec<Request>,
    jobs: Vec<Job>,
    starts: Vec<Vec<Vec<Micros>>>,
    next_id: u64,
    shares: RankShares,
    /// Draws what callers do; the same with the part and without it.
    callers: SmallRng,
    rng: SmallRng,
    tally: Tally,
}

impl Replay {
    pub fn run(load: Load) -> Tally {
        let gate = |_| {
            let mut gate = Admission::new(SLOTS);
            gate.set_limits(SLOTS, COLD_RATE);
            gate.set_cold_until(load.cold);
            gate
        };
        let gates: Vec<Vec<_>> = UPSTREAMS.map(|count| (0..count).map(gate).collect()).into();
        let mut replay = Replay {
            load,
            rooms: gates.iter().map(|gates| vec![Room::default(); gates.len()]).collect(),
            starts: gates.iter().map(|gates| vec![Vec::new(); gates.len()]).collect(),
            gates,
            requests: Vec::new(),
            jobs: Vec::new(),
            next_id: 0,
            shares: RankShares::default(),
            callers: SmallRng::seed_from_u64(load.seed),
            rng: SmallRng::seed_from_u64(load.seed + 1),
            tally: Tally::default(),
        };
        for now in (0..load.length).step_by(MS as usize) {
            replay.step(now);
        }
        replay.tally
    }

    fn step(&mut self, now: Micros) {
        if now.is_multiple_of(self.load.report_age) {
            for (rooms, gates) in self.rooms.iter_mut().zip(&self.gates) {
                *rooms = gates.iter().map(|gate| gate.room(now)).collect();
            }
        }
        if now.is_multiple_of(100 * MS) {
            self.tally.passed.push(0.0);
        }
        let eased = now >= self.load.eases_at;
        let rates = if eased { self.load.then_per_s } else { self.load.per_s };
        for (rank, rate) in rates.into_iter().enumerate() {
            let mean = rate * MS as f64 / SEC as f64;
            for _ in 0..ARRIVALS {
                if self.callers.random::<f64>() < mean / f64::from(ARRIVALS) {
                    self.arrive(now, rank);
                }
            }
        }
        self.end_jobs(now);
        self.poll(now);
    }

    fn arrive(&mut self, now: Micros, rank: usize) {
        let kind = KINDS[rank];
        let calling = self.callers.random::<f64>() < CALLING_SHARE;
        self.tally.asked[rank] += 1.0;
        self.tally.late_asked[rank] += f64::from(u8::from(self.is_late(now)));
        let Some((used_rank, weight)) = self.admit(now, rank) else {
            self.tally.shed[rank] += 1.0;
            self.shares.record(now, rank as u8, false);
            return;
        };
        if rank == 2 {
            *self.tally.passed.last_mut().expect("a span has begun") += 1.0;
        }
        let calls_left = kind.calls.map_or(0, |(_, count)| if calling { count } else { 0 });
        let gate = (kind.service, 0);
        self.requests.push(Request {
            rank,
            used_rank,
            born: now,
            weight,
            calls_left,
            gate,
            job: 0,
        });
        let request = self.requests.len() - 1;
        self.send(now, request, false, kind.service, 0);
    }

    fn is_late(&self, born: Micros) -> bool {
        (self.load.eases_at + SETTLING..self.load.length.saturating_sub(SETTLING)).contains(&born)
    }

    /// Returns the rank and weight of a request that is sent.
    fn admit(&mut self, now: Micros, rank: usize) -> Option<(u8, f64)> {
        if !self.load.on {
            return Some((rank as u8, 1.0));
        }
        let kind = KINDS[rank];
        let room = |service: usize, call: bool| {
            ServiceRoom::new(self.rooms[service].iter().copied(), urgency(rank as u8, call))
        };
        let called = kind.calls.and_then(|(service, count)| {
            Some((room(service, true)?, f64::from(count) * CALLING_SHARE))
        });
        let draws = (self.rng.random(), self.rng.random());
        let calls_time = kind.calls.map_or(0, |(_, count)| Micros::from(count) * CALL_TIME);
        let slack = kind.target - kind.time - calls_time;
        match decide(room(kind.service, false), called, slack, draws.0, draws.1) {
            Verdict::Admit { weight } => Some((rank as u8, weight)),
            Verdict::Refuse { .. } if self.shares.is_shut_out(now, rank as u8) => Some((0, 1.0)),
            Verdict::Refuse { .. } => None,
        }
    }

    /// Offers a request or a call to up to [`SENDS`] gates; a call that is refused ends its request.
    fn send(&mut self, now: Micros, request: usize, call: bool, service: usize, sent: usize) {
        let Request { rank, used_rank, born, weight, .. } = self.requests[request];
        let (time, deadline) = (KINDS[rank].time, born + KINDS[rank].deadline);
        let (service_time, target) =
            if call { (CALL_TIME, deadline) } else { (time, born + KINDS[rank].target) };
        let rank = if self.load.on { urgency(used_rank, call) } else { used_rank };
        for send in sent..SENDS {
            let gate = self.rng.random_range(0..UPSTREAMS[service]);
            self.next_id += 1;
            let id = self.next_id;
            let admission = &mut self.gates[service][gate];
            if self.load.on && send == 0 {
                admission.record_demand(now, rank, weight, service_time);
            }
            let offer =
                AdmissionRequest { id, rank, deadline, target, service_time, reroutes: false };
            let decision = admission.offer(now, offer);
            if matches!(decision, AdmissionDecision::Refuse(_)) {
                continue;
            }
            if !call {
                (self.requests[request].gate, self.requests[request].job) = ((service, gate), id);
            }
            let gate = (service, gate);
            self.jobs.push(Job { id, request, call, gate, sends: send + 1, end: None });
            if decision == AdmissionDecision::Run {
                self.start(now, id);
            }
            return;
        }
        if call {
            self.fail(now, request);
        } else {
            self.shares.record(now, self.requests[request].rank as u8, false);
        }
    }

    fn start(&mut self, now: Micros, id: u64) {
        let cold = now < self.load.cold;
        let Some(job) = self.jobs.iter_mut().find(|job| job.id == id) else { return };
        let time = if job.call { CALL_TIME } else { KINDS[self.requests[job.request].rank].time };
        job.end = Some(now + if cold { 2 * time } else { time });
        let (service, gate) = job.gate;
        let running = self.gates[service][gate].running();
        self.tally.most_running = self.tally.most_running.max(running);
        if cold {
            let starts = &mut self.starts[service][gate];
            starts.retain(|at| at + SEC > now);
            starts.push(now);
            self.tally.most_cold_starts = self.tally.most_cold_starts.max(starts.len());
        }
    }

    fn end_jobs(&mut self, now: Micros) {
        let due = |job: &Job| job.end.is_some_and(|end| end <= now);
        let ended: Vec<(usize, bool, (usize, usize), u64)> = self
            .jobs
            .iter()
            .filter(|job| due(job))
            .map(|job| (job.request, job.call, job.gate, job.id))
            .collect();
        self.jobs.retain(|job| !due(job));
        for (request, call, (service, gate), id) in ended {
            if call {
                self.gates[service][gate].finish(now, id, CALL_TIME);
            }
            let rank = self.requests[request].rank;
            match KINDS[rank].calls {
                Some((called, _)) if self.requests[request].calls_left > 0 => {
                    self.requests[request].calls_left -= 1;
                    self.send(now, request, true, called, 0);
                }
                _ => self.complete(now, request),
            }
        }
    }

    fn complete(&mut self, now: Micros, request: usize) {
        let Request { rank, born, gate: (service, gate), job, .. } = self.requests[request];
        self.gates[service][gate].finish(now, job, KINDS[rank].time);
        let in_time = now <= born + KINDS[rank].deadline;
        self.shares.record(now, rank as u8, in_time);
        if !in_time {
            return;
        }
        self.tally.served[rank] += 1.0;
        self.tally.late_served[rank] += f64::from(u8::from(self.is_late(born)));
        self.tally.in_time[rank] += f64::from(u8::from(now <= born + KINDS[rank].target));
    }

    fn fail(&mut self, now: Micros, request: usize) {
        self.shares.record(now, self.requests[request].rank as u8, false);
        let Request { rank, gate: (service, gate), job, .. } = self.requests[request];
        self.gates[service][gate].cancel(job);
        self.tally.failed[rank] += 1.0;
    }

    fn poll(&mut self, now: Micros) {
        for (service, count) in UPSTREAMS.into_iter().enumerate() {
            for gate in 0..count {
                let mut decided = Vec::new();
                self.gates[service][gate].poll(now, &mut decided);
                for decision in decided {
                    match decision {
                        AdmissionDequeued::Run(id) => self.start(now, id),
                        AdmissionDequeued::Refuse(id, _) => self.drop_queued(now, id),
                    }
                }
            }
        }
    }

    fn drop_queued(&mut self, now: Micros, id: u64) {
        let Some(at) = self.jobs.iter().position(|job| job.id == id) else { return };
        let Job { request, call, gate: (service, _), sends, .. } = self.jobs.swap_remove(at);
        self.send(now, request, call, service, sends);
    }
}
