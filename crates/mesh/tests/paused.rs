//! Nodes that were paused, and upstreams that were slow for a while: calls are served afterwards.

use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::path::Path;
use std::time::{Duration, Instant};

use bbv_stand::caller;
use bbv_stand::fleet::{Fleet, wait_until};
use bbv_stand::process::{Process, Signal};

/// Time that requests take while the node is paused.
const RUN_TIME: Duration = Duration::from_millis(150);
/// Requests that run when the pause begins.
const RUNNING: usize = 6;
/// Time for which the node is kept busy, in the middle of which the pause begins.
const BUSY_TIME: Duration = Duration::from_millis(100);
const PAUSE: Duration = Duration::from_secs(4);
/// Time that slow requests take, longer than [`DEADLINE_MS`].
const SLOW_TIME: Duration = Duration::from_millis(2_500);
/// Time after a pause at which a node serves again, before it forgets means that refuse calls.
const PAUSE_SETTLING: Duration = Duration::from_secs(1);
/// Time after slow requests at which others are served again.
const SETTLING_TIME: Duration = Duration::from_secs(3);
/// Time after which a caller gives up, in milliseconds.
const DEADLINE_MS: u64 = 900;
const READY_LIMIT: Duration = Duration::from_secs(10);

async fn status(fleet: &Fleet, id: &str) -> u16 {
    let text = caller::request("GET", "/get/1", id, DEADLINE_MS, "");
    caller::try_send(fleet.callers(0), &text).await.status
}

/// Sends requests without a route on a few connections as fast as the node reads them.
fn keep_busy(addr: SocketAddr) {
    let text = caller::request("GET", "/none/1", "busy", DEADLINE_MS, "").repeat(100);
    let started = Instant::now();
    let mut streams: Vec<TcpStream> =
        (0..4).map(|_| TcpStream::connect(addr).expect("connect to the node")).collect();
    for stream in &streams {
        let mut responses = stream.try_clone().expect("clone a connection");
        std::thread::spawn(move || std::io::copy(&mut responses, &mut std::io::sink()));
    }
    while started.elapsed() < BUSY_TIME {
        for stream in &mut streams {
            stream.write_all(text.as_bytes()).expect("write to an open connection");
        }
    }
    for stream in &streams {
        stream.shutdown(Shutdown::Both).expect("close a connection");
    }
}

/// Responses that had arrived while a node was paused counted as slow, so that it refused all calls of
/// their route from then on.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn calls_are_served_after_a_pause() {
    let fleet = Fleet::without_nodes(&["z", "z"]).await;
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join("paused");
    let program = Path::new(env!("CARGO_BIN_EXE_bbv-mesh"));
    let start = |settings| Process::start(program, &folder, settings).expect("start a node");
    let processes: Vec<Process> =
        fleet.members.iter().map(|member| start(&member.settings)).collect();
    fleet.publish();
    let started = Instant::now();
    while status(&fleet, "ready").await != 200 {
        assert!(started.elapsed() < READY_LIMIT, "the node is not ready");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let set_delay = |delay| {
        fleet.members.iter().for_each(|member| *member.upstream.delay.lock() = delay);
    };
    set_delay(RUN_TIME);
    let (addr, before) = (fleet.callers(0), fleet.runs());
    let send = |number| {
        let text = caller::request("GET", "/get/1", &format!("paused-{number}"), DEADLINE_MS, "");
        tokio::spawn(async move { caller::try_send(addr, &text).await.status })
    };
    let calls: Vec<_> = (0..RUNNING).map(send).collect();
    wait_until("the requests run", || fleet.runs() == before + RUNNING).await;
    // A paused process that waits for input handles its timers first, a busy one its input.
    let busy = tokio::task::spawn_blocking(move || keep_busy(addr));
    tokio::time::sleep(BUSY_TIME / 2).await;
    processes[0].signal(Signal::Stop).expect("pause the node");
    tokio::time::sleep(PAUSE).await;
    processes[0].signal(Signal::Cont).expect("continue the node");
    for call in calls {
        assert!(call.await.expect("the caller panicked") > 0, "a call has no response");
    }
    busy.await.expect("the busy callers panicked");
    set_delay(Duration::ZERO);
    tokio::time::sleep(PAUSE_SETTLING).await;
    for number in 0..20 {
        assert_eq!(status(&fleet, &format!("after-{number}")).await, 200, "call {number}");
    }
}

/// After calls that took longer than others may take, the others of the same route were refused from then
/// on, since refused calls bring no samples.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn short_calls_are_served_after_slow_ones() {
    let fleet = Fleet::start(&["z"]).await;
    *fleet.members[0].upstream.delay.lock() = SLOW_TIME;
    let addr = fleet.callers(0);
    let send = |number| {
        let text = caller::request("GET", "/get/1", &format!("slow-{number}"), 4_500, "");
        tokio::spawn(async move { caller::try_send(addr, &text).await.status })
    };
    let calls: Vec<_> = (0..9).map(send).collect();
    for call in calls {
        assert_eq!(call.await.expect("the caller panicked"), 200);
    }
    *fleet.members[0].upstream.delay.lock() = Duration::ZERO;
    tokio::time::sleep(SETTLING_TIME).await;
    for number in 0..20 {
        assert_eq!(status(&fleet, &format!("short-{number}")).await, 200, "call {number}");
    }
}
