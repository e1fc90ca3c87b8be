//! Limits on connections of callers, and on the heads of requests and responses at each hop.
//!
//! The configuration limits the size of a caller's header fields. The HTTP library has limits of its
//! own, beyond which it answers a request by itself.

use bbv_core::route::CallerLimits;
use bbv_core::units::{Micros, SEC};
use http::HeaderMap;

/// Number of header fields that a node and the HTTP library may add to a message.
pub(crate) const NODE_FIELDS: usize = 16;

/// Idle timeout of connections from other nodes and operators, and of callers before a routing is
/// known; longer than the time for which nodes keep idle connections in their pools.
pub(crate) const DEFAULT_IDLE_TIMEOUT: Micros = 16 * SEC;
/// Smallest read buffer of a caller's connection. The library refuses a URI from 65,535 bytes on as too long
/// if the request line fits, and any other head that does not fit as one with too large fields.
const MIN_BUFFER_BYTES: usize = 81_920;
/// Bytes of a header field besides its name and value: a colon and the end of the line.
const FIELD_OVERHEAD_BYTES: usize = 3;

/// Returns the size of the read buffer of a caller's connection, which a whole head has to fit
/// into: the header fields, and a request line of the same size.
pub(crate) fn buffer_bytes(limits: &CallerLimits) -> usize {
    limits.head.saturating_mul(2).max(MIN_BUFFER_BYTES)
}

/// Returns whether a connection that was accepted under `accepted` has a smaller buffer or a shorter
/// idle timeout than `now` allows callers to rely on. A connection that was accepted before any
/// routing was known has the library's buffer and [`DEFAULT_IDLE_TIMEOUT`].
pub(crate) fn is_outgrown(accepted: Option<&CallerLimits>, now: &CallerLimits) -> bool {
    let buffer = accepted.map_or(usize::MAX, buffer_bytes);
    let idle = accepted.map_or(DEFAULT_IDLE_TIMEOUT, idle_timeout);
    buffer_bytes(now) > buffer || idle_timeout(now) > idle
}

/// Returns the time for which a connection may be idle or send a head.
pub(crate) fn idle_timeout(limits: &CallerLimits) -> Micros {
    limits.idle.max(limits.head_time)
}

/// Returns the size of header fields, without optional white space.
pub(crate) fn field_bytes(headers: &HeaderMap) -> usize {
    let bytes = |(name, value): (&http::HeaderName, &http::HeaderValue)| {
        name.as_str().len() + value.len() + FIELD_OVERHEAD_BYTES
    };
    headers.iter().map(bytes).sum()
}
