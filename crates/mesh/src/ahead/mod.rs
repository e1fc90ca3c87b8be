//! Requests that a caller sends ahead: they are started beside the one that is being answered, and
//! are answered in order.
//!
//! The HTTP library's server of the connection frames and orders all requests and responses. A second
//! server of the library reads a copy of what lies behind the request that is open, and
//! starts the requests that may run before their turn. `docs/design/requests-ahead.md` says why.

mod connection;
mod queue;
mod read_ahead;
mod reader;
mod started;
mod stream;
mod tracked;

pub(crate) use connection::AheadConnection;
pub(crate) use queue::Queue;
pub(crate) use read_ahead::ReadAhead;
pub(crate) use stream::AheadStream;
pub(crate) use tracked::Tracked;

use bbv_core::units::{MS, Micros};

/// Requests of one connection that may be open before their turn.
const MAX_AHEAD: usize = 16;
/// Bytes that a connection holds before its server takes them. More stay with the caller.
const MAX_UNREAD_BYTES: usize = 32_768;
/// Bytes that are kept to be read a second time, ahead of their turn.
const MAX_COPIED_BYTES: usize = 65_536;
/// Bytes of these that the server of the connection may have read by itself. They may be those of a single
/// request, which stay until the next one.
const MAX_SERVED_BYTES: usize = 16_384;
/// Interval at which a connection that holds as much as it may is checked for its end.
const CLOSE_POLL: Micros = 100 * MS;
