//! Requests that crashed upstreams.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::id::Vm;
use crate::rendezvous;
use crate::units::{Micros, SEC};

/// Hash of a request's entry, path and body.
pub type Print = u64;

/// A crash of one upstream while it ran a request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Crash {
    /// Fingerprint of the request.
    pub print: Print,
    /// VM whose upstream crashed.
    pub vm: Vm,
}

/// How a request with a given fingerprint may be run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// Nothing is known against it.
    Clear,
    /// It crashed one upstream; only its arbiter may run it once more.
    Suspect,
    /// It crashed two upstreams and is refused.
    Poison,
}

#[derive(Clone, Debug)]
struct Case {
    first: Vm,
    second: Option<Vm>,
    seen: Micros,
}

/// Known crashes by fingerprint.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    cases: BTreeMap<Print, Case>,
}

/// Time for which a crash is remembered.
pub const RETENTION: Micros = 600 * SEC;
const CASES: usize = 4_096;

impl Suspects {
    /// Records a crash; returns whether it was new.
    ///
    /// ```
    /// use bbv_core::{id::Vm, suspect::{Crash, Suspects, Verdict}};
    /// let mut suspects = Suspects::default();
    /// assert!(suspects.report(0, Crash { print: 1, vm: Vm(1) }));
    /// assert_eq!(suspects.verdict(0, 1), Verdict::Suspect);
    /// suspects.report(0, Crash { print: 1, vm: Vm(2) });
    /// assert_eq!(suspects.verdict(0, 1), Verdict::Poison);
    /// ```
    pub fn report(&mut self, now: Micros, crash: Crash) -> bool {
        if let Some(case) = self.cases.get_mut(&crash.print) {
            case.seen = now;
            let new = case.first != crash.vm && case.second.is_none();
            if new {
                case.second = Some(crash.vm);
            }
            return new;
        }
        if self.cases.len() >= CASES {
            self.drop_oldest();
        }
        self.cases.insert(crash.print, Case { first: crash.vm, second: None, seen: now });
        true
    }

    fn drop_oldest(&mut self) {
        let oldest = self.cases.iter().min_by_key(|(_, case)| case.seen).map(|(print, _)| *print);
        if let Some(print) = oldest {
            self.cases.remove(&print);
        }
    }

    /// Tells how a request may be run.
    ///
    /// ```
    /// use bbv_core::suspect::{Suspects, Verdict};
    /// assert_eq!(Suspects::default().verdict(0, 1), Verdict::Clear);
    /// ```
    pub fn verdict(&self, now: Micros, print: Print) -> Verdict {
        let Some(case) = self.cases.get(&print) else { return Verdict::Clear };
        if now.saturating_sub(case.seen) > RETENTION {
            return Verdict::Clear;
        }
        if case.second.is_some() { Verdict::Poison } else { Verdict::Suspect }
    }

    /// Crashes known for a fingerprint.
    ///
    /// ```
    /// assert!(bbv_core::suspect::Suspects::default().crashes(1).is_empty());
    /// ```
    pub fn crashes(&self, print: Print) -> Vec<Crash> {
        let Some(case) = self.cases.get(&print) else { return Vec::new() };
        let vms = std::iter::once(case.first).chain(case.second);
        vms.map(|vm| Crash { print, vm }).collect()
    }

    /// Forgets crashes older than the retention.
    ///
    /// ```
    /// bbv_core::suspect::Suspects::default().expire(0);
    /// ```
    pub fn expire(&mut self, now: Micros) {
        self.cases.retain(|_, case| now.saturating_sub(case.seen) <= RETENTION);
    }
}

/// The only VM that may run a suspect request, other than the one that crashed.
///
/// ```
/// use bbv_core::{id::Vm, suspect::arbiter};
/// assert_eq!(arbiter(1, &[Vm(1), Vm(2)], Vm(1)), Some(Vm(2)));
/// ```
pub fn arbiter(print: Print, vms: &[Vm], crashed: Vm) -> Option<Vm> {
    let key = print.to_be_bytes();
    let others = vms.iter().filter(|vm| **vm != crashed);
    others.max_by_key(|vm| (rendezvous::weight(&key, u64::from(vm.0)), vm.0)).copied()
}
