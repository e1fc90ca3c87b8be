//! Requests that a caller sends ahead on one connection: they run side by side, are answered in order,
//! and end with the connection.

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use bbv_stand::caller;
use bbv_stand::fleet::{Fleet, config, limits, wait_until};
use bbv_stand::upstream::Behaviour;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Time that each request runs.
const RUN_TIME: Duration = Duration::from_millis(300);
/// Time after which the answer to a request counts as missing.
const PATIENCE: Duration = Duration::from_secs(5);
/// Requests of one connection that may be open before their turn.
const MAX_AHEAD: usize = 16;
/// Requests that fit into the node and its socket, but not into the node alone.
const UNREAD_REQUESTS: usize = 600;
/// Bytes that the HTTP library reads at once from a new connection.
const LIBRARY_BUFFER: usize = 8_192;
/// Bytes that are kept to be read a second time.
const COPIED_BYTES: usize = 65_536;
/// Time within which requests of a caller that has left end.
const LEAVE_LIMIT: Duration = Duration::from_millis(500);

fn get(id: &str) -> String {
    caller::request("GET", "/get/1", id, 4_000, "")
}

fn post(id: &str) -> String {
    caller::request("POST", "/post/1", id, 4_000, "body")
}

/// Returns a request that may not run twice, without a body.
fn post_bare(id: &str) -> String {
    caller::request("POST", "/post/1", id, 4_000, "")
}

fn gets(ids: std::ops::Range<usize>) -> String {
    ids.map(|index| get(&format!("id-{index}"))).collect()
}

async fn start(run_time: Duration) -> Fleet {
    let fleet = Fleet::start(&["z"]).await;
    *fleet.members[0].upstream.delay.lock() = run_time;
    fleet
}

async fn connect(fleet: &Fleet) -> TcpStream {
    TcpStream::connect(fleet.callers(0)).await.expect("connect to the node")
}

async fn send(stream: &mut TcpStream, text: &str) {
    stream.write_all(text.as_bytes()).await.expect("write to an open connection");
}

/// Reads responses until `count` have arrived or the connection is closed. Returns status and id of
/// each, and whether it was closed.
async fn read(stream: &mut TcpStream, count: usize) -> (Vec<(u16, String)>, bool) {
    let (mut text, mut chunk) = (String::new(), [0_u8; 4_096]);
    let mut responses = Vec::new();
    loop {
        while let Some(response) = take_response(&mut text) {
            responses.push(response);
        }
        if responses.len() >= count {
            return (responses, false);
        }
        let read = tokio::time::timeout(PATIENCE, stream.read(&mut chunk)).await;
        match read.unwrap_or_else(|_| panic!("no more after {responses:?} and {text:?}")) {
            Ok(len) if len > 0 => text.push_str(&String::from_utf8_lossy(&chunk[..len])),
            _ => return (responses, true),
        }
    }
}

/// Removes the first response from `text`, and returns its status and id.
fn take_response(text: &mut String) -> Option<(u16, String)> {
    let (head, rest) = text.split_once("\r\n\r\n")?;
    let response = caller::Response { head: head.to_owned(), ..caller::Response::default() };
    let length = response.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    let status = head.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0);
    let id = response.header("bluebellvale-attempt-id").unwrap_or("none").to_owned();
    let rest = rest.get(length..)?.to_owned();
    *text = rest;
    Some((status, id))
}

fn answered(ids: std::ops::Range<usize>) -> Vec<(u16, String)> {
    ids.map(|index| (200, format!("id-{index}"))).collect()
}

/// The library read each request only after the response before it, so that their times added up.
#[tokio::test]
async fn requests_in_one_write_run_side_by_side_and_are_answered_in_order() {
    let fleet = start(RUN_TIME).await;
    let mut stream = connect(&fleet).await;
    for round in 0..3 {
        let ids = round * 6..round * 6 + 6;
        let started = Instant::now();
        send(&mut stream, &gets(ids.clone())).await;
        assert_eq!(read(&mut stream, 6).await, (answered(ids), false));
        assert!(started.elapsed() < RUN_TIME * 2, "took {:?}", started.elapsed());
    }
    assert_eq!(fleet.runs(), 18);
}

/// A request arrives while the one before it runs, and each is cut at some byte.
#[tokio::test]
async fn requests_in_pieces_over_time_run_side_by_side() {
    let fleet = start(RUN_TIME).await;
    let mut stream = connect(&fleet).await;
    let started = Instant::now();
    for (index, cut) in [10, 100, 1, 60].into_iter().enumerate() {
        let text = get(&format!("id-{index}"));
        send(&mut stream, &text[..cut]).await;
        tokio::time::sleep(Duration::from_millis(10)).await;
        send(&mut stream, &text[cut..]).await;
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    assert_eq!(read(&mut stream, 4).await, (answered(0..4), false));
    assert!(started.elapsed() < RUN_TIME * 2, "took {:?}", started.elapsed());
}

#[tokio::test]
async fn slow_first_request_holds_the_others_answers_but_not_their_work() {
    let fleet = start(RUN_TIME * 3).await;
    let upstream = &fleet.members[0].upstream;
    let mut stream = connect(&fleet).await;
    send(&mut stream, &get("id-0")).await;
    wait_until("the first request runs", || fleet.runs() == 1).await;
    *upstream.delay.lock() = Duration::ZERO;
    send(&mut stream, &gets(1..5)).await;
    wait_until("the others have run", || {
        fleet.runs() == 5 && upstream.running.load(Ordering::Relaxed) == 1
    })
    .await;
    let early = tokio::time::timeout(RUN_TIME, stream.read(&mut [0_u8; 1])).await;
    assert!(early.is_err(), "an answer came before its turn");
    assert_eq!(read(&mut stream, 5).await, (answered(0..5), false));
}

/// Bytes of further requests lie unread when the caller leaves, which the library does not notice.
#[tokio::test]
async fn caller_that_leaves_ends_all_its_requests() {
    let fleet = start(Duration::from_secs(4)).await;
    let upstream = &fleet.members[0].upstream;
    // More requests than may start, half a request, a request that waits for its turn, more bytes than
    // the node reads.
    let cases =
        [String::new(), gets(4..40), "GET /ge".to_owned(), post("later"), gets(4..UNREAD_REQUESTS)];
    for (case, behind) in cases.iter().enumerate() {
        for resets in [false, true] {
            let mut stream = connect(&fleet).await;
            send(&mut stream, &gets(0..4)).await;
            send(&mut stream, behind).await;
            wait_until("requests run", || upstream.running.load(Ordering::Relaxed) >= 4).await;
            tokio::time::sleep(Duration::from_millis(100)).await;
            let runs = fleet.runs();
            if resets {
                stream.set_zero_linger().expect("set the linger time");
            }
            drop(stream);
            let left = Instant::now();
            wait_until("the requests end", || upstream.running.load(Ordering::Relaxed) == 0).await;
            let took = left.elapsed();
            assert!(took < LEAVE_LIMIT, "case {case}, resets: {resets}: took {took:?}");
            assert!(fleet.runs() <= runs + MAX_AHEAD, "requests ran after the caller had left");
        }
    }
    assert!(!upstream.requests.lock().iter().any(|request| request.has_id("later")));
}

/// What lies behind the response that closes the connection has not been read.
#[tokio::test]
async fn close_in_the_middle_answers_what_came_before_and_runs_nothing_behind() {
    let fleet = start(RUN_TIME).await;
    let closing = get("id-2").replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n");
    let old = get("id-2").replace("HTTP/1.1", "HTTP/1.0");
    for last in [closing, old] {
        let before = fleet.runs();
        let mut stream = connect(&fleet).await;
        send(&mut stream, &format!("{}{last}{}", gets(0..2), gets(3..6))).await;
        assert_eq!(read(&mut stream, 6).await, (answered(0..3), true), "{last}");
        assert_eq!(fleet.runs() - before, 3, "{last}");
    }
}

/// The library keeps such a connection open.
#[tokio::test]
async fn old_version_that_keeps_the_connection_closes_nothing() {
    let fleet = start(RUN_TIME).await;
    let kept = "HTTP/1.0\r\nConnection: keep-alive";
    let mut stream = connect(&fleet).await;
    let text = format!("{}{}", gets(0..3).replace("HTTP/1.1", kept), gets(3..6));
    send(&mut stream, &text).await;
    assert_eq!(read(&mut stream, 6).await, (answered(0..6), false));
    assert_eq!(fleet.runs(), 6);
}

#[tokio::test]
async fn non_idempotent_request_waits_for_its_turn_and_runs_once() {
    for waiting in [post("id-2"), post_bare("id-2")] {
        let fleet = start(RUN_TIME).await;
        let mut stream = connect(&fleet).await;
        send(&mut stream, &format!("{}{waiting}{}", gets(0..2), gets(3..5))).await;
        wait_until("the first two run", || fleet.runs() == 2).await;
        tokio::time::sleep(RUN_TIME / 3).await;
        assert_eq!(fleet.runs(), 2, "a request ran before its turn");
        assert_eq!(read(&mut stream, 2).await, (answered(0..2), false));
        // What follows a request that runs may run beside it.
        wait_until("the others run", || fleet.runs() == 5).await;
        assert_eq!(read(&mut stream, 3).await, (answered(2..5), false));
        assert_eq!(fleet.runs(), 5);
    }
}

/// A request that waits for its turn is not passed on if the connection closes before.
#[tokio::test]
async fn non_idempotent_request_behind_a_close_never_runs() {
    let fleet = start(RUN_TIME).await;
    let mut stream = connect(&fleet).await;
    let closing = get("id-1").replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n");
    send(&mut stream, &format!("{}{closing}{}", get("id-0"), post_bare("id-2"))).await;
    assert_eq!(read(&mut stream, 3).await, (answered(0..2), true));
    tokio::time::sleep(RUN_TIME / 3).await;
    assert_eq!(fleet.runs(), 2);
}

/// Sends a request, and others behind it that run longer.
async fn send_longer_behind(fleet: &Fleet, stream: &mut TcpStream) {
    send(stream, &get("id-0")).await;
    wait_until("the first request runs", || fleet.runs() == 1).await;
    *fleet.members[0].upstream.delay.lock() = RUN_TIME * 4;
    send(stream, &format!("{}{}", gets(1..5), post("id-5"))).await;
    wait_until("the others run", || fleet.runs() == 5).await;
}

/// A stopping node answers what it has passed on before it closes the connection.
#[tokio::test]
async fn stopping_node_answers_what_has_started() {
    for stops_late in [false, true] {
        let mut fleet = start(RUN_TIME * 2).await;
        let mut stream = connect(&fleet).await;
        let running = fleet.members[0].running.take().expect("node is running");
        let stop = if stops_late {
            let stop = tokio::spawn(running.stop());
            // The connections of callers are closed at 2.6 s, while the requests run.
            tokio::time::sleep(Duration::from_millis(2_300)).await;
            send_longer_behind(&fleet, &mut stream).await;
            stop
        } else {
            send_longer_behind(&fleet, &mut stream).await;
            tokio::spawn(running.stop())
        };
        assert_eq!(read(&mut stream, 6).await, (answered(0..5), true), "late: {stops_late}");
        assert_eq!(fleet.runs(), 5, "late: {stops_late}");
        stop.await.expect("the stop panicked");
    }
}

/// A connection that has to close as limits were raised does so though its caller always has requests
/// ahead.
#[tokio::test]
async fn connection_that_is_always_busy_closes_when_limits_are_raised() {
    let fleet = start(RUN_TIME).await;
    let (mut reading, mut writing) = connect(&fleet).await.into_split();
    let caller = tokio::spawn(async move {
        for index in 0.. {
            if writing.write_all(get(&format!("id-{index}")).as_bytes()).await.is_err() {
                return;
            }
            tokio::time::sleep(RUN_TIME / 6).await;
        }
    });
    wait_until("requests run", || fleet.runs() > 4).await;
    let mut routing = config(2, 5.0);
    routing["resources"][3] = limits(16_384, 25.0);
    fleet.store.put("op/config", &routing);
    let mut bytes = Vec::new();
    let closed = tokio::time::timeout(PATIENCE, reading.read_to_end(&mut bytes)).await;
    assert!(closed.is_ok(), "the connection stays open");
    caller.abort();
    let answers = String::from_utf8_lossy(&bytes).matches("HTTP/1.1 200 OK").count();
    assert_eq!(answers, fleet.runs(), "a request was passed on and not answered");
}

#[tokio::test]
async fn malformed_bytes_are_refused_after_the_answers_before_them() {
    let fleet = start(RUN_TIME).await;
    for bad in ["GET /get/1\r\n\r\n", "\0\0\0\0", "GET /get/1 HTTP/1.1\r\nHost : a\r\n\r\n"] {
        let before = fleet.runs();
        let mut stream = connect(&fleet).await;
        send(&mut stream, &format!("{}{bad}{}", gets(0..3), gets(3..6))).await;
        let (responses, closed) = read(&mut stream, 6).await;
        assert_eq!(responses[..3], answered(0..3), "{bad:?}");
        assert_eq!(responses[3..], [(400, "none".to_owned())], "{bad:?}");
        assert!(closed, "{bad:?}");
        assert_eq!(fleet.runs() - before, 3, "{bad:?}");
    }
}

/// A head with more fields than the library has room for is read again in its turn.
#[tokio::test]
async fn head_with_many_fields_behind_others_is_answered() {
    let fleet = start(RUN_TIME).await;
    let mut stream = connect(&fleet).await;
    let fields: String = (0..200).map(|index| format!("\r\nX-{index}: v")).collect();
    let large = get("id-2").replace("\r\n\r\n", &format!("{fields}\r\n\r\n"));
    send(&mut stream, &format!("{}{large}{}", gets(0..2), gets(3..5))).await;
    assert_eq!(read(&mut stream, 5).await, (answered(0..5), false));
    assert_eq!(fleet.runs(), 5);
    let started = Instant::now();
    send(&mut stream, &gets(5..9)).await;
    assert_eq!(read(&mut stream, 4).await, (answered(5..9), false));
    assert!(started.elapsed() < RUN_TIME * 2, "no longer side by side: {:?}", started.elapsed());
}

/// Requests without end from a caller that reads nothing: few run, and little is read.
#[tokio::test]
async fn flood_of_requests_stays_within_bounds() {
    let fleet = Fleet::start_unpublished(&["z"]).await;
    fleet.publish_with_slots(200);
    fleet.wait_until_applied().await;
    let node = &fleet.members[0].running.as_ref().expect("node is running").node;
    wait_until("the node is ready", || node.ready()).await;
    fleet.members[0].upstream.set_behaviour(Behaviour::Hangs);
    let mut stream = connect(&fleet).await;
    let text = gets(0..100_000);
    let sent = tokio::time::timeout(Duration::from_secs(1), stream.write_all(text.as_bytes()));
    assert!(sent.await.is_err(), "{} bytes were read", text.len());
    assert_eq!(fleet.runs(), MAX_AHEAD + 1);
}

/// Answers to `HEAD` have no body, whatever their length says.
#[tokio::test]
async fn head_requests_are_answered_without_a_body() {
    let fleet = start(RUN_TIME).await;
    let mut stream = connect(&fleet).await;
    let heads: String = (0..3).map(|index| get(&format!("id-{index}"))).collect();
    let started = Instant::now();
    send(&mut stream, &format!("{}{}", heads.replace("GET", "HEAD"), get("id-3"))).await;
    let (mut text, mut chunk) = (String::new(), [0_u8; 4_096]);
    while !text.ends_with("hello") {
        let read = tokio::time::timeout(PATIENCE, stream.read(&mut chunk)).await;
        let len = read.expect("answers in time").expect("read from an open connection");
        assert!(len > 0, "closed after {text:?}");
        text.push_str(&String::from_utf8_lossy(&chunk[..len]));
    }
    assert!(started.elapsed() < RUN_TIME * 2, "took {:?}", started.elapsed());
    assert_eq!(text.matches("HTTP/1.1 200 OK\r\n").count(), 4);
    assert_eq!(text.matches("hello").count(), 1, "{text:?}");
}

/// Requests with bodies wait for their turn; those between and behind them run ahead.
#[tokio::test]
async fn bodies_between_requests_arrive_unchanged() {
    let fleet = start(Duration::from_millis(20)).await;
    let mut stream = connect(&fleet).await;
    let chunked = "POST /post/1 HTTP/1.1\r\nHost: a.example\r\nBluebellvale-Attempt-Id: id-3\r\n\
                   Transfer-Encoding: chunked\r\n\r\n5;x=y\r\nGET /\r\n4\r\n\r\n\r\n\r\n0\r\n\r\n";
    let long = caller::request("POST", "/post/1", "id-5", 4_000, &"b".repeat(60_000));
    let texts = [gets(0..2), post("id-2"), chunked.to_owned(), get("id-4"), long, gets(6..9)];
    send(&mut stream, &texts.concat()).await;
    assert_eq!(read(&mut stream, 9).await, (answered(0..9), false));
    let requests = fleet.members[0].upstream.requests.lock();
    let body =
        |id: &str| requests.iter().find(|request| request.has_id(id)).map(|r| r.body.clone());
    assert_eq!(requests.len(), 9);
    assert_eq!(body("id-2"), Some(b"body".to_vec()));
    assert_eq!(body("id-3"), Some(b"GET /\r\n\r\n".to_vec()));
    assert_eq!(body("id-5"), Some(vec![b'b'; 60_000]));
}

/// A body that is refused closes the connection; nothing behind it may run.
#[tokio::test]
async fn refused_body_answers_what_came_before_and_runs_nothing_behind() {
    let fleet = start(RUN_TIME).await;
    let large = caller::request("POST", "/post/1", "id-2", 4_000, &"b".repeat(70_000));
    let unrouted = caller::request("POST", "/none/1", "id-2", 4_000, "body");
    for refused in [large, unrouted] {
        let before = fleet.runs();
        let mut stream = connect(&fleet).await;
        let text = format!("{}{refused}{}", gets(0..2), gets(3..6));
        // The node may close before all is written.
        let _ = stream.write_all(text.as_bytes()).await;
        let (responses, closed) = read(&mut stream, 6).await;
        assert_eq!(responses[..2], answered(0..2));
        assert!(responses.len() < 4 && closed, "{responses:?}");
        assert_eq!(fleet.runs() - before, 2);
    }
}

/// Bytes behind malformed ones begin no request, also where the library's buffer ends between them.
#[tokio::test]
async fn nothing_is_read_ahead_behind_malformed_bytes() {
    let fleet = start(RUN_TIME).await;
    let mut stream = connect(&fleet).await;
    let first = get("id-0");
    let malformed = "\0".repeat(LIBRARY_BUFFER - first.len());
    send(&mut stream, &format!("{first}{malformed}{}", gets(1..4))).await;
    let (responses, closed) = read(&mut stream, 5).await;
    assert_eq!(responses, [(200, "id-0".to_owned()), (400, "none".to_owned())]);
    assert!(closed);
    assert_eq!(fleet.runs(), 1);
}

/// Requests that are answered at once leave no boundary between them, so that the copy of their bytes gets
/// too long and is dropped. With a gap in it, what follows would run under other numbers, and so twice.
#[tokio::test]
async fn requests_behind_a_copy_that_is_too_long_run_once_and_in_order() {
    let fleet = start(RUN_TIME).await;
    let mut stream = connect(&fleet).await;
    let (unrouted, mut sent) = (get("none").replace("/get/", "/absent/"), 0);
    while sent <= COPIED_BYTES {
        send(&mut stream, &unrouted).await;
        assert_eq!(read(&mut stream, 1).await, (vec![(404, "none".to_owned())], false));
        sent += unrouted.len();
    }
    send(&mut stream, &gets(0..2)).await;
    wait_until("the first request runs", || fleet.runs() == 1).await;
    send(&mut stream, &gets(2..6)).await;
    assert_eq!(read(&mut stream, 6).await, (answered(0..6), false));
    let started = Instant::now();
    send(&mut stream, &gets(6..10)).await;
    assert_eq!(read(&mut stream, 4).await, (answered(6..10), false));
    assert!(started.elapsed() < RUN_TIME * 2, "no longer side by side: {:?}", started.elapsed());
    assert_eq!(fleet.runs(), 10);
}

/// A connection goes back to reading one request at a time, and forward again.
#[tokio::test]
async fn requests_ahead_and_single_requests_take_turns() {
    let fleet = start(Duration::from_millis(20)).await;
    let mut stream = connect(&fleet).await;
    let mut next = 0;
    for count in [1, 3, 1, 1, 5, 2, 1, 20, 1] {
        let ids = next..next + count;
        send(&mut stream, &gets(ids.clone())).await;
        assert_eq!(read(&mut stream, count).await, (answered(ids), false));
        next += count;
    }
    assert_eq!(fleet.runs(), next);
}
