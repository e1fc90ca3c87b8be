//! Retries of whole fleets against the bound that holds for the sum over all nodes.

use bbv_core::retries::{Bound, Retries};
use bbv_core::units::{MS, Micros, SEC};

const WINDOW: Micros = 10 * SEC;
const STEP: Micros = 10 * MS;
const STEPS: usize = (WINDOW / STEP) as usize;

/// Requests to a service and arrivals beyond the first of each, by step of time.
#[derive(Default)]
struct Counts {
    requests: Vec<f64>,
    extra: Vec<f64>,
}

impl Counts {
    /// Holds every window against the bound: the requests of that window, the one before it
    /// and the one half a window before it, whichever has most.
    fn check(&self, bound: Bound, what: &str) {
        let sum = |list: &[f64], end: usize| {
            let end = end.min(list.len());
            list[end.saturating_sub(STEPS)..end].iter().sum::<f64>()
        };
        for end in 1..=self.extra.len() {
            let ends = [end, end.saturating_sub(STEPS / 2), end.saturating_sub(STEPS)];
            let requests = ends.map(|end| sum(&self.requests, end)).into_iter().fold(0.0, f64::max);
            let allowed = bound.ratio * requests + bound.slack;
            let extra = sum(&self.extra, end);
            assert!(extra <= allowed, "{what}: {extra} beyond {allowed} in the window to {end}");
        }
    }
}

fn bound(slack: f64) -> Bound {
    Bound { ratio: 0.2, slack, window: WINDOW }
}

/// Calm, then a pause, then one second in which every request fails.
#[test]
fn fleet_of_any_size_keeps_the_bound_when_all_fails_after_a_pause() {
    for (nodes, slack) in [(10, 58.0), (65, 170.0), (300, 170.0), (2_000, 170.0)] {
        let bound = bound(slack);
        let mut fleet = vec![Retries::new(bound); nodes];
        let mut counts = Counts::default();
        for step in 0..6 * STEPS {
            let now = step as Micros * STEP;
            let second = now / SEC;
            let fails = second == 50;
            let asks = (second < 20 || fails) && now.is_multiple_of(SEC);
            let mut extra = 0.0;
            for node in fleet.iter_mut().filter(|_| asks) {
                node.earn(now, nodes);
                extra += f64::from(u8::from(fails && node.spend(now)));
            }
            counts.requests.push(if asks { nodes as f64 } else { 0.0 });
            counts.extra.push(extra);
        }
        counts.check(bound, &format!("{nodes} nodes"));
    }
}

/// Requests whose runs call another service twice or not at all: a retried run calls again, and
/// these calls count as retries there, besides the retries of calls that fail.
#[test]
fn calls_of_retried_runs_stay_within_the_bound_of_the_service_that_is_called() {
    const NODES: usize = 10;
    /// Requests a second, calls of one run, and other requests a second to the called service.
    const REQUESTS: f64 = 136.0;
    const CALLS: f64 = 1.4;
    const OTHERS: f64 = 49.0;
    let bound = bound(58.0);
    let mut outer = vec![Retries::new(bound); NODES];
    let mut inner = vec![Retries::new(bound); NODES];
    let (mut asked, mut called) = (Counts::default(), Counts::default());
    let mut due = [0.0_f64; 2];
    for step in 0..4 * STEPS {
        let now = step as Micros * STEP;
        let fails = now >= 20 * SEC;
        let (mut retries, mut again, mut calls) = (0.0, 0.0, 0.0);
        for node in &mut outer {
            due[0] += REQUESTS * STEP as f64 / SEC as f64 / NODES as f64;
            if due[0] >= 1.0 {
                due[0] -= 1.0;
                node.earn(now, NODES);
                let retried = fails && node.spend(now);
                retries += f64::from(u8::from(retried));
                calls += CALLS;
                again += if retried { CALLS } else { 0.0 };
            }
        }
        due[1] += calls + again + OTHERS * STEP as f64 / SEC as f64;
        let mut own = 0.0;
        while due[1] >= 1.0 {
            due[1] -= 1.0;
            let node = &mut inner[step % NODES];
            node.earn(now, NODES);
            own += f64::from(u8::from(fails && node.spend(now)));
        }
        asked.requests.push(REQUESTS * STEP as f64 / SEC as f64);
        asked.extra.push(retries);
        called.requests.push(calls + OTHERS * STEP as f64 / SEC as f64);
        called.extra.push(own + again);
    }
    asked.check(bound, "requests");
    called.check(bound, "calls");
}
