//! Runs the `bbv-node` program: invalid settings, SIGTERM during a call, and a platform that falls silent.

mod running;

use std::process::Command;
use std::time::{Duration, Instant};

use bbv_core::documents::is_reader;
use bbv_stand::proxy::Mode;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::running::{Fleet, Running, client};

const CATALOGUE: &str = include_str!("../../../examples/pararrayos.yaml");
const SERVICE: &str = "inspection-records";
/// Service of the other node of a pair.
const OTHER_SERVICE: &str = "crew-scheduling";
/// Nodes of a zone that read the platform.
const READERS_PER_ZONE: usize = 2;
/// Time that a request takes, for a test that does not need more.
const RUN_TIME: Duration = Duration::from_millis(300);
/// Time within which a change is in force.
const FORCE_LIMIT: Duration = Duration::from_secs(4);
/// Time from SIGTERM within which all calls are answered.
const STOP_LIMIT: Duration = Duration::from_secs(10);

#[test]
fn check_lists_every_fault() {
    let folder = std::env::temp_dir().join(format!("bbv-settings-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let path = folder.join("node.yaml");
    std::fs::write(&path, "vm: 1\nzone: a\nservice: b\ncallers: nowhere\n").expect("a file");
    let output = Command::new(env!("CARGO_BIN_EXE_bbv-node")).arg("check").arg(&path).output();
    let output = output.expect("the node runs");
    assert_eq!(output.status.code(), Some(1));
    let text = String::from_utf8_lossy(&output.stderr);
    assert!(text.contains("line 4: callers: nowhere is not an IP address with a port"), "{text}");
    assert!(text.contains("tls: is missing"), "{text}");
    std::fs::remove_dir_all(folder).expect("the folder is removed");
}

/// Starts one node.
async fn start_one(name: &str) -> (Fleet, Running) {
    let fleet = Fleet::start(name, CATALOGUE).await;
    let running = fleet.start_node(1, SERVICE, RUN_TIME).await;
    (fleet, running)
}

/// Publishes a change, which is in force at all of `nodes` within `limit`.
async fn check_in_force(fleet: &Fleet, nodes: &[&Running], limit: Duration) {
    fleet.platform.publish("out", Some("{\"zones\": [], \"vms\": []}".to_owned()));
    let published = Instant::now();
    let revision = format!("\"revision\":{}", fleet.platform.revision());
    for running in nodes {
        let status = format!("http://{}/status", running.operators);
        loop {
            let response = client().get(&status).send().await.expect("a response");
            let elapsed = published.elapsed();
            if response.text().await.expect("a body").contains(&revision) {
                break;
            }
            assert!(elapsed < limit, "not in force at {} after {elapsed:?}", running.callers);
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn sigterm_lets_running_calls_finish() {
    let (_fleet, running) = start_one("process").await;
    let url = format!("http://{}/site-history/5", running.callers);
    let call = tokio::spawn(client().get(url).header("x-call", "5").send());
    running.wait_until_run().await;
    // The call is running on the upstream, so the signal arrives during it.
    running.terminate();
    let response = call.await.expect("the call ends").expect("a response");
    assert_eq!(response.status(), 200);
    assert_eq!(response.text().await.expect("a body"), "call 5");
    assert!(running.wait_until_ended().await);
}

/// Calls at another node were cut off without a response 5 s after SIGTERM.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn calls_at_other_nodes_are_answered_before_a_stop_ends() {
    let catalogue = CATALOGUE.replace("deadline_ms: 1000", "deadline_ms: 30000");
    let fleet = Fleet::start("stop", &catalogue).await;
    let other = fleet.start_node(2, OTHER_SERVICE, Duration::from_secs(8)).await;
    let running = fleet.start_node(1, SERVICE, RUN_TIME).await;
    let url = format!("http://{}/crew-calendar/5", running.callers);
    let call = tokio::spawn(client().get(url).header("x-call", "5").send());
    other.wait_until_run().await;
    running.terminate();
    let response = call.await.expect("the call ends").expect("a response");
    assert_eq!(response.status(), 200);
    assert!(running.wait_until_ended().await);
}

/// A call that takes longer than the stop of its node was cut off without a response.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn call_that_outlasts_a_stop_gets_a_response() {
    let catalogue = CATALOGUE.replace("deadline_ms: 1000", "deadline_ms: 60000");
    let fleet = Fleet::start("outlast", &catalogue).await;
    let running = fleet.start_node(1, SERVICE, Duration::from_secs(40)).await;
    let url = format!("http://{}/site-history/5", running.callers);
    let call = tokio::spawn(client().get(&url).header("x-call", "5").send());
    running.wait_until_run().await;
    running.terminate();
    let stopped = Instant::now();
    tokio::time::sleep(Duration::from_secs(1)).await;
    let late = client().get(url).header("x-call", "6").send().await.expect("a response");
    assert_eq!(late.status(), 503);
    assert_eq!(late.headers()["bbv-outcome"], "not-run");
    let response = call.await.expect("the call ends").expect("a response");
    assert_eq!(response.headers()["bbv-outcome"], "unknown");
    assert!(stopped.elapsed() < STOP_LIMIT, "{:?}", stopped.elapsed());
}

/// A node waited for 12 s on a connection to the platform that had gone silent.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn change_is_in_force_after_connections_to_the_platform_went_silent() {
    let (fleet, running) = start_one("silent").await;
    check_in_force(&fleet, &[&running], FORCE_LIMIT).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    fleet.proxy.silence_open();
    check_in_force(&fleet, &[&running], FORCE_LIMIT).await;
}

/// A node noticed the end of an outage of the platform up to 15 s late.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn change_is_in_force_after_an_outage_of_the_platform() {
    let (fleet, running) = start_one("outage").await;
    *fleet.proxy.mode.lock() = Mode::Reset;
    fleet.proxy.reset_open();
    tokio::time::sleep(Duration::from_secs(7)).await;
    *fleet.proxy.mode.lock() = Mode::Pass;
    check_in_force(&fleet, &[&running], FORCE_LIMIT).await;
}

/// Nodes that do not read the platform heard of nothing while those that do were cut off from it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn change_is_in_force_while_readers_are_cut_off_from_the_platform() {
    let fleet = Fleet::start("readers", CATALOGUE).await;
    let mut nodes = Vec::new();
    for vm in 1..=3 {
        nodes.push(fleet.start_apart(vm, SERVICE, RUN_TIME).await);
    }
    tokio::time::sleep(Duration::from_secs(2)).await;
    for (vm, (_, proxy)) in (1..).zip(&nodes) {
        if is_reader(&fleet.zone, vm, &[1, 2, 3], READERS_PER_ZONE) {
            *proxy.mode.lock() = Mode::Silent;
        }
    }
    let nodes: Vec<&Running> = nodes.iter().map(|(running, _)| running).collect();
    check_in_force(&fleet, &nodes, FORCE_LIMIT).await;
}

/// Bodies that come in small pieces took many times their bytes, since each piece kept the buffer that it
/// had been read into.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_in_small_pieces_leave_the_process_small() {
    const UPLOADS: usize = 40;
    const PIECES: usize = 4_000;
    const MEMORY_LIMIT: usize = 24 << 20;
    let (_fleet, running) = start_one("pieces").await;
    let resident = || {
        let status = std::fs::read_to_string(format!("/proc/{}/status", running.node.id()));
        let status = status.expect("could not read the status of the process");
        let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:"));
        let kb = line.and_then(|line| line.split_whitespace().next()?.parse::<usize>().ok());
        kb.expect("status has no RssAnon") * 1_024
    };
    let before = resident();
    let mut uploads = Vec::new();
    for _ in 0..UPLOADS {
        let mut stream = TcpStream::connect(running.callers).await.expect("could not connect");
        uploads.push(tokio::spawn(async move {
            let head =
                "POST /certificates HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n";
            stream.write_all(head.as_bytes()).await.expect("could not send the head");
            for count in 0..PIECES {
                stream.write_all(b"1\r\nx\r\n").await.expect("could not send a piece");
                // The node reads few pieces at once.
                if count % 4 == 0 {
                    tokio::time::sleep(Duration::from_millis(1)).await;
                }
            }
            stream
        }));
    }
    let mut streams = Vec::new();
    for upload in uploads {
        streams.push(upload.await.expect("an upload panicked"));
    }
    tokio::time::sleep(RUN_TIME).await;
    let taken = resident().saturating_sub(before);
    assert!(taken < MEMORY_LIMIT, "{taken} bytes more for {} bytes of bodies", UPLOADS * PIECES);
}
