//! Checks that cold upstreams were offered no more than they bear.

use std::time::Duration;

use bbv_stand::upstream::Upstream;

/// Requests a second that a cold upstream of the fleet bears, as published.
const RATE: f64 = 35.0;
/// Requests that may reach it in any second: the published rate with the promised allowance.
const MOST: usize = (RATE * 1.5) as usize + 5;
/// Time in which a gate learns that its upstream has turned cold.
const NOTICED: Duration = Duration::from_millis(500);
const SECOND: Duration = Duration::from_secs(1);

/// Describes each cold span of `upstream` in which more reached it in some second.
pub fn overloads(upstream: &Upstream) -> Vec<String> {
    let seen = upstream.requests.lock();
    let mut broken = Vec::new();
    for (from, to) in upstream.cold_periods.lock().iter() {
        let within = |at: &Duration| *at >= *from + NOTICED && at < to;
        let times: Vec<Duration> = seen.iter().map(|run| run.at).filter(within).collect();
        let most = busiest_second(&times);
        if most > MOST {
            broken.push(format!("{}: {most} requests in a second while cold", upstream.id));
        }
    }
    broken
}

/// Largest number of `times`, which rise, within one second.
fn busiest_second(times: &[Duration]) -> usize {
    let within = |(at, begun): (usize, &Duration)| {
        times[at..].iter().take_while(|time| **time < *begun + SECOND).count()
    };
    times.iter().enumerate().map(within).max().unwrap_or(0)
}
