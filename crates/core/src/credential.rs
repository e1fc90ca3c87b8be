//! Decides by its key whether bbv-mesh accepts a request, and for which organisation.
//!
//! A denial is final for a caller, while a refusal as unavailable is not; so a node denies a key only if
//! it knows of no newer routing and its knowledge is recent. It matters after each change of keys and while
//! a node is cut off.

use std::sync::Arc;

use crate::organisation::Organisation;
use crate::route::{Route, Routing};

/// What a request shows of its sender.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Sender<'a> {
    /// A caller, with its key if it sent one.
    Caller(Option<&'a str>),
    /// A request that runs on the upstream of this node.
    RunningRequest,
    /// A request that would run on the upstream of this node, going by the id, but does not.
    EndedRequest,
}

/// What a node knows of the routing in force.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Standing {
    /// Whether others know a newer routing.
    pub behind: bool,
    /// Whether it is recent enough for keys to be accepted.
    pub proven: bool,
}

/// Decision about the key of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// It needs no key.
    Unneeded,
    /// An organisation holds it.
    Held(Arc<Organisation>),
    /// No organisation holds it.
    Unknown,
    /// Others may know a routing in which an organisation holds it.
    Behind,
    /// It may have been taken away, or given, in the meantime.
    Unproven,
    /// The request that made this one has ended.
    Orphaned,
}

/// Decides about a request on `route`.
///
/// ```
/// use bbv_core::credential::{judge, Sender, Standing, Verdict};
/// use bbv_core::route::{CallerLimits, Route, Routing};
/// let limits = CallerLimits { head: 1, body: 1, head_time: 1, idle: 1 };
/// let routing = Routing::new(1, limits, Default::default(), Vec::new());
/// let route = Route {
///     name: "r".into(), host: "h".into(), prefix: "/".into(), parts: Vec::new(), idempotent: true,
///     timeout: 1, target: 1, attempts: 1, rank: 0, homes: Default::default(), keyless: false,
/// };
/// let standing = Standing { behind: false, proven: false };
/// assert_eq!(judge(&routing, &route, Sender::Caller(None), standing), Verdict::Unneeded);
/// ```
pub fn judge(routing: &Routing, route: &Route, sender: Sender<'_>, standing: Standing) -> Verdict {
    if routing.organisations.is_empty() || route.keyless {
        return Verdict::Unneeded;
    }
    let key = match sender {
        Sender::RunningRequest => return Verdict::Unneeded,
        Sender::EndedRequest => return Verdict::Orphaned,
        Sender::Caller(key) => key,
    };
    if !standing.proven {
        return Verdict::Unproven;
    }
    match key.and_then(|key| routing.organisations.find(key)) {
        Some(organisation) => Verdict::Held(Arc::clone(organisation)),
        None if standing.behind => Verdict::Behind,
        None => Verdict::Unknown,
    }
}
