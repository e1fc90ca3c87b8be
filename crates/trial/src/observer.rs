//! Measures a trial and counts violations of the guarantees. Only callers, upstreams and faults
//! report to it, so that the result doesn't depend on what the nodes count themselves.

use std::collections::BTreeMap;

use bbv_core::units::{MS, Micros, SEC};
use hdrhistogram::Histogram;
use parking_lot::Mutex;

/// Outcome of a call as its caller sees it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallerOutcome {
    /// A complete answer arrived.
    Answered,
    /// The call was refused and reported as not run.
    NotRun,
    /// The upstream answered with an error.
    Failed,
    /// The caller can't know whether the call ran.
    Unknown,
}

#[derive(Clone, Debug, Default)]
struct CallRecord {
    at_most_once: bool,
    runs: u32,
    outcome: Option<CallerOutcome>,
}

/// Runs that started within one window.
#[derive(Clone, Copy, Debug, Default)]
struct RunWindow {
    first: u64,
    repeated: u64,
}

/// Measurements taken during a trial.
#[derive(Debug)]
pub struct Metrics {
    calls: BTreeMap<u64, CallRecord>,
    windows: BTreeMap<u64, RunWindow>,
    latency: Histogram<u64>,
    refusal_latency: Histogram<u64>,
    entry_latency: BTreeMap<String, Histogram<u64>>,
    /// Calls answered, among those that started in the measured period.
    pub answered: u64,
    /// Calls that were refused.
    pub refused: u64,
    /// Calls that the upstream answered with an error.
    pub failed: u64,
    /// Calls of unknown outcome.
    pub unknown: u64,
    /// Calls that ended, among those that started in the measured period.
    pub ended: u64,
    /// Largest number of requests by which an upstream exceeded its slots.
    pub over_slots: u64,
    /// Requests that started on a cold upstream above its cold limit.
    pub cold_overload: u64,
    /// Answers that belonged to another call.
    pub crossed_answers: u64,
    /// Requests still running when their node exited in a planned stop.
    pub cut_requests: u64,
    /// Longest time from taking a zone out of service to the last request that started there.
    pub late_work: Micros,
    /// Crashes by poison request, keyed by call.
    pub poison_crashes: BTreeMap<u64, u64>,
    /// Runs on all upstreams.
    pub runs: u64,
}

/// Collects the measurements of a trial from its callers, upstreams and faults.
#[derive(Debug)]
pub struct Observer {
    metrics: Mutex<Metrics>,
}

const RUN_WINDOW: Micros = 100 * MS;
const MIN_WINDOW_RUNS: u64 = 50;
const MAX_LATENCY: u64 = 600 * SEC;

fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(MAX_LATENCY, 3).expect("histogram bounds are valid")
}

impl Default for Observer {
    fn default() -> Self {
        Observer {
            metrics: Mutex::new(Metrics {
                calls: BTreeMap::new(),
                windows: BTreeMap::new(),
                latency: histogram(),
                refusal_latency: histogram(),
                entry_latency: BTreeMap::new(),
                answered: 0,
                refused: 0,
                failed: 0,
                unknown: 0,
                ended: 0,
                over_slots: 0,
                cold_overload: 0,
                crossed_answers: 0,
                cut_requests: 0,
                late_work: 0,
                poison_crashes: BTreeMap::new(),
                runs: 0,
            }),
        }
    }
}

impl Observer {
    /// Records that an upstream started to run a call.
    pub fn record_run(&self, now: Micros, call: u64, at_most_once: bool) {
        let mut metrics = self.metrics.lock();
        metrics.runs += 1;
        let record = metrics.calls.entry(call).or_default();
        record.at_most_once |= at_most_once;
        record.runs += 1;
        let first = record.runs == 1;
        let window = metrics.windows.entry(now / RUN_WINDOW).or_default();
        if first {
            window.first += 1;
        } else {
            window.repeated += 1;
        }
    }

    /// Records the outcome that the caller saw; only `measured` calls enter the totals.
    pub fn record_outcome(
        &self,
        call: u64,
        entry: &str,
        outcome: CallerOutcome,
        latency: Micros,
        measured: bool,
    ) {
        let mut metrics = self.metrics.lock();
        metrics.calls.entry(call).or_default().outcome = Some(outcome);
        if !measured {
            return;
        }
        metrics.ended += 1;
        let latency = latency.clamp(1, MAX_LATENCY);
        match outcome {
            CallerOutcome::Answered => {
                metrics.answered += 1;
                metrics.latency.saturating_record(latency);
                let entry_latency =
                    metrics.entry_latency.entry(entry.to_owned()).or_insert_with(histogram);
                entry_latency.saturating_record(latency);
            }
            CallerOutcome::NotRun => {
                metrics.refused += 1;
                metrics.refusal_latency.saturating_record(latency);
            }
            CallerOutcome::Failed => metrics.failed += 1,
            CallerOutcome::Unknown => metrics.unknown += 1,
        }
    }

    /// Updates the metrics.
    pub fn update(&self, change: impl FnOnce(&mut Metrics)) {
        change(&mut self.metrics.lock());
    }

    /// Reads the metrics.
    pub fn read<T>(&self, read: impl FnOnce(&Metrics) -> T) -> T {
        read(&self.metrics.lock())
    }
}

impl Metrics {
    /// At-most-once calls that ran more than once.
    pub fn double_runs(&self) -> u64 {
        self.calls.values().filter(|record| record.at_most_once && record.runs > 1).count() as u64
    }

    /// Calls that ran although they were reported to the caller as not run.
    pub fn false_not_run(&self) -> u64 {
        let reported_not_run = |record: &&CallRecord| record.outcome == Some(CallerOutcome::NotRun);
        self.calls.values().filter(reported_not_run).filter(|record| record.runs > 0).count() as u64
    }

    /// Runs beyond the first of each call, as a share of the calls that ran.
    pub fn repeat_ratio(&self) -> f64 {
        let ran = self.calls.values().filter(|record| record.runs > 0).count() as u64;
        self.runs.saturating_sub(ran) as f64 / ran.max(1) as f64
    }

    /// Largest ratio of repeated to first runs in any window of 100 ms with at least
    /// 50 first runs.
    pub fn peak_repeat_ratio(&self) -> f64 {
        let busy = self.windows.values().filter(|window| window.first >= MIN_WINDOW_RUNS);
        busy.map(|window| window.repeated as f64 / window.first as f64).fold(0.0, f64::max)
    }

    /// Calls answered although they never ran.
    pub fn false_answers(&self) -> u64 {
        let reported_answered =
            |record: &&CallRecord| record.outcome == Some(CallerOutcome::Answered);
        self.calls.values().filter(reported_answered).filter(|record| record.runs == 0).count()
            as u64
    }

    /// Latency of answered calls at a quantile, in milliseconds.
    pub fn latency_ms(&self, quantile: f64) -> f64 {
        self.latency.value_at_quantile(quantile) as f64 / 1_000.0
    }

    /// Latency of refused calls at a quantile, in milliseconds.
    pub fn refusal_latency_ms(&self, quantile: f64) -> f64 {
        self.refusal_latency.value_at_quantile(quantile) as f64 / 1_000.0
    }

    /// Latency of answered calls at a quantile by entry, in milliseconds.
    pub fn entry_latency_ms(&self, quantile: f64) -> BTreeMap<String, f64> {
        let quantile = |h: &Histogram<u64>| h.value_at_quantile(quantile) as f64 / 1_000.0;
        self.entry_latency.iter().map(|(name, h)| (name.clone(), quantile(h))).collect()
    }
}
