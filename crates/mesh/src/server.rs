//! Listeners of a node, and its planned stop.

use std::convert::Infallible;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bbv_core::units::{MS, Micros};
use bytes::Bytes;
use eyre::{Result, WrapErr};
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::watch;

use crate::answer;
use crate::event::{self, Event};
use crate::node::Node;
use crate::settings::Settings;

/// Time for which a connection of another node or of an operator may be idle; longer than
/// nodes keep one.
const IDLE: Duration = Duration::from_secs(16);
/// Smallest bound on a request head that the server accepts.
const HEAD_MIN: usize = 8_192;
/// Time from SIGTERM until connections are closed: two missed readiness checks and a reserve.
const UNREADY: Micros = 2_600 * MS;
/// Time before that in which other nodes learn to go elsewhere; until then the gate serves them.
const NOTICE: Micros = 300 * MS;
/// Time that is kept back from the grace period for the end of the process.
const STOP_RESERVE: Micros = 300 * MS;
/// Interval at which a stopping node looks for requests that are still open.
const STOP_POLL: Micros = 20 * MS;
/// Pause after an accept that failed, such as for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Listener of a node.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Listener {
    Callers,
    Peers,
    Operators,
}

/// A node that runs.
pub struct Running {
    /// The node.
    pub node: Arc<Node>,
    closing: watch::Sender<bool>,
}

/// Starts a node on the listeners of its settings.
pub async fn start(settings: Settings) -> Result<Running> {
    let node = Node::new(settings);
    let settings = &node.settings;
    let (closing, closed) = watch::channel(false);
    let mut listeners = vec![
        (Listener::Operators, settings.readiness),
        (Listener::Peers, settings.peers),
        (Listener::Callers, settings.callers),
    ];
    listeners.extend(settings.metrics.map(|addr| (Listener::Operators, addr)));
    for (kind, addr) in listeners {
        let listener = TcpListener::bind(addr).await;
        let listener = listener.wrap_err_with(|| format!("could not listen on {addr}"))?;
        tokio::spawn(accept(Arc::clone(&node), kind, listener, closed.clone()));
    }
    let notices = settings.notices;
    let socket = UdpSocket::bind(notices).await;
    let socket = Arc::new(socket.wrap_err_with(|| format!("could not bind {notices}"))?);
    let _ = node.socket.set(Arc::clone(&socket));
    tokio::spawn(Arc::clone(&node).follow());
    tokio::spawn(Arc::clone(&node).probe());
    tokio::spawn(Arc::clone(&node).send_notices(Arc::clone(&socket)));
    tokio::spawn(Arc::clone(&node).receive_notices(socket));
    let (name, zone, service) = (&settings.node, &settings.zone, &settings.service);
    event::info(Event::Started, &[("node", name), ("zone", zone), ("service", service)]);
    Ok(Running { node, closing })
}

impl Running {
    /// Stops the node: unready first, then no new connections, then the open requests.
    pub async fn stop(self) {
        let node = &self.node;
        let begun = node.now();
        let last = begun + node.settings.grace.saturating_sub(STOP_RESERVE);
        event::info(Event::Stopping, &[("open", &node.open.load(Ordering::Relaxed))]);
        node.stop();
        let close = last.min(begun + UNREADY);
        node.timer.sleep_until(close.saturating_sub(NOTICE)).await;
        node.leave();
        node.timer.sleep_until(close).await;
        node.close();
        // Receivers are gone only when every listener has ended.
        let _ = self.closing.send(true);
        while node.open.load(Ordering::Relaxed) > 0 && node.now() < last {
            node.timer.sleep(STOP_POLL).await;
        }
        event::info(Event::Stopped, &[("open", &node.open.load(Ordering::Relaxed))]);
    }
}

async fn accept(
    node: Arc<Node>,
    kind: Listener,
    listener: TcpListener,
    mut closed: watch::Receiver<bool>,
) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = until_closed(&mut closed), if kind == Listener::Callers => return,
        };
        match accepted {
            Ok((stream, from)) => {
                tokio::spawn(serve(Arc::clone(&node), kind, stream, from, closed.clone()));
            }
            Err(error) => {
                event::warn(Event::AcceptFailed, &[("why", &error)]);
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn until_closed(closed: &mut watch::Receiver<bool>) {
    // An error means that the node itself is gone, which closes as well.
    let _ = closed.wait_for(|closed| *closed).await;
}

async fn serve(
    node: Arc<Node>,
    kind: Listener,
    stream: TcpStream,
    from: SocketAddr,
    mut closed: watch::Receiver<bool>,
) {
    if let Err(error) = bbv_net::tune(&stream) {
        event::debug(Event::ConnectionEnded, &[("from", &from), ("why", &error)]);
    }
    let ip = from.ip();
    let builder = builder(&node, kind);
    let service = service_fn(move |request| {
        let node = Arc::clone(&node);
        async move { Ok::<_, Infallible>(answer(&node, kind, ip, request).await) }
    });
    let conn = builder.serve_connection(TokioIo::new(stream), service);
    let mut conn = std::pin::pin!(conn);
    let ended = tokio::select! {
        ended = conn.as_mut() => ended,
        () = until_closed(&mut closed), if kind == Listener::Callers => {
            conn.as_mut().graceful_shutdown();
            conn.await
        }
    };
    if let Err(error) = ended {
        event::debug(Event::ConnectionEnded, &[("from", &from), ("why", &error)]);
    }
}

/// Server of one connection, with the limits in force when it was accepted.
fn builder(node: &Node, kind: Listener) -> http1::Builder {
    let mut builder = http1::Builder::new();
    // Covers the wait for the next request and the time until its head is complete.
    builder.timer(TokioTimer::new()).header_read_timeout(IDLE);
    let limits = node.lock().view.routing.as_ref().map(|routing| routing.limits);
    if let (Listener::Callers, Some(limits)) = (kind, limits) {
        let idle = limits.idle.max(limits.head_time);
        builder.header_read_timeout(Duration::from_micros(idle));
        builder.max_buf_size(limits.head.max(HEAD_MIN));
    }
    builder
}

async fn answer(
    node: &Arc<Node>,
    kind: Listener,
    from: IpAddr,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    match kind {
        Listener::Callers => node.serve_caller(request).await,
        Listener::Peers => node.serve_peer(from, request).await,
        Listener::Operators => operators(node, request.uri().path()),
    }
}

fn operators(node: &Node, path: &str) -> Response<Full<Bytes>> {
    match path {
        bbv_platform::READINESS_PATH if node.ready() => answer::own(StatusCode::OK, "ready"),
        bbv_platform::READINESS_PATH => answer::own(StatusCode::SERVICE_UNAVAILABLE, "unready"),
        "/metrics" => {
            node.gauge();
            Response::new(Full::new(Bytes::from(node.metrics.render())))
        }
        _ => answer::own(StatusCode::NOT_FOUND, "no-such-page"),
    }
}
