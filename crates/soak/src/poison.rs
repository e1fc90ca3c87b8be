//! A request that ends the upstreams that run it, at a point that is drawn, and comes again and again.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use bbv_stand::caller;
use bbv_stand::upstream::{CrashPoint, Cut, POISON, Upstream};
use rand::Rng;
use rand::rngs::SmallRng;

use crate::calm::{Disturbances, SETTLING_TIME};
use crate::checker::{Checker, SentRequest};

/// Points at which the request ends an upstream.
const POINTS: [CrashPoint; 6] = [
    CrashPoint::Request,
    CrashPoint::Run,
    CrashPoint::Answer(Cut::Value),
    CrashPoint::Answer(Cut::Body),
    CrashPoint::Answer(Cut::LastChunk),
    CrashPoint::Answer(Cut::Unframed),
];
/// Longest pause between two such requests.
const PAUSE_MS: u64 = 800;
const DEADLINE_MS: u64 = 900;
/// Runs that are allowed once the request has ended three upstreams.
const ALLOWED: usize = 3;
/// Upstreams that the request may end before.
const ENDED: usize = 3;

/// Draws the point at which the request ends an upstream.
pub fn draw_point(rng: &mut SmallRng) -> CrashPoint {
    POINTS[rng.random_range(0..POINTS.len())]
}

/// Sends the request to nodes that are drawn until `stop` is set.
pub async fn send(
    nodes: Vec<SocketAddr>,
    mut rng: SmallRng,
    checker: Arc<Checker>,
    stop: Arc<AtomicBool>,
) {
    let path = format!("/post/{POISON}");
    for number in 0.. {
        if stop.load(Ordering::Relaxed) {
            return;
        }
        let id = format!("{POISON}-{number}");
        let text = caller::request("POST", &path, &id, DEADLINE_MS, "body");
        let node = nodes[rng.random_range(0..nodes.len())];
        let answer =
            tokio::time::timeout(Duration::from_millis(DEADLINE_MS), caller::try_send(node, &text));
        // A crash within a body that ends with its connection cannot be told from its end.
        let status = answer.await.map_or(0, |answer| answer.status);
        checker.record(id, SentRequest { idempotent: false, status, complete: true });
        tokio::time::sleep(Duration::from_millis(rng.random_range(0..=PAUSE_MS))).await;
    }
}

/// Describes runs of the request at upstreams beside calm nodes, later than a node takes to settle after it
/// has ended the third upstream, if they are more than allowed.
pub fn violation(upstreams: &[Arc<Upstream>], nodes: &[Arc<Disturbances>]) -> Option<String> {
    let runs = |upstream: &Upstream| -> Vec<Instant> {
        let requests = upstream.requests.lock();
        let poison = requests.iter().filter(|run| run.request_line.contains(POISON));
        poison.map(|run| upstream.started + run.at).collect()
    };
    let runs: Vec<Vec<Instant>> = upstreams.iter().map(|upstream| runs(upstream)).collect();
    let mut firsts: Vec<Instant> = runs.iter().filter_map(|runs| runs.first().copied()).collect();
    firsts.sort();
    let third = *firsts.get(ENDED - 1)?;
    let is_late = |node: &Disturbances, at: Instant| {
        let calm = node.deadline(third, at).is_some_and(|deadline| deadline < at);
        calm && at > third + SETTLING_TIME
    };
    let late = runs.iter().zip(nodes);
    let late = late.flat_map(|(runs, node)| runs.iter().filter(|at| is_late(node, **at))).count();
    (late > ALLOWED).then(|| {
        format!("{late} runs of a request that ends upstreams after it had ended the third")
    })
}
