//! Tests that a log reader that stops reading does not block requests or the end of the process.

use std::path::Path;
use std::time::{Duration, Instant};

use bbv_stand::caller;
use bbv_stand::fleet::Fleet;
use bbv_stand::process::{Process, Signal};

/// Interval at which the tests poll for the start and the end of a node.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Twice the maximum time from SIGTERM to the end of a process.
const EXIT_TIMEOUT: Duration = Duration::from_secs(12);
/// Time after which a request counts as blocked.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
/// Number of requests and pause between them: at the rate limit of 100 lines a second they fill
/// more than the queue of log lines. Ids are long, so that a pipe buffers few lines.
const REQUESTS: usize = 1_400;
const PAUSE: Duration = Duration::from_millis(9);
const ID_BYTES: usize = 6_000;

/// Returns the sorted latencies of requests that each log a line; `read` sets whether the log is
/// read.
async fn measure_latencies(read: bool) -> Vec<Duration> {
    let fleet = Fleet::without_nodes(&["z"]).await;
    fleet.publish();
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(if read { "read" } else { "unread" });
    let program = Path::new(env!("CARGO_BIN_EXE_bbv-mesh"));
    let start = if read { Process::start } else { Process::start_unread };
    let mut process = start(program, &folder, &fleet.members[0].settings).expect("bbv-mesh starts");
    let ready = caller::request("GET", "/get/ready", "ready", 1_000, "");
    while caller::try_send(fleet.callers(0), &ready).await.status != 200 {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    let mut latencies = Vec::new();
    for index in 0..REQUESTS {
        let id = format!("{}-{index}", "i".repeat(ID_BYTES));
        let text = caller::request("GET", "/none/1", &id, 3_000, "");
        let sent = caller::send(fleet.callers(0), &text);
        let response = tokio::time::timeout(REQUEST_TIMEOUT, sent).await.expect("a response");
        assert_eq!(response.status, 404, "request {index}");
        latencies.push(response.latency);
        tokio::time::sleep(PAUSE).await;
    }
    process.signal(Signal::Term).expect("bbv-mesh runs");
    let signalled = Instant::now();
    while !process.ended() {
        assert!(signalled.elapsed() < EXIT_TIMEOUT, "bbv-mesh does not exit");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    latencies.sort_unstable();
    latencies
}

#[tokio::test]
async fn stalled_log_reader_does_not_block_requests() {
    let (read, unread) = tokio::join!(measure_latencies(true), measure_latencies(false));
    for (name, latencies) in [("read", read), ("unread", unread)] {
        let percentile = |share: f64| latencies[(latencies.len() as f64 * share) as usize];
        println!("{name} p50={:?} p99={:?}", percentile(0.5), percentile(0.99));
    }
}
