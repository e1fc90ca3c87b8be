//! Faults that a trial file schedules and the times at which they occur.

use bbv_core::catalogue::YamlReader;
use bbv_core::units::{MS, Micros};

/// Kind of a fault.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FaultKind {
    /// The upstream turns cold without a restart.
    Cold,
    /// All messages between two zones are lost.
    Partition,
    /// The upstream answers every request with an error without delay.
    FailFast,
    /// The node and its upstream crash without notice.
    Kill,
    /// The offered load is multiplied by the factor.
    Load,
    /// The node's process is paused.
    Pause,
    /// The platform answers no reads.
    PlatformDown,
    /// The platform answers with an older revision.
    PlatformStale,
    /// A caller repeatedly sends a request that crashes upstreams.
    Poison,
    /// The VM is replaced by a new VM with a cold upstream.
    Replace,
    /// The upstream runs slower by the factor.
    Slow,
    /// The node is drained, stopped and replaced.
    Stop,
    /// Operators take the zones out of service for the duration of the fault.
    ZoneOut,
}

/// One scheduled fault.
#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    /// Kind of the fault.
    pub kind: FaultKind,
    /// Time after the warm-up at which it first starts.
    pub start: Micros,
    /// How long it lasts.
    pub duration: Micros,
    /// Interval at which it repeats, or zero for a single occurrence.
    pub interval: Micros,
    /// First VM that it affects.
    pub vm: u32,
    /// Number of VMs that it affects.
    pub count: u32,
    /// Factor of a slowdown or of the load.
    pub factor: f64,
    /// Zones that it affects.
    pub zones: Vec<String>,
    /// Entry of a poison request; by default that of the first stream.
    pub entry: Option<String>,
}

fn parse_kind(text: &str) -> Result<FaultKind, String> {
    Ok(match text {
        "cold" => FaultKind::Cold,
        "cut" => FaultKind::Partition,
        "fail-fast" => FaultKind::FailFast,
        "kill" => FaultKind::Kill,
        "load" => FaultKind::Load,
        "pause" => FaultKind::Pause,
        "platform-down" => FaultKind::PlatformDown,
        "platform-stale" => FaultKind::PlatformStale,
        "poison" => FaultKind::Poison,
        "replace" => FaultKind::Replace,
        "slow" => FaultKind::Slow,
        "stop" => FaultKind::Stop,
        "zone-out" => FaultKind::ZoneOut,
        _ => return Err(format!("unknown fault kind {text}")),
    })
}

impl Fault {
    /// Reads a fault from a YAML mapping.
    pub fn read(item: &mut YamlReader<'_>) -> Self {
        Fault {
            kind: item.parsed("kind", parse_kind).unwrap_or(FaultKind::Slow),
            start: item.optional_uint("at_ms", 0..=86_400_000).unwrap_or(0) * MS,
            duration: item.optional_uint("for_ms", 0..=86_400_000).unwrap_or(0) * MS,
            interval: item.optional_uint("every_ms", 0..=86_400_000).unwrap_or(0) * MS,
            vm: item.optional_uint("vm", 0..=1_000_000).unwrap_or(0) as u32,
            count: item.optional_uint("count", 1..=10_000).unwrap_or(1) as u32,
            factor: item.optional_float("factor", 0.0..=1_000.0).unwrap_or(10.0),
            zones: item.optional_list("zones", |zone| zone.scalar()),
            entry: item.optional_text("entry"),
        }
    }

    /// Returns the times at which it starts, counted from the end of the warm-up. A fault that
    /// repeats starts only within `period`.
    ///
    /// ```
    /// use bbv_trial::fault::{Fault, FaultKind};
    /// let fault = Fault {
    ///     kind: FaultKind::Slow, start: 1, duration: 1, interval: 4, vm: 0, count: 1, factor: 1.0,
    ///     zones: vec![], entry: None,
    /// };
    /// assert_eq!(fault.times(10), vec![1, 5, 9]);
    /// ```
    pub fn times(&self, period: Micros) -> Vec<Micros> {
        if self.interval == 0 {
            return vec![self.start];
        }
        (0..).map(|n| self.start + n * self.interval).take_while(|time| *time < period).collect()
    }
}
