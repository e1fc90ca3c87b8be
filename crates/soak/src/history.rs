//! Versions of the routing that a run has published, and which routes each of them has.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

use bbv_stand::fleet::{Fleet, route};
use parking_lot::Mutex;
use serde_json::Value;

use crate::calm::Disturbances;
use crate::versions::version_route;

/// Largest number of routes that a version adds, with which its item has nearly 1 MB.
pub const MAX_ROUTES: usize = 3_350;

/// Route whose presence tells versions apart.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Mark {
    /// Only in the version with this number.
    Only(u64),
    /// In the version with this number and all newer ones.
    Since(u64),
    /// In versions that add more routes than this number.
    Added(usize),
    /// Only in the invalid version with this number.
    Invalid(u64),
}

impl Mark {
    /// Returns the name of the route.
    pub fn name(self) -> String {
        match self {
            Mark::Only(version) => version_route(version),
            Mark::Since(version) => format!("since-{version}"),
            Mark::Invalid(version) => format!("invalid-{version}"),
            Mark::Added(number) => format!("added-route-with-a-name-of-usual-length-{number:05}"),
        }
    }
}

/// Version of the routing that was published.
#[derive(Clone, Copy, Debug)]
pub struct Version {
    /// Its number.
    pub number: u64,
    /// Number of routes that it adds.
    pub routes: usize,
    /// Time at which the store acknowledged it; `None` while it is being written.
    pub acked: Option<Instant>,
}

impl Version {
    /// Returns whether it has route `mark`.
    pub fn has(&self, mark: Mark) -> bool {
        match mark {
            Mark::Only(version) => self.number == version,
            Mark::Since(version) => self.number >= version,
            Mark::Added(number) => number < self.routes,
            Mark::Invalid(_) => false,
        }
    }
}

/// Versions of the routing that were published, the oldest first.
#[derive(Debug, Default)]
pub struct History {
    versions: Mutex<Vec<Version>>,
    /// Number of the newest invalid version, or 0.
    invalid: AtomicU64,
}

impl History {
    /// Returns the newest version, with number 1 and no routes before the first is published.
    pub fn newest(&self) -> Version {
        let first = Version { number: 1, routes: 0, acked: None };
        self.versions.lock().last().copied().unwrap_or(first)
    }

    /// Returns the versions from number `oldest` on.
    pub fn from(&self, oldest: u64) -> Vec<Version> {
        let versions = self.versions.lock();
        versions.iter().filter(|version| version.number >= oldest).copied().collect()
    }

    /// Publishes version `number`, which adds `routes` routes and is altered by `change`.
    pub fn publish(&self, fleet: &Fleet, number: u64, routes: usize, change: impl Fn(&mut Value)) {
        let mut config = fleet.config_with(number, &version_route(number));
        self.begin(number, routes);
        let since = self.from(0).into_iter().map(|version| Mark::Since(version.number));
        let marks = since.chain((0..routes).map(Mark::Added));
        if let Some(resources) = config["resources"].as_array_mut() {
            resources.extend(marks.map(|mark| route(&mark.name(), "idempotent", "s", 5.0)));
        }
        change(&mut config);
        fleet.store.put("op/config", &config);
        self.acknowledge(Instant::now());
    }

    /// Publishes version `number`, in which a route has no service, beside a valid one of its own.
    pub fn publish_invalid(&self, fleet: &Fleet, number: u64) {
        let mark = Mark::Invalid(number).name();
        let mut config = fleet.config_with(number, &mark);
        if let Some(resources) = config["resources"].as_array_mut() {
            let mut broken = route("broken", "idempotent", "s", 5.0);
            broken["spec"]["service"] = Value::Null;
            resources.push(broken);
        }
        self.invalid.store(number, Ordering::SeqCst);
        fleet.store.put("op/config", &config);
    }

    /// Returns the number of the newest invalid version, if one was published.
    pub fn invalid(&self) -> Option<u64> {
        Some(self.invalid.load(Ordering::SeqCst)).filter(|number| *number > 0)
    }

    /// Adds version `number`, which may be in force from now on.
    pub fn begin(&self, number: u64, routes: usize) {
        self.versions.lock().push(Version { number, routes, acked: None });
    }

    /// Records that the store has acknowledged the newest version.
    pub fn acknowledge(&self, at: Instant) {
        if let Some(version) = self.versions.lock().last_mut() {
            version.acked = Some(at);
        }
    }

    /// Returns the newest version whose deadline at a node with `disturbances` is before `at`, and
    /// the one before it.
    pub fn due(&self, disturbances: &Disturbances, at: Instant) -> Option<(Version, Version)> {
        let versions = self.versions.lock();
        let is_due = |version: &Version| {
            let deadline = version.acked.and_then(|acked| disturbances.deadline(acked, at));
            deadline.is_some_and(|deadline| deadline < at)
        };
        let index = versions.iter().rposition(is_due).filter(|index| *index > 0)?;
        Some((versions[index], versions[index - 1]))
    }
}
