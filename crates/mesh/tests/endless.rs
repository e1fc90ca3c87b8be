//! Upstreams, peers and a store that send without end: the connection is closed, the request ends
//! as one that may have run, and the process stays small.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use bbv_stand::caller;
use bbv_stand::endless::{Endless, FLOODS};
use bbv_stand::fleet::{Fleet, wait_until};
use bbv_stand::process::Process;
use bbv_stand::upstream::Behaviour;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;

/// Time within which a request ends whose upstream sends too much; its deadline is later.
const CLOSE_LIMIT: Duration = Duration::from_millis(1_500);

#[tokio::test]
async fn upstream_that_sends_without_end_is_cut_off() {
    let fleet = Fleet::start(&["z", "z"]).await;
    for flood in FLOODS {
        fleet
            .members
            .iter()
            .for_each(|member| member.upstream.set_behaviour(Behaviour::Endless(flood)));
        let before = fleet.runs();
        let response = fleet.post(0, "/post/1", &format!("id-{flood:?}")).await;
        assert_eq!((response.status, fleet.runs() - before), (502, 1), "{flood:?}");
        assert!(response.latency < CLOSE_LIMIT, "{flood:?} took {:?}", response.latency);
        wait_until("the upstream's connection is closed", || {
            fleet.members.iter().all(|member| member.upstream.running.load(Ordering::Relaxed) == 0)
        })
        .await;
    }
}

/// A trickle cannot be told from a slow upstream, so it ends with the deadline.
#[tokio::test]
async fn trickling_body_ends_with_the_deadline() {
    let fleet = Fleet::start(&["z"]).await;
    fleet.members[0].upstream.set_behaviour(Behaviour::Endless(Endless::Trickle));
    let text = caller::request("POST", "/post/1", "id-1", 700, "");
    let response = caller::send(fleet.callers(0), &text).await;
    assert_eq!((response.status, fleet.runs()), (504, 1));
    assert!(response.latency < Duration::from_millis(1_000), "{:?}", response.latency);
    wait_until("the upstream's connection is closed", || {
        fleet.members[0].upstream.running.load(Ordering::Relaxed) == 0
    })
    .await;
}

/// Accepts connections on `addr` and answers each request with a flood; returns the number of
/// connections that the other side has closed.
async fn flood(addr: SocketAddr, endless: Endless) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind(addr).await.expect("could not bind");
    let addr = listener.local_addr().expect("could not read the bound address");
    let closed = Arc::new(AtomicUsize::new(0));
    let counter = Arc::clone(&closed);
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let counter = Arc::clone(&counter);
            tokio::spawn(async move {
                let mut request = [0_u8; 4_096];
                // The size of the request does not matter, nor does how the flood ends.
                let _ = stream.read(&mut request).await;
                let _ = endless.send(&mut stream, "HTTP/1.1 200 OK\r\n").await;
                counter.fetch_add(1, Ordering::Relaxed);
            });
        }
    });
    (addr, closed)
}

#[tokio::test]
#[ignore = "known red: flood-of-chunks-late"]
async fn store_and_peer_that_send_without_end_are_cut_off() {
    for endless in FLOODS {
        let mut fleet = Fleet::without_nodes(&["a", "b"]).await;
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let (store, store_closed) = flood(any_port, endless).await;
        let (_, peer_closed) = flood(fleet.members[1].settings.peers, endless).await;
        fleet.start_node(0).await;
        fleet.publish();
        let node = &fleet.members[0].running.as_ref().expect("node is running").node;
        wait_until("the node is ready", || node.ready()).await;
        fleet.store.put("op/evacuate/a", &serde_json::json!({}));
        fleet.wait_until_applied().await;
        let response = fleet.post(0, "/post/1", "id-1").await;
        assert_eq!((response.status, fleet.runs()), (502, 0), "{endless:?}");
        assert!(response.latency < CLOSE_LIMIT, "{endless:?} took {:?}", response.latency);
        wait_until("the peer's connection is closed", || peer_closed.load(Ordering::Relaxed) > 0)
            .await;
        fleet.members[0].settings.platform = store;
        fleet.members[0].settings.callers.set_port(0);
        fleet.members[0].settings.peers.set_port(0);
        fleet.members[0].settings.readiness.set_port(0);
        fleet.members[0].settings.notices.set_port(0);
        fleet.start_node(0).await;
        wait_until("the store's connection is closed", || store_closed.load(Ordering::Relaxed) > 0)
            .await;
    }
}

/// Largest resident memory of a process so far, in bytes.
fn peak_memory(process: &Process) -> usize {
    let status = std::fs::read_to_string(format!("/proc/{}/status", process.id()));
    let status = status.expect("could not read the status of the process");
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let kb = line.and_then(|line| line.split_whitespace().next()?.parse::<usize>().ok());
    kb.expect("status has no VmHWM") * 1_024
}

const MEMORY_LIMIT: usize = 24 * 1_024 * 1_024;
/// Time for which the store sends; a listing may take some seconds.
const LISTING_TIME: Duration = Duration::from_secs(3);
const FLOODED_REQUESTS: usize = 100;

/// A body of small pieces was kept with the buffers that they had been read into, of which only the
/// bytes of the pieces counted.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn hundred_bodies_of_small_pieces_leave_the_process_small() {
    check_peak(&[Endless::Pieces(1)]).await;
}

/// A listing of small pieces was kept like such a body, without any budget.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn listing_of_small_pieces_leaves_the_process_small() {
    let fleet = Fleet::without_nodes(&["z"]).await;
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let mut settings = fleet.members[0].settings.clone();
    (settings.platform, _) = flood(any_port, Endless::Pieces(1)).await;
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join("endless-listing");
    let program = Path::new(env!("CARGO_BIN_EXE_bbv-mesh"));
    let process = Process::start(program, &folder, &settings).expect("could not start a node");
    tokio::time::sleep(LISTING_TIME).await;
    let peak = peak_memory(&process);
    assert!(peak < MEMORY_LIMIT, "{peak} bytes resident");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn hundred_floods_at_once_leave_the_process_small() {
    check_peak(&FLOODS).await;
}

/// Checks the memory of a process that gets a hundred responses of each kind at once.
async fn check_peak(kinds: &[Endless]) {
    for &endless in kinds {
        let fleet = Fleet::without_nodes(&["z"]).await;
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("endless-{endless:?}"));
        let program = Path::new(env!("CARGO_BIN_EXE_bbv-mesh"));
        let settings = &fleet.members[0].settings;
        let process = Process::start(program, &folder, settings).expect("could not start a node");
        fleet.publish_with_slots(FLOODED_REQUESTS as u32);
        let readiness = "GET /-/readiness HTTP/1.1\r\nHost: x\r\n\r\n";
        let started = Instant::now();
        while caller::try_send(settings.readiness, readiness).await.status != 200 {
            assert!(started.elapsed() < Duration::from_secs(10), "node is not ready");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        fleet.members[0].upstream.set_behaviour(Behaviour::Endless(endless));
        let mut requests = Vec::new();
        for index in 0..FLOODED_REQUESTS {
            let callers = fleet.callers(0);
            let text = caller::request("POST", "/post/1", &format!("id-{index}"), 4_000, "");
            requests.push(tokio::spawn(async move { caller::send(callers, &text).await.status }));
        }
        for request in requests {
            let status = request.await.expect("caller task panicked");
            assert!([502, 504].contains(&status), "{endless:?}: {status}");
        }
        assert_eq!(fleet.runs(), FLOODED_REQUESTS, "{endless:?}: each request runs once");
        let peak = peak_memory(&process);
        assert!(peak < MEMORY_LIMIT, "{endless:?}: {peak} bytes resident");
    }
}
