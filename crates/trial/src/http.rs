//! Serves the stand-ins of the platform and of an upstream over HTTP.

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

/// Header with the service time of the upstream in microseconds.
pub const SERVICE_TIME_HEADER: &str = "x-took-us";

const MAX_BODY_BYTES: usize = 1_024 * 1_024;

struct ChangesHandler(Arc<Platform>);

#[async_trait]
impl Handler for ChangesHandler {
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
                response.body(serde_json::to_vec(&wire).expect("changes can be encoded as JSON"));
            }
            Err(reason) => {
                response.status_code(StatusCode::SERVICE_UNAVAILABLE);
                response.body(reason);
            }
        }
    }
}

/// Serves the changes of a platform.
pub async fn serve_platform(addr: SocketAddr, platform: Arc<Platform>) -> Result<RunningServer> {
    let router = Router::new().push(Router::with_path("v1/changes").get(ChangesHandler(platform)));
    serve(addr, router).await
}

struct ModelHandler(Arc<UpstreamModel>);

#[async_trait]
impl Handler for ModelHandler {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let Ok(body) = request.payload_with_max_size(MAX_BODY_BYTES).await.cloned() else {
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
        let start = std::time::Instant::now();
        match self.0.run(call).await {
            Ok(answer) => {
                let service_time = (start.elapsed().as_micros() as u64).into();
                response.headers_mut().insert(SERVICE_TIME_HEADER, service_time);
                let status = StatusCode::from_u16(answer.status)
                    .expect("the model returns a valid status code");
                response.status_code(status);
                if let Some(instance) = answer.instance {
                    let value =
                        instance.to_string().parse().expect("a number is a valid header value");
                    response.headers_mut().insert(INSTANCE_HEADER, value);
                }
                response.body(answer.body);
            }
            Err(_) => {
                // Breaks the connection, as the crash of an upstream does.
                let error = std::io::Error::other("upstream crashed");
                let stream = futures_util::stream::once(async { Err::<Vec<u8>, _>(error) });
                response.body(ResBody::stream(stream));
            }
        }
    }
}

/// Page with a fixed text at any load, like health endpoints that do not reflect the load.
struct FixedPage(&'static str);

#[async_trait]
impl Handler for FixedPage {
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

/// Serves an upstream. Its health and load pages report an idle upstream at any load.
pub async fn serve_upstream(addr: SocketAddr, model: Arc<UpstreamModel>) -> Result<RunningServer> {
    let router = Router::new()
        .push(Router::with_path("health").get(FixedPage("ok\n")))
        .push(Router::with_path("load").get(FixedPage("{\"running\":0}\n")))
        .push(Router::with_path("{**rest}").goal(ModelHandler(model)));
    serve(addr, router).await
}
