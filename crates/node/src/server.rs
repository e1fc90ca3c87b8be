//! Runs the HTTP servers of a node: one for callers and one for operators.

use std::net::SocketAddr;
use std::sync::Arc;

use eyre::{Result, WrapErr, eyre};
use salvo::conn::{Acceptor, Listener, TcpListener};
use salvo::http::StatusCode;
use salvo::server::ServerHandle;
use salvo::{Depot, FlowCtrl, Handler, Request, Response, Router, Server, async_trait};
use tokio::task::JoinHandle;

use crate::caller_api::CallerHandler;
use crate::node::Node;

/// A running HTTP server.
pub struct RunningServer {
    /// Address that it listens on.
    pub addr: SocketAddr,
    /// Handle that stops it.
    pub handle: ServerHandle,
    /// Task that runs the server.
    pub task: JoinHandle<()>,
}

/// Binds `addr` and serves `router`.
pub async fn serve(addr: SocketAddr, router: Router) -> Result<RunningServer> {
    let listener = TcpListener::new(addr).try_bind().await;
    let acceptor = listener.map_err(|e| eyre!("could not listen on {addr}: {e}"))?;
    let local_addr = acceptor.holdings().first().map(|holding| holding.local_addr.clone());
    let bound = local_addr
        .and_then(|addr| addr.into_std())
        .ok_or_else(|| eyre!("could not read the address of the listener on {addr}"))?;
    let server = Server::new(acceptor);
    let handle = server.handle();
    let task = tokio::spawn(server.serve(router));
    Ok(RunningServer { addr: bound, handle, task })
}

/// Serves the HTTP interface for callers on `addr`.
pub async fn serve_callers(addr: SocketAddr, node: Arc<Node>) -> Result<RunningServer> {
    let handler = Arc::new(CallerHandler { node });
    let root = SharedHandler(Arc::clone(&handler));
    let router =
        Router::new().goal(root).push(Router::with_path("{**rest}").goal(SharedHandler(handler)));
    serve(addr, router).await.wrap_err("could not serve callers")
}

struct SharedHandler(Arc<CallerHandler>);

#[async_trait]
impl Handler for SharedHandler {
    async fn handle(
        &self,
        request: &mut Request,
        depot: &mut Depot,
        response: &mut Response,
        ctrl: &mut FlowCtrl,
    ) {
        self.0.handle(request, depot, response, ctrl).await;
    }
}

/// Page for operators.
#[derive(Clone, Copy)]
enum Page {
    Audit,
    Live,
    Metrics,
    Ready,
    Statement,
    Status,
}

struct OperatorHandler {
    node: Arc<Node>,
    page: Page,
}

fn write_json(response: &mut Response, value: &impl serde::Serialize) {
    let body = serde_json::to_vec(value).expect("pages are encoded as JSON");
    response.headers_mut().insert(
        "content-type",
        "application/json".parse().expect("the content type is a valid value"),
    );
    response.body(body);
}

#[async_trait]
impl Handler for OperatorHandler {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        match self.page {
            Page::Audit => {
                let since = request.query::<u64>("since").unwrap_or(0);
                write_json(response, &self.node.audit(since));
            }
            Page::Live => drop(response.body("live\n")),
            Page::Metrics => drop(response.body(self.node.metrics().text())),
            Page::Ready => {
                if !self.node.ready() {
                    response.status_code(StatusCode::SERVICE_UNAVAILABLE);
                }
                response.body(if self.node.ready() { "ready\n" } else { "not ready\n" });
            }
            Page::Statement => write_json(response, &self.node.statement()),
            Page::Status => write_json(response, &self.node.status()),
        }
    }
}

/// Serves the pages for operators on `addr`.
pub async fn serve_operators(addr: SocketAddr, node: Arc<Node>) -> Result<RunningServer> {
    let pages = [
        ("audit", Page::Audit),
        ("live", Page::Live),
        ("metrics", Page::Metrics),
        ("ready", Page::Ready),
        ("statement", Page::Statement),
        ("status", Page::Status),
    ];
    let mut router = Router::new();
    for (path, page) in pages {
        let handler = OperatorHandler { node: Arc::clone(&node), page };
        router = router.push(Router::with_path(path).get(handler));
    }
    serve(addr, router).await.wrap_err("could not serve operators")
}
