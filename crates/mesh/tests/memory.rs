//! Memory of a process beside the bytes that it counts for bodies, and of connections at rest.

use std::path::Path;
use std::time::{Duration, Instant};

use bbv_mesh::settings::Settings;
use bbv_stand::caller;
use bbv_stand::fleet::Fleet;
use bbv_stand::process::Process;
use serde_json::json;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Bytes that a connection may hold besides bodies while a request is open: read buffers and heads.
const OPEN_CONNECTION_BYTES: u64 = 64 * 1_024;
/// Bytes that a connection may hold at rest: what is left of 260 MB for each of 3,900 connections, after
/// 72 MB for requests, 12 MB for responses and 16 MB for the rest of the process.
const REST_BYTES: u64 = ((260 - 72 - 12 - 16) << 20) / 3_900;
const MAX_BODY_BYTES: u64 = 64 << 20;
const READY_LIMIT: Duration = Duration::from_secs(10);

/// Process of a node beside an upstream.
struct Running {
    fleet: Fleet,
    /// Kept, since dropping it ends the process.
    _process: Process,
}

impl Running {
    /// Starts a process whose files lie in the folder `name`; callers may send large bodies.
    async fn start(name: &str) -> Self {
        let fleet = Fleet::without_nodes(&["z"]).await;
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        let program = Path::new(env!("CARGO_BIN_EXE_bbv-mesh"));
        let process = Process::start(program, &folder, &fleet.members[0].settings);
        let process = process.expect("could not start a node");
        fleet.publish();
        let mut config = fleet.config_with(2, "more");
        for resource in config["resources"].as_array_mut().expect("no resources") {
            if resource["resource_type"] == "limits" {
                resource["spec"]["max_body_bytes"] = json!(MAX_BODY_BYTES);
                resource["spec"]["idle_timeout_s"] = json!(60);
            }
        }
        fleet.store.put("op/config", &config);
        let running = Running { fleet, _process: process };
        let text = caller::request("GET", "/more/1", "id-0", 900, "");
        let started = Instant::now();
        while caller::try_send(running.fleet.callers(0), &text).await.status != 200 {
            assert!(started.elapsed() < READY_LIMIT, "node is not ready");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        running
    }

    /// Returns the sum of the metrics whose lines begin with `name`.
    async fn metric(&self, name: &str) -> u64 {
        let text = "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n";
        let text = caller::send(self.fleet.members[0].settings.readiness, text).await.body;
        let lines = text.lines().filter(|line| line.starts_with(name));
        let values = lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok());
        values.sum::<f64>() as u64
    }

    /// Waits until `bytes` are counted for bodies at least.
    async fn wait_until_counted(&self, bytes: u64) -> u64 {
        let started = Instant::now();
        loop {
            let counted = self.metric("bbv_body_bytes").await;
            if counted >= bytes {
                return counted;
            }
            assert!(started.elapsed() < READY_LIMIT, "{counted} of {bytes} bytes are counted");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Returns a connection on which the head of an upload of `bytes` bytes was sent.
    async fn begin_upload(&self, id: &str, bytes: usize) -> TcpStream {
        let mut stream =
            TcpStream::connect(self.fleet.callers(0)).await.expect("could not connect");
        stream.set_nodelay(true).expect("could not set an option");
        let head = caller::request("POST", "/post/1", id, 9_000, "");
        let head = head.trim_end().to_owned() + &format!("\r\nContent-Length: {bytes}\r\n\r\n");
        stream.write_all(head.as_bytes()).await.expect("could not send the head");
        stream
    }
}

/// Uploads that come in pieces far smaller than a read buffer took several times the memory that was
/// counted for them, so that the budget did not bound it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn uploads_in_small_pieces_take_the_memory_that_is_counted() {
    const UPLOADS: usize = 30;
    const UPLOAD_BYTES: usize = 400_000;
    for piece_bytes in [1, 70, 700, 7_000, 70_000] {
        let running = Running::start(&format!("memory-pieces-{piece_bytes}")).await;
        let before = running.metric("bbv_resident_bytes").await;
        // As many bytes as pieces of this size bring in a short time.
        let bytes = UPLOAD_BYTES.min(piece_bytes * 4_000);
        let mut uploads = Vec::new();
        for index in 0..UPLOADS {
            let mut stream = running.begin_upload(&format!("id-{index}"), UPLOAD_BYTES + 1).await;
            uploads.push(tokio::spawn(async move {
                let piece = vec![b'x'; piece_bytes];
                let mut left = bytes;
                while left > 0 {
                    let len = left.min(piece_bytes);
                    stream.write_all(&piece[..len]).await.expect("could not send a piece");
                    left -= len;
                    tokio::task::yield_now().await;
                }
                stream
            }));
        }
        let mut streams = Vec::new();
        for upload in uploads {
            streams.push(upload.await.expect("upload panicked"));
        }
        let counted = running.wait_until_counted((UPLOADS * bytes) as u64).await;
        let taken = running.metric("bbv_resident_bytes").await.saturating_sub(before);
        let bound = counted + UPLOADS as u64 * OPEN_CONNECTION_BYTES;
        assert!(
            taken <= bound,
            "pieces of {piece_bytes}: {taken} of {bound} bytes, {counted} counted"
        );
        drop(streams);
    }
}

/// Connections that rest after a request kept the buffers that it was read into and copied to, which
/// had grown with it, and the room for what it takes to handle it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn connections_at_rest_take_little_memory() {
    const CONNECTIONS: usize = 150;
    for bytes in [100, 15_000, 60_000, 200_000] {
        let running = Running::start(&format!("memory-rest-{bytes}")).await;
        let before = running.metric("bbv_resident_bytes").await;
        let body = vec![b'x'; bytes];
        let mut streams = Vec::new();
        for index in 0..CONNECTIONS {
            let mut stream = running.begin_upload(&format!("id-{index}"), bytes).await;
            stream.write_all(&body).await.expect("could not send the body");
            let response = caller::read_response(&mut stream).await;
            assert_eq!(response.status, 200);
            streams.push(stream);
        }
        let taken = running.metric("bbv_resident_bytes").await.saturating_sub(before);
        let each = taken / CONNECTIONS as u64;
        assert!(each <= REST_BYTES, "{each} bytes a connection after one body of {bytes}");
    }
}

/// The bodies of requests could take 64 MB on a VM whose process may take 160 MB with all else.
#[test]
fn memory_for_requests_fits_into_that_of_the_process() {
    let addrs = ["upstream", "callers", "peers", "readiness", "notices", "platform"];
    let addrs = addrs.map(|key| format!("{key}: 127.0.0.1:1\n")).concat();
    let parse = |more: &str| {
        let text = format!("node: n\nzone: z\nservice: s\n{addrs}{more}");
        Settings::parse(&text).expect("settings are complete").request_memory >> 20
    };
    assert_eq!(parse(""), 64);
    assert_eq!(parse("memory_mb: 160\n"), 40);
    assert_eq!(parse("memory_mb: 512\n"), 64, "no more than without a bound");
    assert_eq!(parse("memory_mb: 160\nrequest_memory_mb: 50\n"), 50, "set by itself");
}
