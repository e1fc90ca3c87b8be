//! Tests that the checks of `bbv-soak` detect violations.

use std::net::SocketAddr;
use std::process::Command;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use bbv_soak::bursts::{self, Action, Step};
use bbv_soak::callers::{Caller, Habit};
use bbv_soak::calm::{BOUND, Disturbances, SETTLING_TIME};
use bbv_soak::checker::Checker;
use bbv_soak::cold;
use bbv_soak::departures;
use bbv_soak::faults::Fault;
use bbv_soak::force::ForceMonitor;
use bbv_soak::growth;
use bbv_soak::history::{History, MAX_ROUTES, Mark};
use bbv_soak::leaving::{Absence, late_requests};
use bbv_soak::memory::{self, MemoryMonitor};
use bbv_soak::outages;
use bbv_soak::pieces;
use bbv_soak::poison;
use bbv_soak::request;
use bbv_soak::served::Served;
use bbv_soak::store_faults;
use bbv_soak::versions::{VersionMonitor, version_route};
use bbv_stand::fleet::Fleet;
use bbv_stand::upstream::{POISON, ReceivedRequest, Upstream};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Answers each request, whose head starts as passed, with the status that `status` returns for it.
async fn serve_statuses(listener: TcpListener, status: impl Fn(&str) -> &'static str) {
    while let Ok((mut stream, _)) = listener.accept().await {
        let mut bytes = [0_u8; 1_024];
        let len = stream.read(&mut bytes).await.expect("could not read the request");
        let status = status(&String::from_utf8_lossy(&bytes[..len]));
        let text = format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n");
        stream.write_all(text.as_bytes()).await.expect("could not write the answer");
    }
}

/// Returns the status of a route that is there or not.
fn status_if(found: bool) -> &'static str {
    if found { "200 OK" } else { "404 Not Found" }
}

/// Answers 200 on the route of the version in force, and 404 on any other.
async fn serve(listener: TcpListener, in_force: Arc<AtomicU64>) {
    let status = |text: &str| {
        let path = format!("GET /{}/1 ", version_route(in_force.load(Ordering::SeqCst)));
        status_if(text.starts_with(&path))
    };
    serve_statuses(listener, status).await;
}

/// Returns the violations found at a node where each version is in force for a while, with a
/// restart before the last one if `restarted`.
async fn monitor(versions: [u64; 3], restarted: bool) -> Vec<String> {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("could not bind a port");
    let node = listener.local_addr().expect("could not get the local address");
    let in_force = Arc::new(AtomicU64::new(versions[0]));
    let (newest, generation) = (Arc::new(AtomicU64::new(versions[0])), Arc::new(AtomicU64::new(0)));
    let (stop, checker) = (Arc::new(AtomicBool::new(false)), Arc::new(Checker::default()));
    tokio::spawn(serve(listener, Arc::clone(&in_force)));
    let monitor = VersionMonitor {
        node,
        newest: Arc::clone(&newest),
        generation: Arc::clone(&generation),
        stop: Arc::clone(&stop),
    };
    let task = tokio::spawn(monitor.run("node".to_owned(), Arc::clone(&checker)));
    for (index, version) in versions.into_iter().enumerate() {
        if restarted && index == 2 {
            generation.fetch_add(1, Ordering::SeqCst);
        }
        in_force.store(version, Ordering::SeqCst);
        newest.fetch_max(version, Ordering::SeqCst);
        tokio::time::sleep(Duration::from_millis(700)).await;
    }
    stop.store(true, Ordering::SeqCst);
    task.await.expect("could not join the version monitor");
    checker.check(&[])
}

#[tokio::test]
async fn return_to_older_routing_is_detected() {
    assert!(monitor([1, 4, 6], false).await.is_empty(), "versions only increase");
    assert!(!monitor([1, 4, 1], false).await.is_empty(), "returns to an older version");
    assert!(monitor([1, 4, 1], true).await.is_empty(), "restarted before the older version");
}

#[tokio::test]
async fn overload_of_cold_upstream_is_detected() {
    for (requests, violations) in [(57, 0), (58, 1)] {
        let addr = SocketAddr::from(([127, 0, 0, 1], 0));
        let upstream = Upstream::start("i", addr).await;
        upstream.turn_cold(Duration::from_secs(3));
        let at = |number: u64| Duration::from_millis(1_000 + number * 10);
        let runs = (0..requests)
            .map(|number| ReceivedRequest { at: at(number), ..ReceivedRequest::default() });
        upstream.requests.lock().extend(runs);
        assert_eq!(cold::overloads(&upstream).len(), violations, "{requests} requests");
    }
}

/// Answers each connection with `head` and an empty body.
async fn answer_all(listener: TcpListener, head: String) {
    while let Ok((mut stream, _)) = listener.accept().await {
        let mut bytes = [0_u8; 1_024];
        let len = stream.read(&mut bytes).await.expect("could not read the request");
        assert!(len > 0, "the caller closed the connection");
        let text = format!("{head}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
        stream.write_all(text.as_bytes()).await.expect("could not write the answer");
    }
}

/// Returns the violations that a caller finds at a node that answers with `head`.
async fn violations_of(head: &str) -> Vec<String> {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("could not bind a port");
    let addr = listener.local_addr().expect("could not get the local address");
    tokio::spawn(answer_all(listener, format!("HTTP/1.1 {head}")));
    let (stop, checker) = (Arc::new(AtomicBool::new(false)), Arc::new(Checker::default()));
    let caller = Caller {
        addr,
        node: 3,
        name: "c3.0".to_owned(),
        checker: Arc::clone(&checker),
        stop: Arc::clone(&stop),
        next: Arc::default(),
        habit: Habit::Closes,
        rng: SmallRng::seed_from_u64(1),
        sizes: SmallRng::seed_from_u64(1),
    };
    let task = tokio::spawn(caller.run());
    while checker.counts().0 == 0 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    stop.store(true, Ordering::SeqCst);
    task.await.expect("could not join the caller");
    checker.check(&[])
}

/// A node with an incomplete view of its configuration, or that takes a part of a request for the
/// whole, ends requests with a status that blames the caller, who doesn't send them again.
#[tokio::test]
async fn denied_requests_are_detected() {
    let found = violations_of("404 Not Found\r\nBbv-Reason: no-route").await;
    assert_eq!(found[0], "c3.0-0: node 3 denied it: 404, reason no-route");
    for status in ["300 Multiple Choices", "400 Bad Request", "431 Too Large", "499 Other"] {
        assert!(!violations_of(status).await.is_empty(), "{status} is a denial");
    }
    for status in ["408 Timeout", "421 Misdirected", "429 Too Many", "503 Unavailable"] {
        assert!(violations_of(status).await.is_empty(), "{status} is allowed");
    }
    let signed = "404 Not Found\r\nBluebellvale-Response-Signature: s";
    assert!(violations_of(signed).await.is_empty(), "the upstream's own status");
}

/// Requests of varying form are only proper within the published limits, of which the first is a
/// head of 16,384 bytes.
#[test]
fn drawn_requests_keep_to_the_limits() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut largest = 0;
    for method in ["GET", "POST"].repeat(500) {
        let start = format!("{method} /x/1 HTTP/1.1\r\nHost: a.example\r\n");
        let text = request::draw(&mut rng, start);
        let (head, body) = text.split_once("\r\n\r\n").expect("the head has no end");
        assert!(head.lines().count() <= 501, "more than 500 header fields");
        assert!(body.is_empty() == (method == "GET"));
        largest = largest.max(head.len() + 4);
        assert_eq!(request::cut(&mut rng, &text).concat(), text.as_bytes());
    }
    assert_eq!(largest, 16_384);
}

/// A pause or refusal that a burst starts and never ends would hide a node from the rest of a run.
#[test]
fn bursts_end_what_they_start() {
    let mut rng = SmallRng::seed_from_u64(1);
    let (mut most_nodes, mut most_versions) = (0, 0);
    for _ in 0..500 {
        let start = Duration::from_secs(3);
        let steps = bursts::draw(&mut rng, 5, start);
        assert!(steps.iter().all(|step| step.at >= start));
        let count =
            |wanted: fn(&Action) -> bool| steps.iter().filter(|step| wanted(&step.action)).count();
        let pauses = |node| {
            let of_node = |step: &&Step| matches!(step.action, Action::Inject(index, Fault::Pause) if index == node);
            steps.iter().filter(of_node).count()
        };
        assert!((0..5).all(|node| pauses(node) % 2 == 0));
        let refusals = count(|action| matches!(action, Action::Inject(_, Fault::Refuse(true))));
        let ends = count(|action| matches!(action, Action::Inject(_, Fault::Refuse(false))));
        assert_eq!(refusals, ends);
        let kills = count(|action| matches!(action, Action::Inject(_, Fault::Kill)));
        most_nodes = most_nodes.max(kills);
        most_versions = most_versions.max(count(|action| matches!(action, Action::Publish)));
    }
    assert!(most_nodes >= 5 && most_versions >= 5, "{most_nodes} kills, {most_versions} versions");
}

/// Answers 200 on the routes that a version has, and 404 on any other; the version is the number
/// in `in_force`, and adds ten routes where its number is odd.
async fn serve_marks(listener: TcpListener, in_force: Arc<AtomicU64>) {
    let status = |text: &str| {
        let number = in_force.load(Ordering::SeqCst);
        let mut marks = vec![Mark::Only(number)];
        marks.extend((1..=number).map(Mark::Since));
        marks.extend((0..if number % 2 == 1 { 10 } else { 0 }).map(Mark::Added));
        status_if(marks.iter().any(|mark| text.starts_with(&format!("GET /{}/1 ", mark.name()))))
    };
    serve_statuses(listener, status).await;
}

/// Returns the violations found within 400 ms at a node that has version `in_force`, where versions
/// 1 to 3 were acknowledged at `acked`; the node is `disturbed` before if so.
async fn force_violations(in_force: u64, acked: Instant, disturbed: bool) -> Vec<String> {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("could not bind a port");
    let node = listener.local_addr().expect("could not get the local address");
    tokio::spawn(serve_marks(listener, Arc::new(AtomicU64::new(in_force))));
    let history = Arc::new(History::default());
    let disturbances = Arc::new(Disturbances::since(acked, BOUND));
    for number in 1..=3 {
        history.begin(number, if number % 2 == 1 { 10 } else { 0 });
        history.acknowledge(acked);
    }
    disturbances.set(disturbed);
    disturbances.set(false);
    tokio::time::sleep(Duration::from_millis(2)).await;
    let (stop, checker) = (Arc::new(AtomicBool::new(false)), Arc::new(Checker::default()));
    let monitor = ForceMonitor {
        name: "node".to_owned(),
        node,
        history,
        disturbances,
        checker: Arc::clone(&checker),
        stop: Arc::clone(&stop),
        rng: SmallRng::seed_from_u64(1),
        reported: 0,
        served: Served::default(),
    };
    let task = tokio::spawn(monitor.run());
    tokio::time::sleep(Duration::from_millis(400)).await;
    stop.store(true, Ordering::SeqCst);
    task.await.expect("could not join the monitor");
    checker.check(&[])
}

/// A node that keeps an older version, or a part of it, serves dropped routes and denies added ones.
#[tokio::test]
async fn routing_that_is_late_is_detected() {
    let now = Instant::now();
    let late = now - BOUND;
    for (in_force, acked, disturbed, count) in [
        (3, late, false, 0),
        (2, late, false, 1),
        (1, late, false, 1),
        (2, now, false, 0),
        (2, late, true, 0),
    ] {
        let found = force_violations(in_force, acked, disturbed).await;
        assert_eq!(found.len(), count, "{in_force} in force, disturbed {disturbed}: {found:?}");
    }
}

/// A node that takes an invalid version serves a route that no valid one has.
#[tokio::test]
async fn invalid_version_is_detected() {
    for (serves, count) in [(None, 0), (Some(3), 0), (Some(4), 1)] {
        let found = site_violations(serves, "200 OK").await;
        assert_eq!(found.len(), count, "serves the invalid version {serves:?}: {found:?}");
    }
}

/// A node that knows an added route but ends its requests in another way than 404 does not serve it.
#[tokio::test]
async fn added_route_that_is_not_served_is_detected() {
    assert!(site_violations(None, "200 OK").await.is_empty());
    let found = site_violations(None, "502 Bad Gateway").await;
    assert_eq!(found.len(), 1, "{found:?}");
    assert!(found[0].contains("requests on added routes"), "{found:?}");
}

/// Returns the violations at a node that answers added routes with `status` and serves the route of the
/// invalid version `invalid`, if any; version 4 is the one that was published.
async fn site_violations(invalid: Option<u64>, status: &'static str) -> Vec<String> {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("could not bind a port");
    let node = listener.local_addr().expect("could not get the local address");
    let served = invalid.map(|number| format!("GET /{}/1 ", Mark::Invalid(number).name()));
    tokio::spawn(serve_statuses(listener, move |text| {
        let starts = |name: &str| text.starts_with(&format!("GET /{name}/1 "));
        let first = starts("get") || served.as_ref().is_some_and(|path| text.starts_with(path));
        if starts(&Mark::Since(2).name()) { status } else { status_if(first) }
    }));
    let fleet = Fleet::without_nodes(&["a"]).await;
    let history = Arc::new(History::default());
    let acked = Instant::now() - BOUND;
    (1..=2).for_each(|number| {
        history.begin(number, 0);
        history.acknowledge(acked);
    });
    history.publish_invalid(&fleet, 4);
    let (stop, checker) = (Arc::new(AtomicBool::new(false)), Arc::new(Checker::default()));
    let monitor = ForceMonitor {
        name: "node".to_owned(),
        node,
        history,
        disturbances: Arc::new(Disturbances::since(acked, BOUND)),
        checker: Arc::clone(&checker),
        stop: Arc::clone(&stop),
        rng: SmallRng::seed_from_u64(1),
        reported: 0,
        served: Served::default(),
    };
    let task = tokio::spawn(monitor.run());
    tokio::time::sleep(Duration::from_secs(6)).await;
    stop.store(true, Ordering::SeqCst);
    task.await.expect("could not join the monitor");
    checker.check(&[])
}

/// Each series has an outage that ends, a version just before it, some after it, and an invalid one that is
/// replaced.
#[test]
fn outages_come_between_versions_and_end() {
    let mut rng = SmallRng::seed_from_u64(1);
    for _ in 0..200 {
        let mut steps = outages::draw(&mut rng, 350, Duration::from_secs(3));
        steps.sort_by_key(|step| step.at);
        let at = |wanted: fn(&Action) -> bool| {
            steps.iter().filter(|step| wanted(&step.action)).map(|step| step.at).collect::<Vec<_>>()
        };
        let (start, end) = (
            at(|action| matches!(action, Action::Outage(true)))[0],
            at(|action| matches!(action, Action::Outage(false)))[0],
        );
        let added = at(|action| matches!(action, Action::Resize(_)));
        assert!(added[0] <= start && added[1..].iter().all(|at| *at >= end));
        let invalid = at(|action| matches!(action, Action::PublishInvalid))[0];
        assert!(at(|action| matches!(action, Action::Publish)).iter().any(|at| *at > invalid));
        assert!(start < end && end - start < SETTLING_TIME + Duration::from_secs(1));
    }
}

/// A request to an upstream that leaves counts only if it is late at both nodes it has crossed.
#[test]
fn requests_to_leaving_upstreams_are_detected() {
    let started = Instant::now() - Duration::from_secs(60);
    let at = |ms: u64| started + Duration::from_millis(ms);
    let absence = |end| Absence { node: 1, acked: at(10_000), end };
    let run = |id: &str, ms: u64| ReceivedRequest {
        at: Duration::from_millis(ms),
        headers: [("bluebellvale-attempt-id".to_owned(), id.to_owned())].into(),
        ..ReceivedRequest::default()
    };
    let calm = || Arc::new(Disturbances::since(started, BOUND));
    let disturbed = || {
        let node = Disturbances::since(started, BOUND);
        node.add_span(at(11_000), Some(at(12_000)));
        Arc::new(node)
    };
    let late = |id: &str, ms: u64, end: Option<u64>, nodes: &[Arc<Disturbances>]| {
        late_requests(&absence(end.map(at)), &[run(id, ms)], started, nodes).is_some()
    };
    let calm_nodes = [calm(), calm()];
    assert!(!late("c0.1-7", 11_900, None, &calm_nodes), "within the bound");
    assert!(late("c0.1-7", 12_100, None, &calm_nodes), "later than the bound");
    assert!(!late("c0.1-7", 12_100, Some(12_050), &calm_nodes), "it has returned");
    assert!(!late("probe", 12_100, None, &calm_nodes), "no caller's request");
    for nodes in [[calm(), disturbed()], [disturbed(), calm()]] {
        let settled = 12_000 + SETTLING_TIME.as_millis() as u64;
        assert!(!late("c0.1-7", 11_500, None, &nodes), "disturbed");
        assert!(!late("c0.1-7", settled - 100, None, &nodes), "still settling");
        assert!(late("c0.1-7", settled + 100, None, &nodes), "calm again");
    }
}

/// A series without a large configuration, or whose upstream returns within the bound, finds nothing.
#[test]
fn series_have_large_configurations_and_long_absences() {
    let mut rng = SmallRng::seed_from_u64(1);
    let (mut largest, mut shrinks) = (0, 0);
    for _ in 0..200 {
        let mut steps = growth::draw(&mut rng, 4, MAX_ROUTES, Duration::from_secs(3));
        steps.sort_by_key(|step| step.at);
        let time = |wanted: fn(&Action) -> bool| {
            steps.iter().find(|step| wanted(&step.action)).expect("a step is missing").at
        };
        let absence = time(|action| matches!(action, Action::Return(_)))
            - time(|action| matches!(action, Action::Leave(_)));
        assert!(absence > BOUND + Duration::from_secs(1));
        let counts: Vec<usize> = steps
            .iter()
            .filter_map(
                |step| if let Action::Resize(count) = step.action { Some(count) } else { None },
            )
            .collect();
        shrinks += counts.windows(2).filter(|pair| pair[1] < pair[0]).count();
        largest = largest.max(counts.iter().copied().max().unwrap_or(0));
    }
    assert!(largest == MAX_ROUTES && shrinks > 50, "{largest} routes, {shrinks} smaller versions");
}

/// Faults of the store that no run played: a watch cut alone, only the store's connections silent, and the
/// history forgotten while several upstreams leave, each long enough for its check.
#[test]
fn faults_of_the_store_have_long_departures() {
    let mut rng = SmallRng::seed_from_u64(1);
    let (mut cuts, mut silences, mut forgotten) = (0, 0, 0);
    for _ in 0..200 {
        let steps = store_faults::draw(&mut rng, 4, Duration::from_secs(3));
        let count =
            |wanted: fn(&Action) -> bool| steps.iter().filter(|step| wanted(&step.action)).count();
        let removed = count(|action| matches!(action, Action::Remove(_)));
        cuts += count(|action| matches!(action, Action::Cut(_)));
        silences += count(|action| matches!(action, Action::Silence));
        if count(|action| matches!(action, Action::Forget)) > 0 {
            forgotten += 1;
            assert_eq!(removed, 2);
        }
        for step in &steps {
            let Action::Remove(node) = step.action else { continue };
            let is_return =
                |other: &&Step| matches!(other.action, Action::Return(it) if it == node);
            let returns = steps.iter().find(is_return).expect("an upstream does not return");
            assert!(returns.at > step.at + SETTLING_TIME + BOUND);
        }
    }
    assert!(cuts > 50 && silences > 20 && forgotten > 20, "{cuts} {silences} {forgotten}");
}

/// The users' store takes items of less than 1 MB.
#[tokio::test]
async fn largest_configuration_is_close_to_the_limit_of_an_item() {
    let fleet = Fleet::without_nodes(&["a"]).await;
    let history = History::default();
    let len = AtomicU64::new(0);
    history.publish(&fleet, 1_000, MAX_ROUTES, |config| {
        len.store(config.to_string().len() as u64, Ordering::SeqCst);
    });
    let len = len.load(Ordering::SeqCst);
    assert!((900_000..1_000_000).contains(&len), "{len} bytes");
}

/// Callers that gave up a connection on SIGTERM would not meet a node that still reads from it.
#[tokio::test]
async fn callers_keep_connections_that_are_asked_to_close() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("could not bind a port");
    let addr = listener.local_addr().expect("could not get the local address");
    for (habit, kept) in [(Habit::Closes, false), (Habit::Keeps, true), (Habit::Pieces, true)] {
        let (stop, checker) = (Arc::new(AtomicBool::new(false)), Arc::new(Checker::default()));
        let caller = Caller {
            addr,
            node: 0,
            name: "c0.0".to_owned(),
            checker,
            stop: Arc::clone(&stop),
            next: Arc::default(),
            habit,
            rng: SmallRng::seed_from_u64(1),
            sizes: SmallRng::seed_from_u64(1),
        };
        let task = tokio::spawn(caller.run());
        let (mut stream, _) = listener.accept().await.expect("no connection");
        answer_and_close(&mut stream).await;
        let mut byte = [0_u8; 1];
        let len = stream.read(&mut byte).await.expect("could not read");
        assert_eq!(len > 0, kept, "{habit:?}");
        stop.store(true, Ordering::SeqCst);
        drop(stream);
        task.abort();
    }
}

/// Reads a head from `stream` and answers that the connection is to be closed.
async fn answer_and_close(stream: &mut TcpStream) {
    let mut text = String::new();
    while !text.contains("\r\n\r\n") {
        let mut bytes = [0_u8; 4_096];
        let len = stream.read(&mut bytes).await.expect("could not read the request");
        text.push_str(&String::from_utf8_lossy(&bytes[..len]));
    }
    let answer = "HTTP/1.1 503 Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
    stream.write_all(answer.as_bytes()).await.expect("could not write the answer");
}

/// A process beyond its memory has to be killed and reported, or a soak would not see that one grows.
#[tokio::test]
async fn process_beyond_its_memory_is_killed_and_reported() {
    let mut child = Command::new("sleep").arg("60").spawn().expect("could not start a process");
    let (stop, checker) = (Arc::new(AtomicBool::new(false)), Arc::new(Checker::default()));
    let killed = Arc::new(AtomicBool::new(false));
    let monitor = |limit| MemoryMonitor {
        id: Arc::new(AtomicU32::new(child.id())),
        limit,
        peak: Arc::default(),
        killed: Arc::clone(&killed),
        stop: Arc::clone(&stop),
    };
    let small = memory::resident(child.id()) + (1 << 20);
    let tasks = [monitor(small), monitor(1)];
    let tasks =
        tasks.map(|monitor| tokio::spawn(monitor.run("n".to_owned(), Arc::clone(&checker))));
    tokio::time::sleep(Duration::from_millis(500)).await;
    stop.store(true, Ordering::SeqCst);
    for task in tasks {
        task.await.expect("could not join the monitor");
    }
    let violations = checker.check(&[]);
    assert_eq!(violations.len(), 1, "{violations:?}");
    assert!(violations[0].ends_with("bytes resident, 1 allowed"), "{violations:?}");
    assert!(child.try_wait().expect("could not look at the process").is_some(), "it still runs");
}

/// Pieces that only have usual sizes would not show what a small one costs.
#[test]
fn pieces_of_all_sizes_are_drawn() {
    let mut rng = SmallRng::seed_from_u64(1);
    let sizes: Vec<usize> = (0..1_000).map(|_| pieces::draw_size(&mut rng)).collect();
    for (least, most) in [(1, 1), (2, 15), (16, 255), (256, 4_095), (4_096, 32_767)] {
        assert!(sizes.iter().any(|size| (least..=most).contains(size)), "{least} to {most}");
    }
}

/// Returns what is found if a request ends three upstreams one after the other and then runs `late` times
/// more, some time after the third.
async fn poison_violation(late: u32) -> Option<String> {
    let (mut upstreams, mut nodes) = (Vec::new(), Vec::new());
    for number in 0..3 {
        let addr = SocketAddr::from(([127, 0, 0, 1], 0));
        let upstream = Upstream::start("i", addr).await;
        let run = |at| ReceivedRequest {
            at,
            request_line: format!("POST /post/{POISON} HTTP/1.1"),
            ..ReceivedRequest::default()
        };
        upstream.requests.lock().push(run(Duration::from_secs(number)));
        if number == 0 {
            let after = SETTLING_TIME + Duration::from_secs(3);
            let times = (0..late).map(|late| after + Duration::from_millis(u64::from(late)));
            upstream.requests.lock().extend(times.map(run));
        }
        upstreams.push(upstream);
        nodes.push(Arc::new(Disturbances::since(Instant::now(), BOUND)));
    }
    poison::violation(&upstreams, &nodes)
}

/// A request that ends upstreams may run three times more once it has ended the third.
#[tokio::test]
async fn runs_of_a_request_that_ended_three_upstreams_are_found() {
    assert_eq!(poison_violation(3).await, None);
    assert!(poison_violation(4).await.is_some_and(|violation| violation.starts_with("4 runs")));
}

/// Upstreams leave within 1.2 s after a cut that outlasts their entries.
#[test]
fn departures_follow_a_cut() {
    for seed in 0..50 {
        let steps = departures::draw(&mut SmallRng::seed_from_u64(seed), 4, Duration::ZERO);
        let end = steps[1].at;
        assert!(end >= Duration::from_millis(4_600), "seed {seed}: a cut of {end:?}");
        let is_departure = |step: &&Step| matches!(step.action, Action::Remove(_));
        let departures: Vec<&Step> = steps.iter().filter(is_departure).collect();
        assert_eq!(departures.len(), 3, "seed {seed}");
        for step in departures {
            assert!(step.at >= end && step.at <= end + Duration::from_millis(1_200));
        }
    }
}
