//! Detects whether an upstream slows down when nearly all of its slots are taken, for
//! admission in bbv-mesh under high load.

use crate::units::{Micros, SEC};

/// Slow-down under high load from which fewer slots give more throughput.
const KNEE_RATIO: f64 = 1.25;
/// Least weight of a new sample in the means.
const MEAN_GAIN: f64 = 0.05;
/// Samples under high load that are needed for a comparison.
const MIN_SAMPLES: u32 = 12;
/// Samples that the initial low-load mean counts for, since an upstream under high load from
/// the start runs few requests under low load.
const INITIAL_SAMPLES: u32 = 4;
/// Time after which the slots above the knee are tried again.
const RETEST_AFTER: Micros = 20 * SEC;

/// Exponential moving average of ratios.
#[derive(Clone, Copy, Debug, Default)]
struct Mean {
    value: f64,
    samples: u32,
}

impl Mean {
    fn add(&mut self, ratio: f64) {
        self.samples = self.samples.saturating_add(1);
        // The first samples have equal weight, so that no single one dominates.
        let gain = MEAN_GAIN.max(1.0 / f64::from(self.samples));
        self.value += (ratio - self.value) * gain;
    }
}

/// Compares the service times under low and under high load.
#[derive(Clone, Debug)]
pub(crate) struct KneeDetector {
    low_load: Mean,
    high_load: Mean,
    capped_at: Option<Micros>,
}

impl Default for KneeDetector {
    fn default() -> Self {
        let initial = Mean { value: 1.0, samples: INITIAL_SAMPLES };
        KneeDetector { low_load: initial, high_load: Mean::default(), capped_at: None }
    }
}

impl KneeDetector {
    /// Records a request that took `ratio` times its expected service time, at normal speed.
    pub fn record(&mut self, now: Micros, high_load: bool, ratio: f64) {
        let mean = if high_load { &mut self.high_load } else { &mut self.low_load };
        mean.add(ratio);
        let slower = self.high_load.value > KNEE_RATIO * self.low_load.value;
        if high_load && self.high_load.samples >= MIN_SAMPLES && slower {
            self.capped_at = Some(now);
            self.high_load = Mean::default();
        }
    }

    /// Returns whether the slots above the knee are to stay free.
    pub fn capped(&self, now: Micros) -> bool {
        self.capped_at.is_some_and(|at| now < at + RETEST_AFTER)
    }
}
