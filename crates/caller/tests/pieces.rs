//! Answers whose bodies come in small pieces.

use bbv_caller::{Call, Client};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const ANSWERS: usize = 20;
const PIECES: usize = 4_000;
/// Bytes that all answers may take with their connections.
const MEMORY_LIMIT: usize = 4 << 20;

fn resident() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").expect("could not read the status");
    let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:"));
    let kb = line.and_then(|line| line.split_whitespace().next()?.parse::<usize>().ok());
    kb.expect("status has no RssAnon") * 1_024
}

/// Sends an answer in pieces of one byte, all but the last one.
async fn answer(listener: TcpListener) {
    let head = "HTTP/1.1 200 OK\r\nBbv-Outcome: answered\r\nTransfer-Encoding: chunked\r\n\r\n";
    while let Ok((mut stream, _)) = listener.accept().await {
        tokio::spawn(async move {
            let mut request = [0_u8; 1_024];
            // The size of the request does not matter.
            let _ = stream.read(&mut request).await;
            stream.write_all(head.as_bytes()).await.expect("could not send the head");
            for _ in 0..PIECES {
                stream.write_all(b"1\r\nx\r\n").await.expect("could not send a piece");
                tokio::task::yield_now().await;
            }
            std::future::pending::<()>().await;
        });
    }
}

/// Answers that come in small pieces took many times their bytes, since each piece kept the buffer that it
/// had been read into.
#[tokio::test]
async fn answers_in_small_pieces_take_little_memory() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("could not bind");
    let addr = listener.local_addr().expect("could not read the bound address");
    tokio::spawn(answer(listener));
    let before = resident();
    let mut calls = Vec::new();
    for _ in 0..ANSWERS {
        calls.push(tokio::spawn(async move {
            let client = Client::new(&[&format!("http://{addr}")]).expect("a client");
            client.call(&Call::get("/site-history/7")).await
        }));
    }
    tokio::time::sleep(std::time::Duration::from_secs(2)).await;
    let taken = resident().saturating_sub(before);
    assert!(taken < MEMORY_LIMIT, "{taken} bytes for {} bytes of bodies", ANSWERS * PIECES);
    calls.iter().for_each(|call| assert!(!call.is_finished(), "an answer without end ended"));
}
