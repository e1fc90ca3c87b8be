//! Faults of a trial and the times at which they come.

use bbv_core::catalogue::YamlReader;
use bbv_core::units::{MS, Micros};

/// What happens.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// The upstream turns cold without a restart.
    Cold,
    /// The links between two zones carry nothing.
    Cut,
    /// The upstream fails every request at once.
    FailFast,
    /// The node and its upstream die without a word.
    Kill,
    /// More calls are offered by the factor.
    Load,
    /// The node's process is paused.
    Pause,
    /// The platform answers nothing.
    PlatformDown,
    /// The platform answers from an older state.
    PlatformStale,
    /// A caller sends a request that crashes upstreams, again and again.
    Poison,
    /// The VM is replaced by a new one with a cold upstream.
    Replace,
    /// The upstream runs slower by the factor.
    Slow,
    /// The node is stopped as planned and replaced.
    Stop,
    /// Operators take the zone out of service, and back after the time.
    ZoneOut,
}

/// One fault.
#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    /// What happens.
    pub kind: Kind,
    /// Time after the lead at which it begins.
    pub at: Micros,
    /// How long it lasts.
    pub span: Micros,
    /// Interval after which it comes again, or zero.
    pub every: Micros,
    /// First VM that it affects.
    pub vm: u32,
    /// Number of VMs that it affects.
    pub count: u32,
    /// Factor of a slow-down or of load.
    pub factor: f64,
    /// Zones that it affects.
    pub zones: Vec<String>,
    /// Entry of a poison request.
    pub entry: Option<String>,
}

fn kind(text: &str) -> Result<Kind, String> {
    Ok(match text {
        "cold" => Kind::Cold,
        "cut" => Kind::Cut,
        "fail-fast" => Kind::FailFast,
        "kill" => Kind::Kill,
        "load" => Kind::Load,
        "pause" => Kind::Pause,
        "platform-down" => Kind::PlatformDown,
        "platform-stale" => Kind::PlatformStale,
        "poison" => Kind::Poison,
        "replace" => Kind::Replace,
        "slow" => Kind::Slow,
        "stop" => Kind::Stop,
        "zone-out" => Kind::ZoneOut,
        _ => return Err(format!("{text} is not a kind of fault")),
    })
}

impl Fault {
    /// Reads a fault from a mapping.
    pub fn read(item: &mut YamlReader<'_>) -> Self {
        Fault {
            kind: item.parsed("kind", kind).unwrap_or(Kind::Slow),
            at: item.optional_uint("at_ms", 0..=86_400_000).unwrap_or(0) * MS,
            span: item.optional_uint("for_ms", 0..=86_400_000).unwrap_or(0) * MS,
            every: item.optional_uint("every_ms", 0..=86_400_000).unwrap_or(0) * MS,
            vm: item.optional_uint("vm", 0..=1_000_000).unwrap_or(0) as u32,
            count: item.optional_uint("count", 1..=10_000).unwrap_or(1) as u32,
            factor: item.optional_float("factor", 0.0..=1_000.0).unwrap_or(10.0),
            zones: item.optional_list("zones", |zone| zone.scalar()),
            entry: item.optional_text("entry"),
        }
    }

    /// Times at which it begins within `length`.
    ///
    /// ```
    /// use bbv_trial::fault::{Fault, Kind};
    /// let fault = Fault {
    ///     kind: Kind::Slow, at: 1, span: 1, every: 4, vm: 0, count: 1, factor: 1.0,
    ///     zones: vec![], entry: None,
    /// };
    /// assert_eq!(fault.times(10), vec![1, 5, 9]);
    /// ```
    pub fn times(&self, length: Micros) -> Vec<Micros> {
        if self.every == 0 {
            return vec![self.at];
        }
        (0..).map(|n| self.at + n * self.every).take_while(|at| *at < length).collect()
    }
}
