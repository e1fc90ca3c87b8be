//! The cut between requests that are sent ahead: they reach the upstream as they were sent, however
//! their bytes are split, and malformed ones hide no further request.

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bbv_stand::caller;
use bbv_stand::fleet::Fleet;
use http_body_util::{BodyExt, Empty};
use hyper::body::{Bytes, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use proptest::prelude::*;
use proptest::test_runner::{Config, TestRunner};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::runtime::Runtime;

const CASES: u32 = 150;
const MALFORMED_CASES: u32 = 150;
/// Time that a request runs, so that those behind it are read meanwhile.
const RUN_TIME: Duration = Duration::from_millis(4);
/// Time after which a connection without news has nothing more to say.
const QUIET: Duration = Duration::from_millis(80);
const PATIENCE: Duration = Duration::from_secs(5);

/// Number of the next case, which the ids of its requests begin with.
static NEXT_CASE: AtomicUsize = AtomicUsize::new(0);

/// Body of a request and how it is framed.
#[derive(Clone, Debug)]
enum Framing {
    Bare,
    Length(Vec<u8>),
    Chunks(Vec<Vec<u8>>),
}

#[derive(Clone, Debug)]
struct Sent {
    method: &'static str,
    route: &'static str,
    path: String,
    framing: Framing,
}

impl Sent {
    fn body(&self) -> Vec<u8> {
        match &self.framing {
            Framing::Bare => Vec::new(),
            Framing::Length(body) => body.clone(),
            Framing::Chunks(chunks) => chunks.concat(),
        }
    }

    fn line(&self) -> String {
        format!("{} /{}/{} HTTP/1.1", self.method, self.route, self.path)
    }

    fn bytes(&self, id: &str) -> Vec<u8> {
        let mut bytes = format!(
            "{}\r\nHost: a.example\r\nBluebellvale-Attempt-Id: {id}\r\n\
             Bluebellvale-Deadline-Ms: 4000\r\n",
            self.line()
        )
        .into_bytes();
        match &self.framing {
            Framing::Bare => bytes.extend_from_slice(b"\r\n"),
            Framing::Length(body) => {
                bytes.extend_from_slice(
                    format!("Content-Length: {}\r\n\r\n", body.len()).as_bytes(),
                );
                bytes.extend_from_slice(body);
            }
            Framing::Chunks(chunks) => {
                bytes.extend_from_slice(b"Transfer-Encoding: chunked\r\n\r\n");
                for chunk in chunks {
                    bytes.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
                    bytes.extend_from_slice(chunk);
                    bytes.extend_from_slice(b"\r\n");
                }
                bytes.extend_from_slice(b"0\r\n\r\n");
            }
        }
        bytes
    }
}

/// Bytes of a body, which may look like the end of a head or like a request.
fn body() -> impl Strategy<Value = Vec<u8>> {
    prop_oneof![
        prop::collection::vec(any::<u8>(), 1..60),
        Just(b"\r\n\r\nGET /get/hidden HTTP/1.1\r\nHost: a.example\r\n\r\n".to_vec()),
        Just(b"0\r\n\r\n".to_vec()),
        Just(vec![b'\n'; 9_000]),
    ]
}

fn sent() -> impl Strategy<Value = Sent> {
    let framing = prop_oneof![
        4 => Just(Framing::Bare),
        1 => body().prop_map(Framing::Length),
        1 => prop::collection::vec(body(), 1..4).prop_map(Framing::Chunks),
    ];
    let kind = prop_oneof![
        4 => Just(("GET", "get")), 1 => Just(("PUT", "get")), 1 => Just(("POST", "post"))];
    (kind, "[a-z]{1,8}", framing).prop_map(|((method, route), path, framing)| Sent {
        method,
        route,
        path,
        framing,
    })
}

/// Writes `bytes` in pieces that end at `cuts`, parts of the whole, with a pause after each of some ms.
async fn write(stream: &mut TcpStream, bytes: &[u8], cuts: &[(f64, u64)]) {
    let mut cuts: Vec<(usize, u64)> =
        cuts.iter().map(|(part, pause)| ((bytes.len() as f64 * part) as usize, *pause)).collect();
    cuts.sort_unstable();
    let mut from = 0;
    for (cut, pause) in cuts {
        // The node closes a connection on which something malformed has arrived.
        let _ = stream.write_all(&bytes[from..cut]).await;
        tokio::time::sleep(Duration::from_millis(pause)).await;
        from = cut;
    }
    let _ = stream.write_all(&bytes[from..]).await;
}

/// Reads until `count` responses have arrived, or nothing more comes; returns the ids in order.
async fn read_ids(stream: &mut TcpStream, count: usize, patience: Duration) -> Vec<String> {
    let (mut text, mut chunk) = (String::new(), [0_u8; 4_096]);
    let ids = |text: &str| -> Vec<String> {
        text.split("\r\n")
            .filter_map(|line| line.strip_prefix("bluebellvale-attempt-id: "))
            .map(str::to_owned)
            .collect()
    };
    while ids(&text).len() < count || !text.ends_with("hello") {
        match tokio::time::timeout(patience, stream.read(&mut chunk)).await {
            Ok(Ok(len)) if len > 0 => text.push_str(&String::from_utf8_lossy(&chunk[..len])),
            _ => break,
        }
    }
    ids(&text)
}

fn start(runtime: &Runtime) -> Fleet {
    runtime.block_on(async {
        let fleet = Fleet::start(&["z"]).await;
        *fleet.members[0].upstream.delay.lock() = RUN_TIME;
        fleet
    })
}

/// Returns method, path and body of each request of a case that ran, by id.
fn ran(fleet: &Fleet, case: &str) -> BTreeMap<String, Vec<(String, Vec<u8>)>> {
    let mut ran: BTreeMap<String, Vec<(String, Vec<u8>)>> = BTreeMap::new();
    for request in fleet.members[0].upstream.requests.lock().iter() {
        if request.id().starts_with(case) {
            let entry = (request.request_line.clone(), request.body.clone());
            ran.entry(request.id().to_owned()).or_default().push(entry);
        }
    }
    ran
}

fn next_case() -> String {
    format!("c{}-", NEXT_CASE.fetch_add(1, Ordering::Relaxed))
}

fn cuts() -> impl Strategy<Value = Vec<(f64, u64)>> {
    prop::collection::vec((0.0..1.0_f64, 0..6_u64), 0..8)
}

#[test]
fn requests_arrive_as_sent_once_and_in_order_in_any_split_of_bytes() {
    let runtime = Runtime::new().expect("start a runtime");
    let fleet = start(&runtime);
    let strategy = (prop::collection::vec(sent(), 1..12), cuts());
    let mut runner = TestRunner::new(Config { cases: CASES, ..Config::default() });
    let result = runner.run(&strategy, |(requests, cuts)| {
        let case = next_case();
        let ids: Vec<String> = (0..requests.len()).map(|index| format!("{case}{index}")).collect();
        let bytes: Vec<u8> =
            requests.iter().zip(&ids).flat_map(|(request, id)| request.bytes(id)).collect();
        let answered = runtime.block_on(async {
            let mut stream = TcpStream::connect(fleet.callers(0)).await.expect("connect");
            write(&mut stream, &bytes, &cuts).await;
            read_ids(&mut stream, ids.len(), PATIENCE).await
        });
        prop_assert_eq!(&answered, &ids);
        let expected: BTreeMap<_, _> = requests
            .iter()
            .zip(ids)
            .map(|(request, id)| (id, vec![(request.line(), request.body())]))
            .collect();
        prop_assert_eq!(ran(&fleet, &case), expected);
        Ok(())
    });
    result.expect("a request did not arrive as sent");
}

/// Returns the ids of the requests that the HTTP library alone reads from `bytes`.
async fn reference(bytes: &[u8]) -> Vec<String> {
    let (mut near, far) = tokio::io::duplex(1 << 20);
    let ids: Arc<Mutex<Vec<String>>> = Arc::default();
    let seen = Arc::clone(&ids);
    let service = service_fn(move |request: http::Request<Incoming>| {
        let seen = Arc::clone(&seen);
        async move {
            let id = request.headers().get("bluebellvale-attempt-id").cloned();
            if request.into_body().collect().await.is_ok() {
                let id = id.map(|id| String::from_utf8_lossy(id.as_bytes()).into_owned());
                seen.lock().expect("no panic").extend(id);
            }
            // A success would turn a connection with `CONNECT` into a tunnel, which a node never does.
            let mut response = http::Response::new(Empty::<Bytes>::new());
            *response.status_mut() = http::StatusCode::NOT_FOUND;
            Ok::<_, Infallible>(response)
        }
    });
    near.write_all(bytes).await.expect("the pipe takes all bytes");
    let conn = http1::Builder::new().serve_connection(TokioIo::new(far), service);
    let _ = tokio::time::timeout(Duration::from_millis(20), conn).await;
    drop(near);
    std::mem::take(&mut *ids.lock().expect("no panic"))
}

/// Requests that two readers may cut in two ways, with a request to be hidden.
fn vectors(case: &str) -> Vec<String> {
    let head = |id: &str, fields: &str| {
        format!(
            "POST /get/1 HTTP/1.1\r\nHost: a.example\r\nBluebellvale-Attempt-Id: {case}{id}\r\n\
             {fields}\r\n\r\n"
        )
    };
    let hidden = caller::request("GET", "/get/1", &format!("{case}hidden"), 4_000, "");
    let len = hidden.len();
    let chunk = format!("{len:x}\r\n{hidden}\r\n0\r\n\r\n");
    let fields = [
        (
            format!("Content-Length: {len}\r\nTransfer-Encoding: chunked"),
            format!("0\r\n\r\n{hidden}"),
        ),
        (format!("Transfer-Encoding: chunked\r\nContent-Length: {len}"), chunk.clone()),
        (format!("Content-Length: 0\r\nContent-Length: {len}"), hidden.clone()),
        (format!("Content-Length: {len}\r\nContent-Length: 0"), hidden.clone()),
        (format!("Content-Length: {len}, {len}"), hidden.clone()),
        (format!("Content-Length: +{len}"), hidden.clone()),
        (format!("Content-Length: {len}\r\n 0"), hidden.clone()),
        (format!("Content-Length : {len}"), hidden.clone()),
        (format!("X: 1\r\n Content-Length: {len}"), hidden.clone()),
        (format!("X: 1\nContent-Length: {len}"), hidden.clone()),
        (format!("X: 1\rContent-Length: {len}"), hidden.clone()),
        ("Transfer-Encoding: chunked, identity".to_owned(), chunk.clone()),
        ("Transfer-Encoding: xchunked".to_owned(), chunk.clone()),
        ("Transfer-Encoding:\tchunked".to_owned(), chunk.clone()),
        ("Transfer-Encoding : chunked".to_owned(), chunk.clone()),
        ("Transfer-Encoding: chunked\r\nTransfer-Encoding: identity".to_owned(), chunk.clone()),
        ("Transfer-Encoding: chunked".to_owned(), format!("0;\n\r\n\r\n{hidden}")),
        ("Transfer-Encoding: chunked".to_owned(), format!("{len:x};x=\"\r\n{hidden}\r\n0\r\n\r\n")),
        ("Transfer-Encoding: chunked".to_owned(), format!("{len:x}\n{hidden}\n0\n\n")),
        ("Transfer-Encoding: chunked".to_owned(), format!("0x{chunk}")),
        ("Transfer-Encoding: chunked".to_owned(), format!("0\r\nX: {hidden}")),
        ("Upgrade: other\r\nConnection: upgrade".to_owned(), hidden.clone()),
        (format!("Expect: 100-continue\r\nContent-Length: {len}"), hidden.clone()),
    ];
    let mut vectors: Vec<String> =
        fields.iter().map(|(fields, rest)| format!("{}{rest}", head("odd", fields))).collect();
    vectors.extend([
        format!("\r\n\r\n{hidden}"),
        format!("\n{hidden}"),
        hidden.replace("\r\n", "\n"),
        hidden.replace("GET /get/1", "GET  /get/1"),
        hidden.replace("HTTP/1.1", "HTTP/1.2"),
        hidden.replace("HTTP/1.1", "HTTP/0.9"),
        hidden.replace("GET /get/1", "CONNECT a.example:80"),
    ]);
    vectors
}

/// Sends `bytes` and returns the ids of the requests that ran and of those that the library alone reads.
async fn play(fleet: &Fleet, case: &str, bytes: &[u8], cuts: &[(f64, u64)]) -> [Vec<String>; 2] {
    let mut stream = TcpStream::connect(fleet.callers(0)).await.expect("connect");
    write(&mut stream, bytes, cuts).await;
    read_ids(&mut stream, usize::MAX, QUIET).await;
    let ran = ran(fleet, case);
    let ran = ran.into_iter().flat_map(|(id, runs)| vec![id; runs.len()]).collect();
    let mut expected = reference(bytes).await;
    expected.sort_unstable();
    [ran, expected]
}

#[test]
fn odd_framing_hides_no_request() {
    let runtime = Runtime::new().expect("start a runtime");
    let fleet = start(&runtime);
    for index in 0..vectors("").len() {
        for cuts in [vec![], vec![(0.5, 10)], vec![(0.3, 10), (0.7, 10)]] {
            let case = next_case();
            let get =
                |id: &str| caller::request("GET", "/get/1", &format!("{case}{id}"), 4_000, "");
            let vector = &vectors(&case)[index];
            let text = format!("{}{}{vector}{}", get("a"), get("b"), get("z"));
            let [ran, expected] = runtime.block_on(play(&fleet, &case, text.as_bytes(), &cuts));
            let extra = ran.iter().find(|id| !expected.contains(id));
            assert_eq!(extra, None, "{vector:?} ran {ran:?}, not {expected:?}");
            let once = ran.windows(2).all(|pair| pair[0] != pair[1]);
            assert!(once && ran.len() >= 2, "{vector:?} ran {ran:?}");
        }
    }
}

/// Change of one byte.
#[derive(Clone, Debug)]
enum Change {
    Set(u8),
    Insert(u8),
    Remove,
}

/// Bytes of sequences are changed at random; nothing runs that the library alone does not read.
#[test]
fn changed_bytes_hide_no_request() {
    let runtime = Runtime::new().expect("start a runtime");
    let fleet = start(&runtime);
    let odd = prop_oneof![
        Just(b'\r'),
        Just(b'\n'),
        Just(b' '),
        Just(b':'),
        Just(b'\t'),
        Just(0),
        Just(b'0'),
        any::<u8>()
    ];
    let change = prop_oneof![
        odd.clone().prop_map(Change::Set),
        odd.prop_map(Change::Insert),
        Just(Change::Remove)
    ];
    let changes = prop::collection::vec((0.0..1.0_f64, change), 1..4);
    let strategy = (prop::collection::vec(sent(), 2..7), changes, cuts());
    let mut runner = TestRunner::new(Config { cases: MALFORMED_CASES, ..Config::default() });
    let result = runner.run(&strategy, |(requests, changes, cuts)| {
        let case = next_case();
        let mut bytes: Vec<u8> = requests
            .iter()
            .enumerate()
            .flat_map(|(index, request)| request.bytes(&format!("{case}{index}")))
            .collect();
        for (part, change) in changes {
            let at = (bytes.len() as f64 * part) as usize;
            match change {
                Change::Set(byte) => bytes[at] = byte,
                Change::Insert(byte) => bytes.insert(at, byte),
                Change::Remove => drop(bytes.remove(at)),
            }
        }
        let [ran, expected] = runtime.block_on(play(&fleet, &case, &bytes, &cuts));
        prop_assert!(ran.iter().all(|id| expected.contains(id)), "{:?} {:?}", ran, expected);
        prop_assert!(ran.windows(2).all(|pair| pair[0] != pair[1]), "{:?}", ran);
        Ok(())
    });
    result.expect("a request ran that the library does not read");
}
