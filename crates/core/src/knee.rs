//! Detects whether an upstream slows down when nearly all of its slots are taken, for
//! admission in bbv-mesh under high load.

use std::collections::VecDeque;

use crate::units::{Micros, SEC};

/// Slow-down under high load from which fewer slots give more throughput.
const KNEE_RATIO: f64 = 1.25;
/// Quantile of the service times that is compared. A knee slows every request down, while calls
/// that a request makes itself, and that wait elsewhere under high load, slow only some.
const QUANTILE: f64 = 0.2;
/// Number of samples of which the quantile is taken.
const WINDOW: usize = 96;
/// Samples under high load that are needed for a comparison.
const MIN_SAMPLES: usize = 48;
/// Initial samples under low load, since an upstream under high load from the start runs few
/// requests under low load.
const INITIAL_SAMPLES: usize = 4;
/// Time after which the slots above the knee are tried again, or a knee is suspected again.
const RETEST_AFTER: Micros = 20 * SEC;

/// Latest ratios of measured to expected service times.
#[derive(Clone, Debug, Default)]
struct Ratios(VecDeque<f64>);

impl Ratios {
    fn add(&mut self, ratio: f64) {
        if self.0.len() >= WINDOW {
            self.0.pop_front();
        }
        self.0.push_back(ratio);
    }

    fn quantile(&self) -> f64 {
        let mut sorted: Vec<f64> = self.0.iter().copied().collect();
        sorted.sort_by(f64::total_cmp);
        let index = (sorted.len() as f64 * QUANTILE) as usize;
        sorted.get(index).copied().unwrap_or(1.0)
    }
}

/// Load at the start of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum LoadLevel {
    /// The upstream runs at its normal speed.
    Low,
    /// All slots below the knee are in use.
    AtKnee,
    /// Slots above the knee are in use.
    High,
}

/// Slots above the knee that are kept free.
#[derive(Clone, Copy, Debug)]
struct Cap {
    at: Micros,
    /// Quantile of the ratios under the high load that led to it.
    high_load: f64,
}

/// Compares the service times under low and under high load.
#[derive(Clone, Debug)]
pub(crate) struct KneeDetector {
    low_load: Ratios,
    at_knee: Ratios,
    high_load: Ratios,
    cap: Option<Cap>,
    /// Time until which no knee is suspected, since a trial has shown that there is none.
    trusted_until: Micros,
}

impl Default for KneeDetector {
    fn default() -> Self {
        let initial = Ratios(VecDeque::from([1.0; INITIAL_SAMPLES]));
        let (at_knee, high_load) = (Ratios::default(), Ratios::default());
        KneeDetector { low_load: initial, at_knee, high_load, cap: None, trusted_until: 0 }
    }
}

impl KneeDetector {
    /// Records a request that took `ratio` times its expected service time, at normal speed.
    pub fn record(&mut self, now: Micros, load: LoadLevel, ratio: f64) {
        match load {
            LoadLevel::Low => self.low_load.add(ratio),
            LoadLevel::AtKnee => {
                self.low_load.add(ratio);
                self.at_knee.add(ratio);
                self.verify(now);
            }
            LoadLevel::High => {
                self.high_load.add(ratio);
                self.detect(now);
            }
        }
    }

    fn detect(&mut self, now: Micros) {
        if now < self.trusted_until {
            return;
        }
        let high_load = self.high_load.quantile();
        let slower = high_load > KNEE_RATIO * self.low_load.quantile();
        if self.high_load.0.len() >= MIN_SAMPLES && slower && !self.capped(now) {
            self.cap = Some(Cap { at: now, high_load });
            self.at_knee = Ratios::default();
            self.high_load = Ratios::default();
        }
    }

    /// Drops the cap if requests take as long with fewer slots, so that something else slows them
    /// down, such as calls that they make themselves.
    fn verify(&mut self, now: Micros) {
        let Some(cap) = self.cap else { return };
        let measured = self.at_knee.0.len() >= MIN_SAMPLES;
        if measured && cap.high_load <= KNEE_RATIO * self.at_knee.quantile() {
            self.cap = None;
            self.trusted_until = now + RETEST_AFTER;
        }
    }

    /// Returns whether the slots above the knee are to stay free.
    pub fn capped(&self, now: Micros) -> bool {
        self.cap.is_some_and(|cap| now < cap.at + RETEST_AFTER)
    }
}
