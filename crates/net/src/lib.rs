//! TCP options set on every connection.

use std::io;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// Interval and number of the kernel's keepalive probes on an idle connection.
const KEEPALIVE: Duration = Duration::from_secs(1);
const KEEPALIVE_PROBES: u32 = 2;

/// Disables Nagle's algorithm and makes the kernel close the connection when the other side has
/// not responded for three seconds.
///
/// ```
/// # tokio::runtime::Builder::new_current_thread().enable_all().build()?.block_on(async {
/// let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await?;
/// let stream = tokio::net::TcpStream::connect(listener.local_addr()?).await?;
/// bbv_net::set_tcp_options(&stream)
/// # })?;
/// # Ok::<(), std::io::Error>(())
/// ```
pub fn set_tcp_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE)
        .with_interval(KEEPALIVE)
        .with_retries(KEEPALIVE_PROBES);
    let socket = SockRef::from(stream);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(KEEPALIVE * (KEEPALIVE_PROBES + 1)))
}
