//! Starts the listeners and background tasks of a node, and shuts it down gracefully.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bbv_core::route::CallerLimits;
use bbv_core::units::{MS, Micros};
use eyre::{Result, WrapErr};
use futures_util::FutureExt;
use http::{Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Body;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::watch;
use tokio::task::JoinError;

use crate::activity::Activity;
use crate::ahead::{AheadConnection, AheadStream, Queue, ReadAhead};
use crate::content::Content;
use crate::event::{self, Event};
use crate::field_room::FieldRoom;
use crate::head_limits::{self, DEFAULT_IDLE_TIMEOUT};
use crate::ingress::HEAD_TOO_LARGE;
use crate::metrics::ResponseSource;
use crate::node::Node;
use crate::response;
use crate::settings::Settings;
use crate::withheld::{Exchanges, OpenExchange, Withheld};

/// Time from SIGTERM until caller connections are closed: two missed readiness checks and a margin.
const UNREADY_PERIOD: Micros = 2_600 * MS;
/// Time before the close at which other nodes are asked to send requests elsewhere; until then the
/// gate accepts their requests.
const LEAVE_NOTICE: Micros = 300 * MS;
/// Time for which a closing node waits for callers' connections after its last request, so that
/// responses are written and requests of connections that it has just accepted are read.
const CONNECTION_LINGER: Micros = 500 * MS;
/// Part of the grace period reserved for the exit of the process.
const STOP_RESERVE: Micros = 300 * MS;
/// Interval at which a stopping node checks for requests in flight.
const STOP_POLL: Micros = 20 * MS;
/// Delay after a failed accept, for example when file descriptors have run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Part of the HTTP library's error for a URI that is longer than it allows.
const LONG_URI: &str = "URI too long";
/// Delay before a task that panicked starts again.
const PANIC_DELAY: Micros = 100 * MS;

/// Kind of a listener, by who connects to it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ListenerKind {
    Callers,
    Peers,
    Operators,
}

/// Running node.
pub struct RunningNode {
    /// Shared state of the node.
    pub node: Arc<Node>,
    close_sender: watch::Sender<bool>,
    connections: Arc<AtomicUsize>,
}

/// Binds the listeners of `settings` and starts a node on them.
pub async fn start(settings: Settings) -> Result<RunningNode> {
    let node = Node::new(settings);
    let settings = &node.settings;
    let (close_sender, close_signal) = watch::channel(false);
    let mut listeners = vec![
        (ListenerKind::Operators, settings.readiness),
        (ListenerKind::Peers, settings.peers),
        (ListenerKind::Callers, settings.callers),
    ];
    listeners.extend(settings.metrics.map(|addr| (ListenerKind::Operators, addr)));
    let connections = Arc::default();
    for (kind, addr) in listeners {
        let listener = TcpListener::bind(addr).await;
        let listener = listener.wrap_err_with(|| format!("could not listen on {addr}"))?;
        let acceptor = Acceptor {
            node: Arc::clone(&node),
            kind,
            connections: Arc::clone(&connections),
            close_signal: close_signal.clone(),
        };
        tokio::spawn(acceptor.run(listener));
    }
    let notices = settings.notices;
    let socket = UdpSocket::bind(notices).await;
    let socket = Arc::new(socket.wrap_err_with(|| format!("could not bind UDP socket {notices}"))?);
    let _ = node.notice_socket.set(Arc::clone(&socket));
    supervise("follow-store", &node, Node::follow_store);
    supervise("probe", &node, Node::probe);
    let notices = Arc::clone(&socket);
    supervise("send-notices", &node, move |node| node.send_notices(Arc::clone(&notices)));
    let receiver = Arc::clone(&socket);
    supervise("receive-notices", &node, move |node| node.receive_notices(Arc::clone(&receiver)));
    supervise("ask-proofs", &node, move |node| node.ask_proofs(Arc::clone(&socket)));
    let (name, zone, service) = (&settings.node, &settings.zone, &settings.service);
    event::info(Event::Started, &[("node", name), ("zone", zone), ("service", service)]);
    Ok(RunningNode { node, close_sender, connections })
}

/// Runs a background task, and starts it again if it panics: a single message must not leave the
/// node without one of them.
fn supervise<F, T>(name: &'static str, node: &Arc<Node>, task: F)
where
    F: Fn(Arc<Node>) -> T + Send + 'static,
    T: Future<Output = ()> + Send + 'static,
{
    let node = Arc::clone(node);
    tokio::spawn(async move {
        while let Err(error) = tokio::spawn(task(Arc::clone(&node))).await {
            event::warn(Event::TaskPanicked, &[("task", &name), ("why", &error)]);
            node.metrics.panics.inc();
            node.timer.sleep(PANIC_DELAY).await;
        }
    });
}

impl RunningNode {
    /// Stops the node: makes it unready, closes the caller listener, then waits for requests in
    /// flight.
    pub async fn stop(self) {
        let node = &self.node;
        let started = node.now();
        let grace_end = started + node.settings.grace.saturating_sub(STOP_RESERVE);
        event::info(Event::Stopping, &[("open", &node.open_requests.load(Ordering::Relaxed))]);
        node.stop();
        let close_at = grace_end.min(started + UNREADY_PERIOD);
        node.timer.sleep_until(close_at.saturating_sub(LEAVE_NOTICE)).await;
        node.leave();
        node.timer.sleep_until(close_at).await;
        node.close(grace_end);
        // Fails only if all receivers are gone, which means that every listener has ended.
        let _ = self.close_sender.send(true);
        self.finish_requests(close_at, grace_end).await;
        event::info(Event::Stopped, &[("open", &node.open_requests.load(Ordering::Relaxed))]);
    }

    /// Waits until the requests in flight have ended and their responses are written.
    async fn finish_requests(&self, close_at: Micros, grace_end: Micros) {
        let node = &self.node;
        let mut busy_at = close_at;
        while node.now() < grace_end {
            let requests = node.open_requests.load(Ordering::Relaxed);
            if requests > 0 {
                busy_at = node.now();
            }
            // The connections of other nodes stay open.
            let connections = self.connections.load(Ordering::Relaxed);
            let lingered = node.now() >= busy_at + CONNECTION_LINGER;
            if requests == 0 && (connections == 0 || lingered) {
                return;
            }
            node.timer.sleep(STOP_POLL).await;
        }
    }
}

/// Counts a connection of a caller as open until it ends.
struct OpenConnection(Arc<AtomicUsize>);

impl OpenConnection {
    fn new(count: &Arc<AtomicUsize>) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        OpenConnection(Arc::clone(count))
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Accepts the connections of one listener and serves them.
#[derive(Clone)]
struct Acceptor {
    node: Arc<Node>,
    kind: ListenerKind,
    /// Number of open connections of callers.
    connections: Arc<AtomicUsize>,
    close_signal: watch::Receiver<bool>,
}

impl Acceptor {
    async fn run(mut self, listener: TcpListener) {
        let callers = self.kind == ListenerKind::Callers;
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                () = wait_for_close(&mut self.close_signal), if callers => break,
            };
            match accepted {
                Ok((stream, from)) => self.spawn(stream, from),
                Err(error) => {
                    event::warn(Event::AcceptFailed, &[("why", &error)]);
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
        // Closing the listener resets the connections that wait to be accepted.
        while let Some(Ok((stream, from))) = listener.accept().now_or_never() {
            self.spawn(stream, from);
        }
    }

    fn spawn(&self, stream: TcpStream, from: SocketAddr) {
        tokio::spawn(self.clone().serve(stream, from));
    }

    async fn serve(mut self, stream: TcpStream, from: SocketAddr) {
        let callers = self.kind == ListenerKind::Callers;
        let _open = callers.then(|| OpenConnection::new(&self.connections));
        if let Err(error) = bbv_net::set_tcp_options(&stream) {
            event::debug(Event::ConnectionEnded, &[("from", &from), ("why", &error)]);
        }
        let mut limits = self.node.caller_limits.subscribe();
        let accepted = *limits.borrow_and_update();
        let (node, kind) = (self.node, self.kind);
        let logged_node = Arc::clone(&node);
        let exchanges = Exchanges::default();
        let activity = Activity::default();
        let queue = Queue::new();
        let stream = AheadStream::new(stream, callers);
        let mut ahead =
            callers.then(|| ReadAhead::new(Arc::clone(&node), queue.clone(), stream.clone(), from));
        let mut stream = Withheld::new(activity.watch(stream), exchanges.clone());
        let requests = queue.clone();
        let mut service = service_fn(move |request| {
            let open = exchanges.begin();
            // Only callers send requests ahead.
            let started = if callers { requests.begin(&request) } else { None };
            let (node, queue) = (Arc::clone(&node), requests.clone());
            // The library keeps the place of a request's future for as long as the connection is open.
            Box::pin(async move {
                let response = match kind {
                    ListenerKind::Callers => queue.respond(node, request, started).await?,
                    ListenerKind::Peers => node.serve_peer(from.ip(), request).await,
                    ListenerKind::Operators => serve_operator(&node, request.uri().path()),
                };
                Ok::<_, JoinError>(response.map(|body| hold_until_read(body, open)))
            })
        });
        let mut room = FieldRoom::default();
        let result = loop {
            let builder = connection_builder(kind, accepted, room);
            let conn = builder.serve_connection(TokioIo::new(stream), service);
            if let Some(ahead) = &mut ahead {
                ahead.set_builder(builder);
            }
            let mut conn = AheadConnection::new(conn, ahead.as_mut());
            let result = tokio::select! {
                // A request that has arrived is read before the connection counts as idle.
                biased;
                result = &mut conn => result,
                () = wait_for_end(&mut self.close_signal, &mut limits, accepted), if callers => {
                    queue.close();
                    let is_busy = || activity.is_pending() || queue.has_started();
                    conn.end_after_requests(http1::Connection::graceful_shutdown, is_busy).await
                }
            };
            let parts = conn.conn.into_parts();
            let refused = parts.io.into_inner();
            match room.next() {
                Some(larger) if refused.is_refused() => room = larger,
                _ => break result,
            }
            stream = refused.rewind(parts.read_buf, room.next().is_some());
            service = parts.service;
        };
        log_end(&logged_node, kind, from, result);
    }
}

/// Returns `body`, which ends `open` when it has been read.
fn hold_until_read(
    body: Full<Content>,
    open: OpenExchange,
) -> impl Body<Data = Content, Error = Infallible> {
    body.map_err(move |error| {
        let _open = &open;
        error
    })
}

/// Logs the error with which a connection ended, if any, and counts it if the HTTP library has
/// rejected a request.
fn log_end(node: &Node, kind: ListenerKind, from: SocketAddr, result: hyper::Result<()>) {
    let Err(error) = result else { return };
    let why = crate::pool::describe_error(&error);
    if !error.is_parse() {
        return event::debug(Event::ConnectionEnded, &[("from", &from), ("why", &why)]);
    }
    if kind != ListenerKind::Callers {
        return event::warn(Event::ConnectionEnded, &[("from", &from), ("why", &why)]);
    }
    let (status, name) = if why.contains(LONG_URI) {
        (StatusCode::URI_TOO_LONG, "uri-too-long")
    } else if error.is_parse_too_large() {
        (StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE, HEAD_TOO_LARGE)
    } else {
        (StatusCode::BAD_REQUEST, "malformed")
    };
    node.metrics.record_call(None, name, 0);
    node.metrics.record_response(status, ResponseSource::Library);
    event::info(
        Event::Call,
        &[
            ("id", &"none"),
            ("ended", &name),
            ("status", &status.as_u16()),
            ("from", &from),
            ("why", &why),
        ],
    );
}

async fn wait_for_close(close_signal: &mut watch::Receiver<bool>) {
    // An error means that the node was dropped, which closes the listener too.
    let _ = close_signal.wait_for(|closed| *closed).await;
}

/// Waits until a connection has to close: the node stops, or the limits have been raised.
async fn wait_for_end(
    close_signal: &mut watch::Receiver<bool>,
    limits: &mut watch::Receiver<Option<CallerLimits>>,
    accepted: Option<CallerLimits>,
) {
    let outgrown = limits.wait_for(|now| {
        now.as_ref().is_some_and(|now| head_limits::is_outgrown(accepted.as_ref(), now))
    });
    tokio::select! {
        () = wait_for_close(close_signal) => {}
        // An error means that the node was dropped, which closes the listener too.
        _ = outgrown => {}
    }
}

/// Configures the HTTP server of a connection with the limits in force when it is accepted.
fn connection_builder(
    kind: ListenerKind,
    limits: Option<CallerLimits>,
    room: FieldRoom,
) -> http1::Builder {
    let mut builder = http1::Builder::new();
    // The timeout covers both the idle time before a request and the reading of its head.
    let idle_timeout = Duration::from_micros(DEFAULT_IDLE_TIMEOUT);
    builder.timer(TokioTimer::new()).header_read_timeout(idle_timeout);
    if let Some(fields) = room.fields() {
        let added = if kind == ListenerKind::Peers { head_limits::NODE_FIELDS } else { 0 };
        builder.max_headers(fields + added);
    }
    if let (ListenerKind::Callers, Some(limits)) = (kind, limits) {
        builder.header_read_timeout(Duration::from_micros(head_limits::idle_timeout(&limits)));
        builder.max_buf_size(head_limits::buffer_bytes(&limits));
    }
    builder
}

fn serve_operator(node: &Node, path: &str) -> Response<Full<Content>> {
    match path {
        bbv_platform::READINESS_PATH if node.ready() => response::local(StatusCode::OK, "ready"),
        bbv_platform::READINESS_PATH => response::local(StatusCode::SERVICE_UNAVAILABLE, "unready"),
        "/metrics" => {
            node.update_gauges();
            Response::new(Full::new(Content::from(node.metrics.render().into_bytes())))
        }
        _ => response::local(StatusCode::NOT_FOUND, "no-such-page"),
    }
}
