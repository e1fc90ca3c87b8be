//! Planned stops: requests that have arrived when the node closes its connections are answered.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::time::{Duration, Instant};

use bbv_stand::caller;
use bbv_stand::fleet::{Fleet, wait_until};
use bbv_stand::process::{Process, Signal};

/// Time from the start of a stop to the close of callers' connections.
const CLOSE_AFTER: Duration = Duration::from_millis(2_600);
/// Time before and after the close for which the test occupies the node's only thread.
const MARGIN: Duration = Duration::from_millis(150);
/// Time after the close at which the rest of half a request is sent.
const REST_DELAY: Duration = Duration::from_millis(100);
const READ_TIMEOUT: Duration = Duration::from_secs(5);
/// Time from the start of a stop at which the rest of a late request is sent.
const LATE: Duration = Duration::from_millis(4_200);
/// Time that a request takes which keeps the process running until then.
const LONG_RUN_TIME: Duration = Duration::from_millis(4_600);
/// Time that the late request takes, longer than what is left of the grace period.
const RUN_TIME: Duration = Duration::from_millis(1_800);

fn connect(addr: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(addr).expect("connect to the node");
    stream.set_read_timeout(Some(READ_TIMEOUT)).expect("set the read timeout");
    stream
}

fn write(stream: &mut TcpStream, text: &str) {
    stream.write_all(text.as_bytes()).expect("write to an open connection");
}

fn request(id: &str) -> String {
    caller::request("POST", "/post/1", id, 3_000, "body")
}

/// Reads one response of a stand-in upstream, whose body is `hello`.
fn read(stream: &mut TcpStream) -> String {
    let (mut text, mut chunk) = (String::new(), [0_u8; 4_096]);
    while !text.ends_with("hello") {
        match stream.read(&mut chunk) {
            Ok(len) if len > 0 => text.push_str(&String::from_utf8_lossy(&chunk[..len])),
            ended => panic!("cut off with {ended:?} after {text:?}"),
        }
    }
    text
}

/// Requests lie in the accept queue, in the buffers of kept connections, and half in such a buffer,
/// when the node closes: all are answered.
#[tokio::test]
async fn requests_that_have_arrived_are_answered() {
    let mut fleet = Fleet::start(&["z", "z"]).await;
    let addr = fleet.callers(0);
    let kept: Vec<TcpStream> = tokio::task::spawn_blocking(move || {
        let mut kept: Vec<TcpStream> = (0..20).map(|_| connect(addr)).collect();
        for (index, stream) in kept.iter_mut().enumerate() {
            write(stream, &request(&format!("first-{index}")));
            read(stream);
        }
        kept
    })
    .await
    .expect("caller panicked");
    let running = fleet.members[0].running.take().expect("node is running");
    let started = Instant::now();
    let stop = tokio::spawn(running.stop());
    tokio::time::sleep(CLOSE_AFTER - MARGIN).await;
    // From here to the close the node's thread is busy, so that it finds everything at once.
    let mut streams: Vec<(TcpStream, String)> = Vec::new();
    for (index, mut stream) in kept.into_iter().enumerate() {
        let text = request(&format!("kept-{index}"));
        let sent = if index % 2 == 0 { text.len() } else { text.len() / 2 };
        write(&mut stream, &text[..sent]);
        streams.push((stream, text[sent..].to_owned()));
    }
    for index in 0..20 {
        let mut stream = connect(addr);
        write(&mut stream, &request(&format!("new-{index}")));
        streams.push((stream, String::new()));
    }
    assert!(started.elapsed() < CLOSE_AFTER, "the test wrote its requests too late");
    std::thread::sleep((started + CLOSE_AFTER + MARGIN).saturating_duration_since(Instant::now()));
    let answers = tokio::task::spawn_blocking(move || {
        std::thread::sleep(REST_DELAY);
        streams.iter_mut().for_each(|(stream, rest)| write(stream, rest));
        streams.iter_mut().map(|(stream, _)| read(stream)).collect::<Vec<_>>()
    });
    let answers = answers.await.expect("a request was cut off");
    assert!(answers.iter().all(|answer| answer.starts_with("HTTP/1.1 200 ")), "{answers:?}");
    assert_eq!(fleet.runs(), 60);
    stop.await.expect("the stop panicked");
    assert!(TcpStream::connect(addr).is_err(), "the node still accepts connections");
}

/// Starts a process beside each upstream of a fleet without nodes, and waits until they are ready.
async fn start_processes(fleet: &Fleet) -> Vec<Process> {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join("stop");
    let program = Path::new(env!("CARGO_BIN_EXE_bbv-mesh"));
    let start = |settings| Process::start(program, &folder, settings).expect("start a node");
    let processes = fleet.members.iter().map(|member| start(&member.settings)).collect();
    fleet.publish();
    let started = Instant::now();
    for index in 0..fleet.members.len() {
        // The process may not listen yet.
        let text = caller::request("GET", "/get/1", "ready", 900, "");
        while caller::try_send(fleet.callers(index), &text).await.status != 200 {
            assert!(started.elapsed() < Duration::from_secs(10), "node {index} is not ready");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
    processes
}

/// A request that was complete only late in the grace period was sent on, and cut off without a response
/// at its end.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn request_that_is_complete_late_in_the_grace_period_is_refused() {
    let fleet = Fleet::without_nodes(&["z", "z"]).await;
    let processes = start_processes(&fleet).await;
    let set_delay = |delay| {
        fleet.members.iter().for_each(|member| *member.upstream.delay.lock() = delay);
    };
    let (addr, before) = (fleet.callers(0), fleet.runs());
    set_delay(LONG_RUN_TIME);
    let text = caller::request("POST", "/post/1", "long", 6_000, "body");
    let long = tokio::spawn(async move { caller::send(addr, &text).await.status });
    wait_until("the long request runs", || fleet.runs() == before + 1).await;
    set_delay(RUN_TIME);
    processes[0].signal(Signal::Term).expect("send SIGTERM");
    let started = Instant::now();
    let answer = tokio::task::spawn_blocking(move || {
        let text = request("late");
        let mut stream = connect(addr);
        std::thread::sleep(CLOSE_AFTER - MARGIN);
        write(&mut stream, &text[..text.len() / 2]);
        std::thread::sleep((started + LATE).saturating_duration_since(Instant::now()));
        write(&mut stream, &text[text.len() / 2..]);
        let mut answer = String::new();
        stream.read_to_string(&mut answer).expect("read the answer");
        answer
    });
    let answer = answer.await.expect("caller panicked");
    assert!(answer.starts_with("HTTP/1.1 503 "), "{answer:?}");
    assert!(answer.to_lowercase().contains("\r\nretry-after: "), "{answer:?}");
    assert_eq!(fleet.runs(), before + 1);
    assert_eq!(long.await.expect("caller panicked"), 200);
}

/// A connection without a request is no reason to stay until the end of the grace period.
#[tokio::test]
async fn connection_that_is_never_used_does_not_delay_the_stop() {
    let mut fleet = Fleet::start(&["z"]).await;
    let _unused = connect(fleet.callers(0));
    let running = fleet.members[0].running.take().expect("node is running");
    let started = Instant::now();
    running.stop().await;
    assert!(started.elapsed() < CLOSE_AFTER + Duration::from_millis(1_200));
}
