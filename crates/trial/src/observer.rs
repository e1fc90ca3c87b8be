//! Independent check of what must always hold, fed by the fakes alone.

use std::collections::BTreeMap;

use bbv_core::units::{MS, Micros, SEC};
use hdrhistogram::Histogram;
use parking_lot::Mutex;

/// How a caller saw a call end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Seen {
    /// Whole answer.
    Answered,
    /// Told that it is not run.
    NotRun,
    /// Answer by which the upstream tells that it failed.
    Failed,
    /// Told nothing certain.
    Unknown,
}

#[derive(Clone, Debug, Default)]
struct Ran {
    once: bool,
    runs: u32,
    seen: Option<Seen>,
}

/// Runs that began within one window.
#[derive(Clone, Copy, Debug, Default)]
struct Window {
    first: u64,
    extra: u64,
}

/// Facts gathered during a trial.
#[derive(Debug)]
pub struct Facts {
    calls: BTreeMap<u64, Ran>,
    windows: BTreeMap<u64, Window>,
    latency: Histogram<u64>,
    refusal: Histogram<u64>,
    by_entry: BTreeMap<String, Histogram<u64>>,
    /// Calls that ended with an answer, within the measured time.
    pub answered: u64,
    /// Calls that were refused.
    pub refused: u64,
    /// Calls that ended with the upstream's own failure.
    pub failed: u64,
    /// Calls of unknown outcome.
    pub unknown: u64,
    /// Calls that ended.
    pub ended: u64,
    /// Requests on an upstream above its slots, at most.
    pub over_cap: u64,
    /// Starts on a cold upstream above its cold limit.
    pub cold_overload: u64,
    /// Answers that belong to another call.
    pub crossed: u64,
    /// Requests that ran when their node exited as planned.
    pub cut: u64,
    /// Longest time after the order at which an out zone got new work.
    pub late_out: Micros,
    /// Upstreams that crashed by the same poison request, at most.
    pub poison_crashes: BTreeMap<u64, u64>,
    /// Runs on upstreams.
    pub runs: u64,
}

/// Shared observer.
#[derive(Debug)]
pub struct Observer {
    facts: Mutex<Facts>,
}

const WINDOW: Micros = 100 * MS;
const WINDOW_RUNS: u64 = 50;
const LATENCY_MAX: u64 = 600 * SEC;

fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(LATENCY_MAX, 3).expect("histogram bounds are valid")
}

impl Default for Observer {
    fn default() -> Self {
        Observer {
            facts: Mutex::new(Facts {
                calls: BTreeMap::new(),
                windows: BTreeMap::new(),
                latency: histogram(),
                refusal: histogram(),
                by_entry: BTreeMap::new(),
                answered: 0,
                refused: 0,
                failed: 0,
                unknown: 0,
                ended: 0,
                over_cap: 0,
                cold_overload: 0,
                crossed: 0,
                cut: 0,
                late_out: 0,
                poison_crashes: BTreeMap::new(),
                runs: 0,
            }),
        }
    }
}

impl Observer {
    /// Records that an upstream began to run a call.
    pub fn ran(&self, now: Micros, call: u64, once: bool) {
        let mut facts = self.facts.lock();
        facts.runs += 1;
        let ran = facts.calls.entry(call).or_default();
        ran.once |= once;
        ran.runs += 1;
        let first = ran.runs == 1;
        let window = facts.windows.entry(now / WINDOW).or_default();
        if first {
            window.first += 1;
        } else {
            window.extra += 1;
        }
    }

    /// Records how the caller saw the call end.
    pub fn ended(&self, call: u64, entry: &str, seen: Seen, latency: Micros, measured: bool) {
        let mut facts = self.facts.lock();
        facts.calls.entry(call).or_default().seen = Some(seen);
        if !measured {
            return;
        }
        facts.ended += 1;
        let latency = latency.clamp(1, LATENCY_MAX);
        match seen {
            Seen::Answered => {
                facts.answered += 1;
                facts.latency.saturating_record(latency);
                let by_entry = facts.by_entry.entry(entry.to_owned()).or_insert_with(histogram);
                by_entry.saturating_record(latency);
            }
            Seen::NotRun => {
                facts.refused += 1;
                facts.refusal.saturating_record(latency);
            }
            Seen::Failed => facts.failed += 1,
            Seen::Unknown => facts.unknown += 1,
        }
    }

    /// Changes the facts.
    pub fn note(&self, change: impl FnOnce(&mut Facts)) {
        change(&mut self.facts.lock());
    }

    /// Reads the facts.
    pub fn read<T>(&self, read: impl FnOnce(&Facts) -> T) -> T {
        read(&self.facts.lock())
    }
}

impl Facts {
    /// Calls that ran more than once although they must not.
    pub fn double_runs(&self) -> u64 {
        self.calls.values().filter(|ran| ran.once && ran.runs > 1).count() as u64
    }

    /// Calls that ran although the caller was told that they did not.
    pub fn false_not_run(&self) -> u64 {
        let told = |ran: &&Ran| ran.seen == Some(Seen::NotRun);
        self.calls.values().filter(told).filter(|ran| ran.runs > 0).count() as u64
    }

    /// Runs beyond the first one of each call, as a share of the calls that ran.
    pub fn extra_runs(&self) -> f64 {
        let ran = self.calls.values().filter(|ran| ran.runs > 0).count() as u64;
        self.runs.saturating_sub(ran) as f64 / ran.max(1) as f64
    }

    /// Largest share of further runs among the runs of one window of 100 ms that has at
    /// least 50 first ones.
    pub fn extra_peak(&self) -> f64 {
        let busy = self.windows.values().filter(|window| window.first >= WINDOW_RUNS);
        busy.map(|window| window.extra as f64 / window.first as f64).fold(0.0, f64::max)
    }

    /// Calls that were answered although they never ran.
    pub fn false_answers(&self) -> u64 {
        let told = |ran: &&Ran| ran.seen == Some(Seen::Answered);
        self.calls.values().filter(told).filter(|ran| ran.runs == 0).count() as u64
    }

    /// Latency of answered calls at a quantile, in milliseconds.
    pub fn latency_ms(&self, quantile: f64) -> f64 {
        self.latency.value_at_quantile(quantile) as f64 / 1_000.0
    }

    /// Latency of refused calls at a quantile, in milliseconds.
    pub fn refusal_ms(&self, quantile: f64) -> f64 {
        self.refusal.value_at_quantile(quantile) as f64 / 1_000.0
    }

    /// Latency of answered calls by entry at a quantile, in milliseconds.
    pub fn entry_ms(&self, quantile: f64) -> BTreeMap<String, f64> {
        let quantile = |h: &Histogram<u64>| h.value_at_quantile(quantile) as f64 / 1_000.0;
        self.by_entry.iter().map(|(name, h)| (name.clone(), quantile(h))).collect()
    }
}
