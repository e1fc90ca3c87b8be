//! Log events of a node, written as `key=value` lines, with a rate limit per kind of event.

use std::fmt::{Display, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use log::Level;

/// Kinds of events; `docs/OPERATIONS.md` describes the keys of each.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Event {
    /// A connection could not be accepted.
    AcceptFailed,
    /// A connection goes on without reading requests ahead, or ended with such requests.
    AheadEnded,
    /// A request of a caller completed, or its caller disconnected.
    Call,
    /// The body of a request could not be received.
    CallBroken,
    /// No route matched a request.
    CallUnrouted,
    /// A connection ended with an error.
    ConnectionEnded,
    /// A node did not answer a request for a token of an organisation's quota.
    GranterSilent,
    /// A request completed, was refused or failed at a gate.
    GateEnded,
    /// An item of the store could not be decoded.
    ItemUnreadable,
    /// The node began or ceased to accept keys.
    KeysAccepted,
    /// Lines of one kind exceeded the rate limit and were not written.
    Limited,
    /// Metrics could not be encoded.
    MetricsFailed,
    /// A load notice could not be sent, received or decoded.
    NoticeFailed,
    /// A health check got no response.
    ProbeFailed,
    /// The store answers again after an outage in which entries of upstreams may have expired.
    OutageEnded,
    /// Changes could not be fetched from another node or encoded for one.
    PullFailed,
    /// The node grants quotas of other organisations than before.
    QuotasAssigned,
    /// The node began or ceased to read the store for its zone.
    ReaderChanged,
    /// A region that was out of reach has sent a message.
    RegionBack,
    /// A region is out of reach.
    RegionLost,
    /// Settings were read again.
    Reloaded,
    /// The room of the upstream beside the node changed by a rank or more.
    RoomChanged,
    /// A request of a caller was refused since the services that it needs lack room.
    Shed,
    /// The node started.
    Started,
    /// The node stopped.
    Stopped,
    /// The node began to shut down.
    Stopping,
    /// The store no longer has the requested changes.
    StoreForgot,
    /// The store could not be read.
    StoreLost,
    /// The store can be read again.
    StoreRegained,
    /// The store has come back from an older copy.
    StoreRestored,
    /// A background task panicked and was started again.
    TaskPanicked,
    /// An attempt to send a request to a gate failed.
    Tried,
    /// The upstream crashed while running a request.
    UpstreamCrashed,
    /// The upstream refuses connections.
    UpstreamDown,
    /// The upstream reported a different instance than before.
    UpstreamInstance,
    /// The upstream accepts connections again.
    UpstreamUp,
    /// The node's view of the fleet changed.
    ViewChanged,
}

/// All events, in the order of declaration.
pub const EVENTS: &[Event] = &[
    Event::AcceptFailed,
    Event::AheadEnded,
    Event::Call,
    Event::CallBroken,
    Event::CallUnrouted,
    Event::ConnectionEnded,
    Event::GranterSilent,
    Event::GateEnded,
    Event::ItemUnreadable,
    Event::KeysAccepted,
    Event::Limited,
    Event::MetricsFailed,
    Event::NoticeFailed,
    Event::ProbeFailed,
    Event::OutageEnded,
    Event::PullFailed,
    Event::QuotasAssigned,
    Event::ReaderChanged,
    Event::RegionBack,
    Event::RegionLost,
    Event::Reloaded,
    Event::RoomChanged,
    Event::Shed,
    Event::Started,
    Event::Stopped,
    Event::Stopping,
    Event::StoreForgot,
    Event::StoreLost,
    Event::StoreRegained,
    Event::StoreRestored,
    Event::TaskPanicked,
    Event::Tried,
    Event::UpstreamCrashed,
    Event::UpstreamDown,
    Event::UpstreamInstance,
    Event::UpstreamUp,
    Event::ViewChanged,
];

/// Maximum lines of one kind per second; more lines about one overload add no information.
const MAX_LINES_PER_S: u64 = 100;

/// Lines of one kind in the current second.
struct Window {
    second: AtomicU64,
    lines: AtomicU64,
}

static WINDOWS: [Window; EVENTS.len()] =
    [const { Window { second: AtomicU64::new(0), lines: AtomicU64::new(0) } }; EVENTS.len()];

impl Event {
    /// Returns the name used in the log, in kebab case.
    ///
    /// ```
    /// assert_eq!(bbv_mesh::event::Event::StoreLost.name(), "store-lost");
    /// ```
    pub fn name(self) -> String {
        let mut name = String::new();
        for character in format!("{self:?}").chars() {
            if character.is_uppercase() && !name.is_empty() {
                name.push('-');
            }
            name.push(character.to_ascii_lowercase());
        }
        name
    }
}

/// Logs `event=NAME ts_ms=TIME`, followed by `values`, at the info level.
///
/// ```
/// use bbv_mesh::event::{Event, info};
/// info(Event::Started, &[("node", &"a"), ("zone", &"z")]);
/// ```
pub fn info(event: Event, values: &[(&str, &dyn Display)]) {
    write(Level::Info, event, values);
}

/// Logs an event that needs attention, at the warn level.
///
/// ```
/// use bbv_mesh::event::{Event, warn};
/// warn(Event::StoreLost, &[("why", &"no answer")]);
/// ```
pub fn warn(event: Event, values: &[(&str, &dyn Display)]) {
    write(Level::Warn, event, values);
}

/// Logs an event that is shown only with `RUST_LOG=debug`.
///
/// ```
/// use bbv_mesh::event::{Event, debug};
/// debug(Event::Call, &[("id", &"a1")]);
/// ```
pub fn debug(event: Event, values: &[(&str, &dyn Display)]) {
    write(Level::Debug, event, values);
}

fn write(level: Level, event: Event, values: &[(&str, &dyn Display)]) {
    if !log::log_enabled!(level) {
        return;
    }
    let (allowed, suppressed) = count_line(event);
    if suppressed > 0 {
        let (of, ts) = (event.name(), unix_ms());
        log::warn!("event=limited ts_ms={ts} of={of} lines={suppressed}");
    }
    if allowed {
        log::log!(level, "{}", format_line(event, values));
    }
}

/// Counts a line; returns whether it may be written, and at the first line of a new second the
/// number of lines suppressed before.
fn count_line(event: Event) -> (bool, u64) {
    static START: std::sync::OnceLock<Instant> = std::sync::OnceLock::new();
    let second = START.get_or_init(Instant::now).elapsed().as_secs();
    let window = &WINDOWS[event as usize];
    let mut suppressed = 0;
    if window.second.swap(second, Ordering::Relaxed) != second {
        suppressed = window.lines.swap(0, Ordering::Relaxed).saturating_sub(MAX_LINES_PER_S);
    }
    (window.lines.fetch_add(1, Ordering::Relaxed) < MAX_LINES_PER_S, suppressed)
}

/// Returns the wall-clock time, used only to join the logs of several nodes.
fn unix_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis()
}

fn format_line(event: Event, values: &[(&str, &dyn Display)]) -> String {
    let mut line = format!("event={} ts_ms={}", event.name(), unix_ms());
    for (key, value) in values {
        let value = value.to_string();
        let plain = !value.is_empty() && !value.contains([' ', '"', '=', '\n']);
        // Writing to a `String` cannot fail.
        let _ =
            if plain { write!(line, " {key}={value}") } else { write!(line, " {key}={value:?}") };
    }
    line
}
