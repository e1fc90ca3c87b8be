//! Requests that end the upstreams that run them, at every point at which a request may lose its upstream,
//! and the requests of other callers that were open there.

use std::time::{Duration, Instant};

use bbv_stand::caller;
use bbv_stand::fleet::Fleet;
use bbv_stand::upstream::{CrashPoint, Cut, POISON};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Points at which a request ends its upstream while its caller waits.
const POINTS: [CrashPoint; 9] = [
    CrashPoint::Request,
    CrashPoint::Run,
    CrashPoint::Answer(Cut::Value),
    CrashPoint::Answer(Cut::Head),
    CrashPoint::Answer(Cut::Body),
    CrashPoint::Answer(Cut::ChunkedHead),
    CrashPoint::Answer(Cut::Chunk),
    CrashPoint::Answer(Cut::LastChunk),
    CrashPoint::Answer(Cut::Unframed),
];
/// Longer than a crashed upstream takes to listen again and its node to see that.
const BACK: Duration = Duration::from_millis(1_500);
/// Times that the request comes.
const TIMES: usize = 6;
/// Crashes after which a request has to be refused.
const CRASHES: u64 = 3;
/// Time that the other requests run.
const RUN_TIME: Duration = Duration::from_millis(150);
/// Number of requests that are open beside the one that ends the upstream.
const OPEN: usize = 6;
const DEADLINE_MS: u64 = 2_000;

fn crashes(fleet: &Fleet) -> u64 {
    fleet.members.iter().map(|member| member.upstream.crashes()).sum()
}

async fn start(point: CrashPoint) -> Fleet {
    let fleet = Fleet::start(&["z", "z", "z"]).await;
    fleet.members.iter().for_each(|member| *member.upstream.poison.lock() = Some(point));
    fleet
}

/// Sends the request that ends upstreams to one node after the other; returns the last status.
async fn send_poison(fleet: &Fleet) -> u16 {
    let body = "b".repeat(60_000);
    let mut status = 0;
    for number in 0..TIMES {
        let id = format!("{POISON}-{number}");
        let path = format!("/post/{POISON}");
        let text = caller::request("POST", &path, &id, DEADLINE_MS, &body);
        status = caller::try_send(fleet.callers(number % 3), &text).await.status;
        tokio::time::sleep(BACK).await;
    }
    status
}

/// A crash was looked for only if the connection was lost before the head of the answer, so that a request
/// which ended upstreams later was never refused.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn request_that_ends_upstreams_at_any_point_is_refused() {
    let checks = POINTS.map(|point| {
        tokio::spawn(async move {
            let fleet = start(point).await;
            let status = send_poison(&fleet).await;
            assert_eq!(status, 503, "{point:?}");
            assert!(crashes(&fleet) <= CRASHES, "{point:?}: {} crashes", crashes(&fleet));
        })
    });
    for check in checks {
        check.await.expect("a check failed");
    }
}

/// The connection of a caller that leaves takes that to the upstream with it, and nothing looked whether the
/// request had ended it all the same.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn request_that_ends_upstreams_after_its_caller_has_left_is_refused() {
    let fleet = start(CrashPoint::Left).await;
    fleet.members.iter().for_each(|member| *member.upstream.delay.lock() = RUN_TIME);
    for number in 0..TIMES {
        let id = format!("{POISON}-{number}");
        let text = caller::request("GET", &format!("/get/{POISON}"), &id, DEADLINE_MS, "");
        let stream = TcpStream::connect(fleet.callers(number % 3)).await;
        let mut stream = stream.expect("could not connect to the node");
        stream.write_all(text.as_bytes()).await.expect("could not send the request");
        tokio::time::sleep(RUN_TIME / 3).await;
        drop(stream);
        tokio::time::sleep(BACK).await;
    }
    assert!((1..=CRASHES).contains(&crashes(&fleet)), "{} crashes", crashes(&fleet));
}

/// Requests sent ahead on a connection end with it, here when the caller has the answer to the first one.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn request_sent_ahead_that_ends_upstreams_is_refused() {
    let fleet = start(CrashPoint::Answer(Cut::Body)).await;
    for number in 0..TIMES {
        let get = |path: &str, name: &str| {
            caller::request("GET", path, &format!("{name}-{number}"), DEADLINE_MS, "")
        };
        let path = format!("/get/{POISON}");
        let text = get("/get/1", "first") + &get(&path, POISON) + &get("/get/2", "last");
        let _ = caller::try_send(fleet.callers(number % 3), &text).await;
        tokio::time::sleep(BACK).await;
    }
    assert!((1..=CRASHES).contains(&crashes(&fleet)), "{} crashes", crashes(&fleet));
}

/// All requests that were open on an upstream when it crashed were put down as its cause, so that those which
/// met two such crashes were refused for minutes.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn requests_open_beside_one_that_ends_upstreams_are_served() {
    let fleet = start(CrashPoint::Answer(Cut::Body)).await;
    fleet.members.iter().for_each(|member| *member.upstream.delay.lock() = RUN_TIME);
    let send = |node: usize, path: String, id: String| {
        let addr = fleet.callers(node);
        tokio::spawn(async move {
            let text = caller::request("GET", &path, &id, DEADLINE_MS, "");
            caller::try_send(addr, &text).await.status
        })
    };
    let ends = Instant::now() + Duration::from_secs(4);
    let mut round = 0;
    while Instant::now() < ends {
        let mut open = Vec::new();
        for node in 0..3 {
            for number in 0..OPEN {
                open.push(send(node, format!("/get/{number}"), format!("{round}-{node}-{number}")));
            }
        }
        tokio::time::sleep(RUN_TIME / 3).await;
        open.push(send(round % 3, format!("/get/{POISON}"), format!("{POISON}-{round}")));
        for request in open {
            request.await.expect("a caller panicked");
        }
        round += 1;
    }
    tokio::time::sleep(BACK).await;
    assert!((1..=CRASHES).contains(&crashes(&fleet)), "{} crashes", crashes(&fleet));
    for number in 0..OPEN {
        let (path, id) = (format!("/get/{number}"), format!("end-{number}"));
        assert_eq!(fleet.get(number % 3, &path, &id).await.status, 200, "{path}");
    }
}
