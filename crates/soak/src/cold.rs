//! Checks that cold upstreams received no more requests than their published rate allows.

use std::time::Duration;

use bbv_stand::upstream::Upstream;

/// Requests per second that a cold upstream of the fleet can serve, as published.
const COLD_RATE: f64 = 35.0;
/// Requests that may reach it in any second: the published rate with the guaranteed tolerance.
const MAX_PER_SECOND: usize = (COLD_RATE * 1.5) as usize + 5;
/// Time within which a gate detects that its upstream has turned cold.
const DETECTION_TIME: Duration = Duration::from_millis(500);
const SECOND: Duration = Duration::from_secs(1);

/// Describes each cold period of `upstream` with more requests in some second than allowed.
pub fn overloads(upstream: &Upstream) -> Vec<String> {
    let requests = upstream.requests.lock();
    let mut violations = Vec::new();
    for (start, end) in upstream.cold_periods.lock().iter() {
        let is_cold = |time: &Duration| *time >= *start + DETECTION_TIME && time < end;
        let times: Vec<Duration> = requests.iter().map(|run| run.at).filter(is_cold).collect();
        let peak = peak_per_second(&times);
        if peak > MAX_PER_SECOND {
            violations.push(format!("{}: {peak} requests within a second while cold", upstream.id));
        }
    }
    violations
}

/// Returns the largest number of `times`, which are in ascending order, within one second.
fn peak_per_second(times: &[Duration]) -> usize {
    let count_from = |(index, start): (usize, &Duration)| {
        times[index..].iter().take_while(|time| **time < *start + SECOND).count()
    };
    times.iter().enumerate().map(count_from).max().unwrap_or(0)
}
