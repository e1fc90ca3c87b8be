//! Loopback proxy that misbehaves as it is told.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};

/// What a proxy does with bytes.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Mode {
    /// Passes them on.
    #[default]
    Pass,
    /// Passes them on after [`DELAY`].
    Delay,
    /// Drops those of both directions.
    Silent,
    /// Drops those that go back to the client.
    OneWay,
    /// Resets connections that carry any.
    Reset,
}

/// All modes, for a random choice.
pub const MODES: [Mode; 5] = [Mode::Pass, Mode::Delay, Mode::Silent, Mode::OneWay, Mode::Reset];

/// Delay of the mode that delays.
pub const DELAY: Duration = Duration::from_millis(60);

/// A proxy in front of one address.
#[derive(Clone, Debug)]
pub struct Proxy {
    /// Present mode.
    pub mode: Arc<Mutex<Mode>>,
}

impl Proxy {
    /// Listens on `listen` and passes connections on to `target`.
    pub async fn start(
        listen: SocketAddr,
        target: SocketAddr,
    ) -> std::io::Result<(Self, SocketAddr)> {
        let listener = TcpListener::bind(listen).await?;
        let addr = listener.local_addr()?;
        let proxy = Proxy { mode: Arc::default() };
        let mode = Arc::clone(&proxy.mode);
        tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                tokio::spawn(pass(client, target, Arc::clone(&mode)));
            }
        });
        Ok((proxy, addr))
    }
}

async fn pass(client: TcpStream, target: SocketAddr, mode: Arc<Mutex<Mode>>) {
    // Dropping a stream with a zero linger resets it, as a refusal does.
    let Ok(server) = TcpStream::connect(target).await else {
        let _ = SockRef::from(&client).set_linger(Some(Duration::ZERO));
        return;
    };
    for stream in [&client, &server] {
        let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
    }
    let (from_client, to_client) = client.into_split();
    let (from_server, to_server) = server.into_split();
    let there = copy(from_client, to_server, &mode, false);
    let back = copy(from_server, to_client, &mode, true);
    tokio::select! {
        () = there => {}
        () = back => {}
    }
}

async fn copy(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, mode: &Mutex<Mode>, back: bool) {
    let mut bytes = [0_u8; 16_384];
    loop {
        let Ok(len) = from.read(&mut bytes).await else { return };
        if len == 0 {
            return;
        }
        let mode = *mode.lock();
        match mode {
            Mode::Pass => {}
            Mode::Delay => tokio::time::sleep(DELAY).await,
            Mode::Silent => continue,
            Mode::OneWay if back => continue,
            Mode::OneWay => {}
            Mode::Reset => return,
        }
        if to.write_all(&bytes[..len]).await.is_err() {
            return;
        }
    }
}
