//! Logs never hold up a request.

use std::path::Path;
use std::time::{Duration, Instant};

use bbv_stand::client;
use bbv_stand::fleet::Fleet;
use bbv_stand::process::{Process, Signal};

/// Starts of the node are waited for in steps of this.
const STEP: Duration = Duration::from_millis(20);
/// Time from SIGTERM to the end of a process at the latest, with as much again.
const GRACE: Duration = Duration::from_secs(12);
/// Time after which a request counts as held up for good.
const HELD_UP: Duration = Duration::from_secs(10);
/// Requests and the pause between them: at the bound of 100 lines a second, more than the queue
/// of lines holds. Ids are long, so that a pipe holds few lines.
const REQUESTS: usize = 1_400;
const PAUSE: Duration = Duration::from_millis(9);
const ID_BYTES: usize = 6_000;

/// Latencies of requests that each write a line, in order; `read` tells whether lines are read.
async fn latencies(read: bool) -> Vec<Duration> {
    let fleet = Fleet::without_nodes(&["z"]).await;
    fleet.publish();
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(if read { "read" } else { "unread" });
    let program = Path::new(env!("CARGO_BIN_EXE_bbv-mesh"));
    let start = if read { Process::start } else { Process::start_unread };
    let mut process = start(program, &folder, &fleet.members[0].settings).expect("it starts");
    let ready = client::request("GET", "/get/ready", "ready", 1_000, "");
    while client::try_send(fleet.callers(0), &ready).await.status != 200 {
        tokio::time::sleep(STEP).await;
    }
    let mut took = Vec::new();
    for at in 0..REQUESTS {
        let id = format!("{}-{at}", "i".repeat(ID_BYTES));
        let text = client::request("GET", "/none/1", &id, 3_000, "");
        let sent = client::send(fleet.callers(0), &text);
        let answer = tokio::time::timeout(HELD_UP, sent).await.expect("an answer");
        assert_eq!(answer.status, 404, "request {at}");
        took.push(answer.took);
        tokio::time::sleep(PAUSE).await;
    }
    process.signal(Signal::Term).expect("it runs");
    let told = Instant::now();
    while !process.ended() {
        assert!(told.elapsed() < GRACE, "it does not end");
        tokio::time::sleep(STEP).await;
    }
    took.sort_unstable();
    took
}

#[tokio::test]
async fn reader_that_stops_reading_holds_up_nothing() {
    let (read, unread) = tokio::join!(latencies(true), latencies(false));
    for (name, took) in [("read", read), ("unread", unread)] {
        let at = |share: f64| took[(took.len() as f64 * share) as usize];
        println!("{name} p50={:?} p99={:?}", at(0.5), at(0.99));
    }
}
