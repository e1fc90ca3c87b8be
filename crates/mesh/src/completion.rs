//! Outcome of a request at a gate, and its form as a response to the ingress.

use bbv_core::route::Name;
use bbv_core::units::Micros;
use http::{Response, StatusCode};
use http_body_util::Full;

use crate::content::Content;
use crate::message::{self, GateOutcome, GateReply};
use crate::response;

/// Outcome of a request at the gate, with its response if there is one.
pub(crate) struct Completion {
    /// What became of the request.
    pub outcome: GateOutcome,
    /// Expected time until there is room, if it was refused.
    pub retry_after: Micros,
    /// Service time at normal speed.
    pub service_time: Micros,
    /// Whether a call that the request made was refused.
    pub call_refused: bool,
    /// Cause of a failure, for logs.
    pub cause: String,
    /// Response of the upstream.
    pub response: Option<Response<Full<Content>>>,
}

impl Completion {
    pub fn refused(outcome: GateOutcome, retry_after: Micros) -> Self {
        Completion {
            outcome,
            retry_after,
            service_time: 0,
            call_refused: false,
            cause: "none".to_owned(),
            response: None,
        }
    }

    pub fn failed(outcome: GateOutcome, cause: String) -> Self {
        Completion {
            outcome,
            retry_after: 0,
            service_time: 0,
            call_refused: false,
            cause,
            response: None,
        }
    }

    pub fn answered(
        response: Response<Full<Content>>,
        service_time: Micros,
        call_refused: bool,
    ) -> Self {
        let cause = "none".to_owned();
        Completion {
            outcome: GateOutcome::Answered,
            retry_after: 0,
            service_time,
            call_refused,
            cause,
            response: Some(response),
        }
    }
}

/// Result of one request at a gate.
pub(crate) struct GateResult {
    /// Outcome and load of the gate.
    pub reply: GateReply,
    /// Response of the upstream, if there is one.
    pub response: Option<Response<Full<Content>>>,
    /// Mean number of calls that requests of its route make, by service.
    pub calls: Vec<(Name, f64)>,
}

impl GateResult {
    /// Builds the response to the ingress.
    pub fn into_response(self) -> Response<Full<Content>> {
        let name = self.reply.outcome.name();
        let local = || response::local(StatusCode::SERVICE_UNAVAILABLE, name);
        let mut response = self.response.unwrap_or_else(local);
        self.reply.write(response.headers_mut());
        message::write_calls(&self.calls, response.headers_mut());
        response
    }
}
