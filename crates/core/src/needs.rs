//! Calls that the requests of a route make to other services while they run, learnt by the gates
//! of bbv-mesh from the calls that they see. They matter when a called service lacks room: a
//! request whose calls would be refused is refused before it runs.

use std::collections::BTreeMap;

use crate::route::Name;

/// Weight of a new sample in a mean number of calls, once there are many.
const GAIN: f64 = 0.1;
/// Mean number of calls below which a service is forgotten.
const MIN_CALLS: f64 = 0.05;
/// Largest mean number of calls; a larger one comes from a malformed message.
const MAX_CALLS: f64 = 1_000.0;
/// Services that are kept for one route.
const MAX_SERVICES: usize = 16;

/// Mean number of calls of one route, by service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Needs {
    calls: BTreeMap<Name, f64>,
    samples: u32,
}

impl Needs {
    /// Records the calls that one request has made, with their number by service.
    ///
    /// ```
    /// use bbv_core::needs::Needs;
    /// let mut needs = Needs::default();
    /// needs.record(&[("wallet".into(), 2)]);
    /// assert_eq!(needs.iter().next().unwrap().1, 2.0);
    /// ```
    pub fn record(&mut self, made: &[(Name, u32)]) {
        self.samples = self.samples.saturating_add(1);
        let gain = GAIN.max(1.0 / f64::from(self.samples));
        for calls in self.calls.values_mut() {
            *calls *= 1.0 - gain;
        }
        for (service, count) in made {
            *self.calls.entry(service.clone()).or_default() += gain * f64::from(*count);
        }
        self.trim();
    }

    /// Takes over the mean numbers that a gate has told.
    ///
    /// ```
    /// use bbv_core::needs::Needs;
    /// let mut needs = Needs::default();
    /// needs.learn(vec![("wallet".into(), 1.4)]);
    /// assert_eq!(needs.iter().count(), 1);
    /// ```
    pub fn learn(&mut self, told: Vec<(Name, f64)>) {
        self.calls = told.into_iter().collect();
        self.trim();
    }

    fn trim(&mut self) {
        self.calls.retain(|_, calls| *calls >= MIN_CALLS);
        for calls in self.calls.values_mut() {
            *calls = calls.min(MAX_CALLS);
        }
        while self.calls.len() > MAX_SERVICES {
            self.calls.pop_last();
        }
    }

    /// Returns whether no calls are known.
    ///
    /// ```
    /// assert!(bbv_core::needs::Needs::default().is_empty());
    /// ```
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// Services that are called, with the mean number of calls.
    ///
    /// ```
    /// assert_eq!(bbv_core::needs::Needs::default().iter().count(), 0);
    /// ```
    pub fn iter(&self) -> impl Iterator<Item = (&Name, f64)> {
        self.calls.iter().map(|(service, calls)| (service, *calls))
    }
}
