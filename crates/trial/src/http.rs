//! Stand-ins over HTTP: the platform and an upstream.

use std::net::SocketAddr;
use std::sync::Arc;

use bbv_core::units::MS;
use bbv_node::caller_api::end_to_end_headers;
use bbv_node::platform::WireChanges;
use bbv_node::ports::UpstreamCall;
use bbv_node::server::{RunningServer, serve};
use bbv_node::upstream::INSTANCE_HEADER;
use bbv_wire::CallerRequest;
use eyre::Result;
use salvo::http::{ResBody, StatusCode};
use salvo::{Depot, FlowCtrl, Handler, Request, Response, Router, async_trait};

use crate::model::UpstreamModel;
use crate::platform::Platform;

/// Header with the time that the upstream took, in microseconds.
pub const TOOK: &str = "x-took-us";

const BODY_MAX: usize = 1_024 * 1_024;

struct Changes(Arc<Platform>);

#[async_trait]
impl Handler for Changes {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let since = request.query::<u64>("since").unwrap_or(0);
        let wait = request.query::<u64>("wait_ms").unwrap_or(0) * MS;
        match self.0.read(since, wait).await {
            Ok(published) => {
                let wire = WireChanges::from(published);
                response.body(serde_json::to_vec(&wire).expect("changes are encoded as JSON"));
            }
            Err(reason) => {
                response.status_code(StatusCode::SERVICE_UNAVAILABLE);
                response.body(reason);
            }
        }
    }
}

/// Serves a platform.
pub async fn serve_platform(addr: SocketAddr, platform: Arc<Platform>) -> Result<RunningServer> {
    let router = Router::new().push(Router::with_path("v1/changes").get(Changes(platform)));
    serve(addr, router).await
}

struct Runs(Arc<UpstreamModel>);

#[async_trait]
impl Handler for Runs {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let Ok(body) = request.payload_with_max_size(BODY_MAX).await.cloned() else {
            response.status_code(StatusCode::PAYLOAD_TOO_LARGE);
            return;
        };
        let path = request.uri().path_and_query().map_or("/", |path| path.as_str()).to_owned();
        let call = UpstreamCall {
            request: CallerRequest {
                method: request.method().as_str().to_owned(),
                path,
                headers: end_to_end_headers(request.headers()),
                body,
                ..CallerRequest::default()
            },
            ttl: u64::MAX,
        };
        let started = std::time::Instant::now();
        match self.0.run(call).await {
            Ok(answer) => {
                let took = (started.elapsed().as_micros() as u64).into();
                response.headers_mut().insert(TOOK, took);
                let status = StatusCode::from_u16(answer.status).expect("models answer a status");
                response.status_code(status);
                if let Some(instance) = answer.instance {
                    let value = instance.to_string().parse().expect("a number is a header value");
                    response.headers_mut().insert(INSTANCE_HEADER, value);
                }
                response.body(answer.body);
            }
            Err(_) => {
                // Breaks the connection, as a crash does.
                let broken = std::io::Error::other("upstream is gone");
                let stream = futures_util::stream::once(async { Err::<Vec<u8>, _>(broken) });
                response.body(ResBody::stream(stream));
            }
        }
    }
}

/// Page that tells a fixed text whatever the load is, as misleading endpoints do.
struct Says(&'static str);

#[async_trait]
impl Handler for Says {
    async fn handle(
        &self,
        _request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        response.body(self.0);
    }
}

/// Serves an upstream; its health and load endpoints always claim to be idle.
pub async fn serve_upstream(addr: SocketAddr, model: Arc<UpstreamModel>) -> Result<RunningServer> {
    let router = Router::new()
        .push(Router::with_path("health").get(Says("ok\n")))
        .push(Router::with_path("load").get(Says("{\"running\":0}\n")))
        .push(Router::with_path("{**rest}").goal(Runs(model)));
    serve(addr, router).await
}
