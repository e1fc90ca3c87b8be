//! Replays demand that rises and falls out of phase in three regions of two zones each. Ingresses know
//! the load of other regions only from the replies to their own requests.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

use bbv_core::admission::{Admission, AdmissionDecision, AdmissionDequeued, AdmissionRequest};
use bbv_core::distance::Distance;
use bbv_core::placement::{LoadReport, UpstreamStats, loss};
use bbv_core::region_choice::{Carriage, KbCosts, bytes_loss};
use bbv_core::units::{MS, Micros, SEC};

const ZONES: usize = 6;
const UPSTREAMS_PER_ZONE: usize = 4;
const SLOTS: u32 = 6;
const WORK: Micros = 76 * MS;
const TARGET: Micros = 400 * MS;
const DEADLINE: Micros = 800 * MS;
const LENGTH: Micros = 26 * SEC;
const PERIOD: f64 = 13.0 * SEC as f64;
const MAX_REFUSALS: usize = 4;
/// Longest time for which an upstream is avoided after a refusal.
const AVOIDANCE: Micros = 30 * MS;
/// Ages of reports within a region.
const ZONE_HEARTBEAT: Micros = 200 * MS;
const REGION_HEARTBEAT: Micros = SEC;
const COSTS: KbCosts = KbCosts { zone: 0.02, region: 0.2 };

fn region(zone: usize) -> usize {
    zone / 2
}

fn distance(one: usize, other: usize) -> Distance {
    match (one == other, region(one) == region(other)) {
        (true, _) => Distance::Zone,
        (false, true) => Distance::Region,
        (false, false) => Distance::Remote,
    }
}

fn one_way(distance: Distance) -> Micros {
    match distance {
        Distance::Zone => 100,
        Distance::Region => 500,
        Distance::Remote => 30 * MS,
    }
}

#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Step {
    Arrives(usize),
    AtGate { request: usize, upstream: usize },
    Ends { request: usize, upstream: usize },
    Reply { request: usize, upstream: usize, ran: bool },
    Notices,
}

struct Request {
    zone: usize,
    arrived: Micros,
    tried: Vec<usize>,
}

/// What callers got.
#[derive(Debug, Default)]
struct Totals {
    requests: usize,
    refused: usize,
    late: usize,
    /// Requests answered by another region.
    remote: usize,
}

struct World {
    now: Micros,
    steps: BinaryHeap<Reverse<(Micros, u64, Step)>>,
    serial: u64,
    gates: Vec<Admission>,
    /// Statistics of each zone's ingress.
    stats: Vec<Vec<UpstreamStats>>,
    requests: Vec<Request>,
    /// Requests queued or running, by gate and id.
    at_gates: HashMap<(usize, u64), usize>,
    /// Whether requests may leave their region.
    leaves: bool,
    /// Kilobytes of a request and its response.
    kb: f64,
    totals: Totals,
}

fn zone_of(upstream: usize) -> usize {
    upstream / UPSTREAMS_PER_ZONE
}

impl World {
    fn at(&mut self, at: Micros, step: Step) {
        self.serial += 1;
        self.steps.push(Reverse((at, self.serial, step)));
    }

    fn report(&self, upstream: usize) -> LoadReport {
        let gate = &self.gates[upstream];
        LoadReport {
            running: gate.running(),
            queued: gate.queued(),
            limit: gate.limit(self.now),
            speed_pct: 100,
            backlog: gate.backlog(self.now),
            ..LoadReport::default()
        }
    }

    fn send(&mut self, request: usize) {
        let Request { zone, arrived, ref tried } = self.requests[request];
        let target = (arrived + TARGET).saturating_sub(self.now).max(MS);
        let carriage = Carriage { request_kb: self.kb / 2.0, response_kb: self.kb / 2.0 };
        let mut best: Option<(f64, usize)> = None;
        for upstream in (0..self.gates.len()).filter(|upstream| !tried.contains(upstream)) {
            let distance = distance(zone, zone_of(upstream));
            if distance == Distance::Remote && !self.leaves {
                continue;
            }
            let stats = &self.stats[zone][upstream];
            let cost = stats.cost(self.now, WORK, SLOTS, 2 * one_way(distance));
            let mut all = loss(cost, target) + bytes_loss(distance, COSTS, carriage);
            all += f64::from(u8::from(stats.is_avoided(self.now))) * 10.0;
            // Spreads requests over upstreams with nearly equal losses.
            all += ((request * 7 + upstream * 13) % 17) as f64 / 17.0 * 0.03;
            if best.is_none_or(|(least, _)| all < least) {
                best = Some((all, upstream));
            }
        }
        let refused = best.filter(|_| tried.len() < MAX_REFUSALS);
        let Some((_, upstream)) = refused else {
            self.totals.refused += 1;
            return;
        };
        self.requests[request].tried.push(upstream);
        self.stats[zone][upstream].record_send(self.now, request as u64);
        let at = self.now + one_way(distance(zone, zone_of(upstream)));
        self.at(at, Step::AtGate { request, upstream });
    }

    fn offer(&mut self, request: usize, upstream: usize) {
        let arrived = self.requests[request].arrived;
        let offered = AdmissionRequest {
            id: request as u64,
            rank: 1,
            deadline: arrived + DEADLINE,
            target: arrived + TARGET,
            service_time: WORK,
            reroutes: false,
        };
        match self.gates[upstream].offer(self.now, offered) {
            AdmissionDecision::Run => self.run(request, upstream),
            AdmissionDecision::Wait => {
                self.at_gates.insert((upstream, request as u64), request);
            }
            AdmissionDecision::Refuse(_) => self.reply(request, upstream, false),
        }
    }

    fn run(&mut self, request: usize, upstream: usize) {
        // Work of 57 to 95 ms.
        let work = WORK * (75 + (request as u64 * 31) % 51) / 100;
        self.at(self.now + work, Step::Ends { request, upstream });
    }

    fn reply(&mut self, request: usize, upstream: usize, ran: bool) {
        let distance = distance(self.requests[request].zone, zone_of(upstream));
        self.at(self.now + one_way(distance), Step::Reply { request, upstream, ran });
    }

    fn poll(&mut self, upstream: usize) {
        let mut decided = Vec::new();
        self.gates[upstream].poll(self.now, &mut decided);
        for entry in decided {
            let (AdmissionDequeued::Run(id) | AdmissionDequeued::Refuse(id, _)) = entry;
            let request = self.at_gates.remove(&(upstream, id)).expect("request is at the gate");
            match entry {
                AdmissionDequeued::Run(_) => self.run(request, upstream),
                AdmissionDequeued::Refuse(..) => self.reply(request, upstream, false),
            }
        }
    }

    fn notices(&mut self) {
        for zone in 0..ZONES {
            for upstream in 0..self.gates.len() {
                let interval = match distance(zone, zone_of(upstream)) {
                    Distance::Zone => ZONE_HEARTBEAT,
                    Distance::Region => REGION_HEARTBEAT,
                    Distance::Remote => continue,
                };
                if self.now.is_multiple_of(interval) {
                    let report = self.report(upstream);
                    self.stats[zone][upstream].record_report(self.now, report);
                }
            }
        }
        self.at(self.now + ZONE_HEARTBEAT, Step::Notices);
    }

    fn take(&mut self, step: Step) {
        match step {
            Step::Arrives(request) => self.send(request),
            Step::AtGate { request, upstream } => {
                self.offer(request, upstream);
                self.poll(upstream);
            }
            Step::Ends { request, upstream } => {
                self.gates[upstream].finish(self.now, request as u64, WORK);
                self.poll(upstream);
                self.reply(request, upstream, true);
            }
            Step::Reply { request, upstream, ran } => {
                let zone = self.requests[request].zone;
                let report = self.report(upstream);
                let stats = &mut self.stats[zone][upstream];
                stats.record_end(request as u64);
                stats.record_report(self.now, report);
                if !ran {
                    stats.avoid(self.now + AVOIDANCE);
                    return self.send(request);
                }
                let took = self.now - self.requests[request].arrived;
                self.totals.late += usize::from(took > TARGET);
                let remote = distance(zone, zone_of(upstream)) == Distance::Remote;
                self.totals.remote += usize::from(remote);
            }
            Step::Notices => self.notices(),
        }
    }
}

/// Plays demand that is `load` times the capacity on average and swings by `swing` around that, out of
/// phase between the regions, of requests of `kb` kilobytes.
fn play(load: f64, swing: f64, leaves: bool, kb: f64) -> Totals {
    let upstreams = ZONES * UPSTREAMS_PER_ZONE;
    let mut world = World {
        now: 0,
        steps: BinaryHeap::new(),
        serial: 0,
        gates: vec![Admission::new(SLOTS); upstreams],
        stats: vec![vec![UpstreamStats::default(); upstreams]; ZONES],
        requests: Vec::new(),
        at_gates: HashMap::new(),
        leaves,
        kb,
        totals: Totals::default(),
    };
    let capacity = f64::from(SLOTS) * UPSTREAMS_PER_ZONE as f64 / WORK as f64;
    for zone in 0..ZONES {
        let phase = zone as f64 / ZONES as f64;
        let mut due = 0.0;
        for now in (0..LENGTH).step_by(MS as usize) {
            let turn = (now as f64 / PERIOD + phase) * std::f64::consts::TAU;
            due += capacity * load * (1.0 + swing * turn.sin()) * MS as f64;
            while due >= 1.0 {
                due -= 1.0;
                let request = world.requests.len();
                world.requests.push(Request { zone, arrived: now, tried: Vec::new() });
                world.at(now, Step::Arrives(request));
            }
        }
    }
    world.totals.requests = world.requests.len();
    world.at(0, Step::Notices);
    while let Some(Reverse((now, _, step))) = world.steps.pop() {
        if now > LENGTH + DEADLINE {
            break;
        }
        world.now = now;
        world.take(step);
    }
    world.totals
}

fn share(part: usize, totals: &Totals) -> f64 {
    part as f64 / totals.requests as f64
}

#[test]
fn requests_stay_in_a_region_that_has_room() {
    let totals = play(0.55, 0.55, true, 0.4);
    assert_eq!((totals.refused, totals.late), (0, 0), "{totals:?}");
    assert!(share(totals.remote, &totals) < 0.02, "{totals:?}");
}

#[test]
fn waves_that_a_region_cannot_serve_run_in_others() {
    let near = play(0.85, 0.55, false, 0.4);
    assert!(share(near.refused + near.late, &near) > 0.05, "there is room in the region: {near:?}");
    let totals = play(0.85, 0.55, true, 0.4);
    assert_eq!(totals.refused, 0, "other regions had room: {totals:?}");
    assert!(share(totals.late, &totals) < 0.02, "{totals:?}");
    assert!(share(totals.remote, &totals) < 0.25, "{totals:?}");
}

#[test]
fn large_requests_leave_less_often_but_before_they_are_late() {
    let [small, large] = [0.4, 9.0].map(|kb| play(0.85, 0.55, true, kb));
    assert_eq!(large.refused, 0, "{large:?}");
    assert!(share(large.late, &large) < 0.02, "{large:?}");
    assert!(large.remote < small.remote, "{large:?}, small: {small:?}");
}
