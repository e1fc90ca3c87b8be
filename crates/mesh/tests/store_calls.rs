//! Tests which failed calls to the store count as its outage, and how long a call may wait on a
//! connection that has gone silent.

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use bbv_stand::fleet::Fleet;
use bbv_stand::proxy::{Mode, Proxy};

/// Time from the store's acknowledgement of a departure until the upstream may get no more requests.
const DRAIN: Duration = Duration::from_secs(2);
/// Time from a failed call to the store to the change that follows.
const GAP: Duration = Duration::from_millis(20);
/// Longer than the pause of a reader between two calls, so that its watches wait.
const SETTLED: Duration = Duration::from_millis(800);

/// Time after a removal is known to all nodes for which its upstream gets no request.
const WATCHED: Duration = Duration::from_millis(1_500);
/// Longer than readers take to reach the store again after a cut.
const REGAINED: Duration = Duration::from_millis(1_600);
/// Longer than an outage in which entries expire.
const OUTAGE: Duration = Duration::from_millis(4_500);

/// Removes the entry of upstream `removed`, waits until all nodes know that, and returns how many requests
/// reach it afterwards.
async fn runs_after_removal(fleet: &Fleet, removed: usize) -> usize {
    fleet.store.remove(&format!("servers/i-{removed}"));
    fleet.wait_until_applied().await;
    // Requests that were sent before have arrived.
    tokio::time::sleep(GAP).await;
    let (before, started) = (fleet.members[removed].upstream.runs(), Instant::now());
    let mut number = 0;
    while started.elapsed() < WATCHED {
        number += 1;
        fleet.get(number % fleet.members.len(), "/get/1", &format!("id-{number}")).await;
    }
    fleet.members[removed].upstream.runs() - before
}

/// An upstream that left after the first answer behind an outage was kept like one whose entry had expired
/// in it, for longer than it may be used.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn upstream_that_leaves_after_the_end_of_an_outage_is_not_kept() {
    let (fleet, proxies) = Fleet::start_with_proxies(&["a", "a", "b", "b"]).await;
    tokio::time::sleep(SETTLED).await;
    proxies.iter().for_each(|proxy| *proxy.mode.lock() = Mode::Silent);
    tokio::time::sleep(OUTAGE).await;
    proxies.iter().for_each(|proxy| *proxy.mode.lock() = Mode::Pass);
    fleet.publish_upstream(0, "ready");
    fleet.wait_until_applied().await;
    assert_eq!(runs_after_removal(&fleet, 1).await, 0);
}

/// A node that was cut off from the store, while nodes of other zones read it, kept upstreams that left after
/// the cut.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn node_cut_off_from_the_store_keeps_no_upstream_that_leaves_after_the_cut() {
    let (fleet, proxies) = Fleet::start_with_proxies(&["a", "a", "b"]).await;
    let set_mode = |mode: Mode| *proxies[2].mode.lock() = mode;
    tokio::time::sleep(SETTLED).await;
    set_mode(Mode::Silent);
    tokio::time::sleep(OUTAGE).await;
    set_mode(Mode::Pass);
    tokio::time::sleep(REGAINED).await;
    assert_eq!(runs_after_removal(&fleet, 2).await, 0);
}

/// Sends requests to all nodes from now until [`DRAIN`] has passed and a while after it; returns how
/// many of those after it reached upstream `removed`.
async fn late_runs(fleet: &Fleet, removed: usize) -> usize {
    let acked = Instant::now();
    tokio::time::sleep_until((acked + DRAIN).into()).await;
    let before = fleet.members[removed].upstream.runs();
    for number in 0..60 {
        fleet.get(number % fleet.members.len(), "/get/1", &format!("id-{number}")).await;
    }
    fleet.members[removed].upstream.runs() - before
}

/// A watch that the store cut counted as an outage of the store, after which an upstream that had left
/// stayed in use for 2.25 s.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn cut_watch_keeps_no_removed_upstream() {
    let (fleet, proxies) = Fleet::start_with_proxies(&["a", "a", "b", "b"]).await;
    tokio::time::sleep(SETTLED).await;
    proxies.iter().for_each(Proxy::reset_open);
    tokio::time::sleep(GAP).await;
    fleet.store.remove("servers/i-1");
    assert_eq!(late_runs(&fleet, 1).await, 0);
}

/// A store that refused a few calls in a row counted as away, though no entry can expire meanwhile.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn refusals_shorter_than_a_heartbeat_keep_no_removed_upstream() {
    let (fleet, proxies) = Fleet::start_with_proxies(&["a", "a", "b", "b"]).await;
    let refuse = |refuse: bool| {
        let listeners = fleet.members.iter().map(|member| &member.listener);
        listeners.for_each(|listener| listener.refuse.store(refuse, Ordering::Relaxed));
    };
    refuse(true);
    proxies.iter().for_each(Proxy::reset_open);
    tokio::time::sleep(Duration::from_millis(400)).await;
    refuse(false);
    tokio::time::sleep(GAP).await;
    fleet.store.remove("servers/i-1");
    assert_eq!(late_runs(&fleet, 1).await, 0);
}

/// An entry that expires while the store is away is no departure: the upstream stays in use until it
/// had time to register again.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn outage_keeps_upstreams_whose_entries_expired() {
    for mode in [Mode::Silent, Mode::Reset] {
        let (fleet, proxies) = Fleet::start_with_proxies(&["a", "a", "b", "b"]).await;
        let set_mode = |mode: Mode| proxies.iter().for_each(|proxy| *proxy.mode.lock() = mode);
        tokio::time::sleep(SETTLED).await;
        set_mode(mode);
        if mode == Mode::Reset {
            proxies.iter().for_each(Proxy::reset_open);
        }
        tokio::time::sleep(Duration::from_millis(4_500)).await;
        (0..3).for_each(|index| fleet.store.remove(&format!("servers/i-{index}")));
        tokio::time::sleep(GAP).await;
        set_mode(Mode::Pass);
        let started = Instant::now();
        while started.elapsed() < Duration::from_secs(2) {
            let response = fleet.get(3, "/get/1", "id-1").await;
            assert_eq!(response.status, 200, "{mode:?} after {:?}", started.elapsed());
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        let runs = fleet.members[..3].iter().map(|member| member.upstream.runs());
        assert!(runs.sum::<usize>() > 0, "{mode:?}");
    }
}

/// The nodes of a zone take turns while the store refuses all; the one that ends the outage has not
/// seen its beginning, and must not take expired entries for departures.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn outage_read_by_nodes_in_turn_keeps_upstreams_whose_entries_expired() {
    let fleet = Fleet::start(&["z"; 14]).await;
    let refuse = |refuse: bool| {
        let listeners = fleet.members.iter().map(|member| &member.listener);
        listeners.for_each(|listener| listener.refuse.store(refuse, Ordering::Relaxed));
    };
    tokio::time::sleep(SETTLED).await;
    refuse(true);
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    (0..13).for_each(|index| fleet.store.remove(&format!("servers/i-{index}")));
    refuse(false);
    // Until the removals are known, requests go to these upstreams in any case.
    fleet.wait_until_applied().await;
    let runs = || fleet.members[..13].iter().map(|member| member.upstream.runs()).sum::<usize>();
    let (before, started) = (runs(), Instant::now());
    while started.elapsed() < Duration::from_secs(1) {
        let response = fleet.get(13, "/get/1", "id-1").await;
        assert_eq!(response.status, 200, "after {:?}", started.elapsed());
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert!(runs() > before, "upstreams whose entries expired got no requests");
}
