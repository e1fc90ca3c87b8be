//! Learns whether an upstream slows down when nearly all of its slots are taken.

use crate::units::{Micros, SEC};

/// Slow-down in a crowded upstream from which fewer slots serve more.
const KNEE_RATIO: f64 = 1.25;
const KNEE_GAIN: f64 = 0.05;
/// Samples of a crowded upstream before they are compared.
const KNEE_SAMPLES: u32 = 12;
/// Samples that the expectation itself counts for, since an upstream that is crowded from the
/// start runs few requests otherwise.
const EXPECTED_SAMPLES: u32 = 4;
/// Time after which the slots above the knee are tried again.
const KNEE_RETEST: Micros = 20 * SEC;

/// Mean of ratios in which older ones fade.
#[derive(Clone, Copy, Debug, Default)]
struct Mean {
    value: f64,
    samples: u32,
}

impl Mean {
    fn learn(&mut self, ratio: f64) {
        self.samples = self.samples.saturating_add(1);
        // The first samples count alike, so that none of them decides alone.
        let gain = KNEE_GAIN.max(1.0 / f64::from(self.samples));
        self.value += (ratio - self.value) * gain;
    }
}

/// Learns whether an upstream slows down when nearly all of its slots are taken.
#[derive(Clone, Debug)]
pub(crate) struct Knee {
    roomy: Mean,
    crowded: Mean,
    capped_at: Option<Micros>,
}

impl Default for Knee {
    fn default() -> Self {
        let expected = Mean { value: 1.0, samples: EXPECTED_SAMPLES };
        Knee { roomy: expected, crowded: Mean::default(), capped_at: None }
    }
}

impl Knee {
    /// Learns from a request that took `ratio` times as long as expected, at usual speed.
    pub fn learn(&mut self, now: Micros, crowded: bool, ratio: f64) {
        let mean = if crowded { &mut self.crowded } else { &mut self.roomy };
        mean.learn(ratio);
        let slower = self.crowded.value > KNEE_RATIO * self.roomy.value;
        if crowded && self.crowded.samples >= KNEE_SAMPLES && slower {
            self.capped_at = Some(now);
            self.crowded = Mean::default();
        }
    }

    /// Whether the slots above the knee are left free now.
    pub fn capped(&self, now: Micros) -> bool {
        self.capped_at.is_some_and(|at| now < at + KNEE_RETEST)
    }
}
