//! Tests that the retries of all nodes together stay within the limit.

use bbv_core::retry_budget::{RetryBudget, RetryLimit};
use bbv_core::units::{MS, Micros, SEC};

const WINDOW: Micros = 10 * SEC;
const STEP: Micros = 10 * MS;
const STEPS: usize = (WINDOW / STEP) as usize;

/// Requests to a service and their extra arrivals after the first, per time step.
#[derive(Default)]
struct Counts {
    requests: Vec<f64>,
    extra: Vec<f64>,
}

impl Counts {
    /// Checks every window against the limit. The limit counts the requests of this window, of
    /// the previous one or of the one half a window earlier, whichever has most.
    fn check(&self, limit: RetryLimit, name: &str) {
        let sum = |list: &[f64], end: usize| {
            let end = end.min(list.len());
            list[end.saturating_sub(STEPS)..end].iter().sum::<f64>()
        };
        for end in 1..=self.extra.len() {
            let ends = [end, end.saturating_sub(STEPS / 2), end.saturating_sub(STEPS)];
            let requests = ends.map(|end| sum(&self.requests, end)).into_iter().fold(0.0, f64::max);
            let allowed = limit.ratio * requests + limit.burst;
            let extra = sum(&self.extra, end);
            assert!(
                extra <= allowed,
                "{name}: {extra} extra arrivals, {allowed} allowed, in the window ending at step {end}"
            );
        }
    }
}

fn limit(burst: f64) -> RetryLimit {
    RetryLimit { ratio: 0.2, burst, window: WINDOW }
}

/// Normal traffic, a pause, then one second in which every request fails: tokens earned before the
/// pause must not allow more retries than the limit.
#[test]
fn fleet_of_any_size_stays_within_limit_when_all_requests_fail_after_a_pause() {
    for (nodes, burst) in [(10, 58.0), (65, 170.0), (300, 170.0), (2_000, 170.0)] {
        let limit = limit(burst);
        let mut fleet = vec![RetryBudget::new(limit); nodes];
        let mut counts = Counts::default();
        for step in 0..6 * STEPS {
            let now = step as Micros * STEP;
            let second = now / SEC;
            let fails = second == 50;
            let sends = (second < 20 || fails) && now.is_multiple_of(SEC);
            let mut extra = 0.0;
            for node in fleet.iter_mut().filter(|_| sends) {
                node.earn(now, nodes);
                extra += f64::from(u8::from(fails && node.spend(now)));
            }
            counts.requests.push(if sends { nodes as f64 } else { 0.0 });
            counts.extra.push(extra);
        }
        counts.check(limit, &format!("{nodes} nodes"));
    }
}

/// A retried run repeats its calls to another service. These count as retries there, in addition
/// to the retries of failed calls.
#[test]
fn calls_of_retried_runs_stay_within_limit_of_called_service() {
    const NODES: usize = 10;
    /// Requests per second.
    const REQUESTS: f64 = 136.0;
    /// Mean number of calls per run; a run makes two or none.
    const CALLS: f64 = 1.4;
    /// Other requests per second to the called service.
    const OTHERS: f64 = 49.0;
    let limit = limit(58.0);
    let mut front_nodes = vec![RetryBudget::new(limit); NODES];
    let mut called_nodes = vec![RetryBudget::new(limit); NODES];
    let (mut front, mut called) = (Counts::default(), Counts::default());
    let mut due = [0.0_f64; 2];
    for step in 0..4 * STEPS {
        let now = step as Micros * STEP;
        let fails = now >= 20 * SEC;
        let (mut retries, mut repeated, mut calls) = (0.0, 0.0, 0.0);
        for node in &mut front_nodes {
            due[0] += REQUESTS * STEP as f64 / SEC as f64 / NODES as f64;
            if due[0] >= 1.0 {
                due[0] -= 1.0;
                node.earn(now, NODES);
                let retried = fails && node.spend(now);
                retries += f64::from(u8::from(retried));
                calls += CALLS;
                repeated += if retried { CALLS } else { 0.0 };
            }
        }
        due[1] += calls + repeated + OTHERS * STEP as f64 / SEC as f64;
        let mut own_retries = 0.0;
        while due[1] >= 1.0 {
            due[1] -= 1.0;
            let node = &mut called_nodes[step % NODES];
            node.earn(now, NODES);
            own_retries += f64::from(u8::from(fails && node.spend(now)));
        }
        front.requests.push(REQUESTS * STEP as f64 / SEC as f64);
        front.extra.push(retries);
        called.requests.push(calls + OTHERS * STEP as f64 / SEC as f64);
        called.extra.push(own_retries + repeated);
    }
    front.check(limit, "requests");
    called.check(limit, "calls");
}
