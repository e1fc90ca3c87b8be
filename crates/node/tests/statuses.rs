//! Upstreams whose responses have a status that HTTP does not know as a final one: the call counts as
//! one that may have run, and the connection is closed.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bbv_node::ports::{UpstreamAnswer, UpstreamCall, UpstreamError};
use bbv_node::upstream;
use bbv_wire::CallerRequest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const TTL_US: u64 = 2_000_000;

/// Answers each request with `status`; returns the number of connections that it has accepted.
async fn serve(status: &'static str) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("could not bind");
    let addr = listener.local_addr().expect("could not read the bound address");
    let connections = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&connections);
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            count.fetch_add(1, Ordering::Relaxed);
            tokio::spawn(async move {
                let mut request = [0_u8; 4_096];
                while stream.read(&mut request).await.is_ok_and(|len| len > 0) {
                    let text = format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n");
                    if stream.write_all(text.as_bytes()).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    (addr, connections)
}

/// Calls an upstream that answers with `status` twice.
async fn call_twice(status: &'static str) -> (Vec<Result<UpstreamAnswer, UpstreamError>>, usize) {
    let (addr, connections) = serve(status).await;
    let upstream = upstream::port(&format!("http://{addr}")).expect("an upstream");
    let mut answers = Vec::new();
    for _ in 0..2 {
        let request = CallerRequest {
            entry: "e".to_owned(),
            method: "POST".to_owned(),
            path: "/x".to_owned(),
            headers: Vec::new(),
            body: Default::default(),
            fingerprint: Default::default(),
        };
        answers.push(upstream(UpstreamCall { request, ttl: TTL_US }).await);
        // The connection goes back to the pool once its task has run.
        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
    }
    (answers, connections.load(Ordering::Relaxed))
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn response_with_an_odd_status_is_no_answer() {
    for status in ["000", "000 None", "099 Odd", "101 Odd", "600 Odd", "999 Odd", "2000 OK", "x"] {
        let (answers, connections) = call_twice(status).await;
        let lost = |answer: &Result<_, _>| matches!(answer, Err(UpstreamError::Lost));
        assert!(answers.iter().all(lost), "{status}: {answers:?}");
        assert_eq!(connections, 2, "{status}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn final_response_with_an_unusual_line_is_an_answer() {
    for (status, number) in [("200", 200), ("299 Odd", 299), ("599 Odd", 599)] {
        let (answers, connections) = call_twice(status).await;
        let statuses: Vec<_> = answers.iter().flatten().map(|answer| answer.status).collect();
        assert_eq!((statuses, connections), (vec![number; 2], 1), "{status}");
    }
}
