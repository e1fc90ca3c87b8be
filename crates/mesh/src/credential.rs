//! Checks the keys of requests and replaces them by the names of their organisations.

use std::sync::Arc;

use bbv_core::credential::{self, Sender, Standing, Verdict};
use bbv_core::organisation::Organisation;
use bbv_core::route::{Route, Routing};
use bbv_core::units::Micros;
use bbv_platform::header;
use http::StatusCode;
use http::header::{HeaderMap, HeaderValue};
use http::request::Parts;

use crate::ingress::{CallOutcome, DEFAULT_RETRY_AFTER};
use crate::node::Node;
use crate::state::State;

/// Character before the last part of the id of a request that an upstream makes.
const CALL_MARK: u8 = b'.';

/// Removes the key of a request, and sets or removes the name of its organisation.
pub(crate) fn replace_key(headers: &mut HeaderMap, organisation: Option<&Organisation>) {
    headers.remove(header::KEY);
    headers.remove(header::ORGANISATION);
    let name = organisation.and_then(|known| HeaderValue::from_str(&known.name).ok());
    if let Some(name) = name {
        headers.insert(header::ORGANISATION, name);
    }
}

impl State {
    /// Returns the routing in force and how far it can be relied on, as of the same moment.
    fn standing(&self, since_boot: Micros, limit: Option<Micros>) -> Standing {
        let proven = limit.is_none_or(|limit| !self.proof.is_older(since_boot, limit));
        Standing { behind: self.control.lag.is_behind(self.view.control), proven }
    }
}

impl Node {
    /// Returns the routing in force, and how far keys can be judged by it as of the same moment.
    pub(crate) fn routing_in_force(&self) -> Option<(Arc<Routing>, Standing)> {
        let state = self.lock();
        let routing = Arc::clone(state.routing()?);
        if routing.organisations.is_empty() {
            return Some((routing, Standing { behind: false, proven: true }));
        }
        let standing = state.standing(self.timer.since_boot(), self.settings.proof_limit());
        Some((routing, standing))
    }

    /// Returns the organisation that sent a request, if one is needed.
    pub(crate) fn check_key(
        &self,
        routing: &Routing,
        route: &Route,
        head: &Parts,
        standing: Standing,
    ) -> Result<Option<Arc<Organisation>>, Box<CallOutcome>> {
        if routing.organisations.is_empty() || route.keyless {
            return Ok(None);
        }
        match credential::judge(routing, route, self.sender(head), standing) {
            Verdict::Unneeded => Ok(None),
            Verdict::Held(organisation) => Ok(Some(organisation)),
            Verdict::Unknown => {
                self.metrics.keys_refused.with_label_values(&["unknown"]).inc();
                Err(Box::new(CallOutcome::error(StatusCode::UNAUTHORIZED, "unknown-key")))
            }
            Verdict::Behind => Err(self.refuse_key("behind", "key-behind")),
            Verdict::Unproven => Err(self.refuse_key("unproven", "key-unproven")),
            Verdict::Orphaned => Err(self.refuse_key("orphaned", "parent-ended")),
        }
    }

    fn refuse_key(&self, why: &str, name: &'static str) -> Box<CallOutcome> {
        self.metrics.keys_refused.with_label_values(&[why]).inc();
        Box::new(CallOutcome::refused(name, DEFAULT_RETRY_AFTER))
    }

    fn sender<'a>(&self, head: &'a Parts) -> Sender<'a> {
        if let Some(key) = head.headers.get(header::KEY) {
            return Sender::Caller(std::str::from_utf8(key.as_bytes()).ok());
        }
        match head.headers.get(header::ATTEMPT_ID) {
            Some(id) if self.lock().local.parent(id).is_some() => Sender::RunningRequest,
            Some(id) if id.as_bytes().contains(&CALL_MARK) => Sender::EndedRequest,
            _ => Sender::Caller(None),
        }
    }
}
