//! The soak's own checks find what they are made for.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use bbv_soak::cold;
use bbv_soak::ledger::Ledger;
use bbv_soak::versions::{Watch, marker};
use bbv_stand::upstream::{ReceivedRequest, Upstream};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// Serves the marker route of the version in force, and 404 for any other.
async fn serve(listener: TcpListener, in_force: Arc<AtomicU64>) {
    while let Ok((mut stream, _)) = listener.accept().await {
        let mut bytes = [0_u8; 1_024];
        let len = stream.read(&mut bytes).await.expect("a request");
        let path = format!("GET /{}/1 ", marker(in_force.load(Ordering::SeqCst)));
        let found = String::from_utf8_lossy(&bytes[..len]).starts_with(&path);
        let status = if found { "200 OK" } else { "404 Not Found" };
        let text = format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n");
        stream.write_all(text.as_bytes()).await.expect("the client reads");
    }
}

/// Promises broken by a node that shows each version for a while, with one start in between if
/// `restarted`.
async fn watch(versions: [u64; 3], restarted: bool) -> Vec<String> {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let node = listener.local_addr().expect("an address");
    let in_force = Arc::new(AtomicU64::new(versions[0]));
    let (newest, starts) = (Arc::new(AtomicU64::new(versions[0])), Arc::new(AtomicU64::new(0)));
    let (stop, ledger) = (Arc::new(AtomicBool::new(false)), Arc::new(Ledger::default()));
    tokio::spawn(serve(listener, Arc::clone(&in_force)));
    let watch = Watch {
        node,
        newest: Arc::clone(&newest),
        starts: Arc::clone(&starts),
        stop: Arc::clone(&stop),
    };
    let task = tokio::spawn(watch.run("node".to_owned(), Arc::clone(&ledger)));
    for (at, version) in versions.into_iter().enumerate() {
        if restarted && at == 2 {
            starts.fetch_add(1, Ordering::SeqCst);
        }
        in_force.store(version, Ordering::SeqCst);
        newest.fetch_max(version, Ordering::SeqCst);
        tokio::time::sleep(Duration::from_millis(700)).await;
    }
    stop.store(true, Ordering::SeqCst);
    task.await.expect("the watch ends");
    ledger.settle(&[])
}

#[tokio::test]
async fn routing_that_goes_back_is_found() {
    assert!(watch([1, 4, 6], false).await.is_empty(), "only rises");
    assert!(!watch([1, 4, 1], false).await.is_empty(), "goes back");
    assert!(watch([1, 4, 1], true).await.is_empty(), "starts again between");
}

#[tokio::test]
async fn cold_upstream_that_gets_too_much_is_found() {
    for (requests, found) in [(57, 0), (58, 1)] {
        let addr = SocketAddr::from(([127, 0, 0, 1], 0));
        let upstream = Upstream::start("i", addr).await;
        upstream.turn_cold(Duration::from_secs(3));
        let at = |number: u64| Duration::from_millis(1_000 + number * 10);
        let runs = (0..requests)
            .map(|number| ReceivedRequest { at: at(number), ..ReceivedRequest::default() });
        upstream.requests.lock().extend(runs);
        assert_eq!(cold::overloads(&upstream).len(), found, "{requests} requests");
    }
}
