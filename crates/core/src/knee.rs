//! Learns whether an upstream slows down when nearly all of its slots are taken.

use crate::units::{Micros, SEC};

/// Slow-down in a crowded upstream from which fewer slots serve more.
const KNEE_RATIO: f64 = 1.25;
const KNEE_GAIN: f64 = 0.05;
const KNEE_SAMPLES: u32 = 12;
/// Time after which the slots above the knee are tried again.
const KNEE_RETEST: Micros = 20 * SEC;

/// Learns whether an upstream slows down when nearly all of its slots are taken.
#[derive(Clone, Debug, Default)]
pub(crate) struct Knee {
    roomy: f64,
    crowded: f64,
    samples: u32,
    capped_at: Option<Micros>,
}

impl Knee {
    /// Learns from a request that took `ratio` times as long as expected.
    pub fn learn(&mut self, now: Micros, crowded: bool, ratio: f64) {
        let mean = if crowded { &mut self.crowded } else { &mut self.roomy };
        if *mean == 0.0 {
            *mean = ratio;
        }
        *mean += (ratio - *mean) * KNEE_GAIN;
        self.samples += u32::from(crowded);
        let slower = self.roomy > 0.0 && self.crowded > KNEE_RATIO * self.roomy;
        if crowded && self.samples >= KNEE_SAMPLES && slower {
            self.capped_at = Some(now);
            self.samples = 0;
            self.crowded = 0.0;
        }
    }

    /// Whether the slots above the knee are left free now.
    pub fn capped(&self, now: Micros) -> bool {
        self.capped_at.is_some_and(|at| now < at + KNEE_RETEST)
    }
}
