//! Poison requests: requests that crash the upstream that runs them.
//!
//! A request that crashed one upstream is suspect and one that crashed two is refused, so
//! that retries of a request that crashes its service cannot take down every upstream.
//! Both bbv-mesh and bbv-node keep these records; only bbv-node uses [`retry_vm`].

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::id::Vm;
use crate::rendezvous;
use crate::units::{Micros, SEC};

/// Hash of a request's entry, path and body.
pub type Fingerprint = u64;

/// A crash of one upstream while it ran a request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Crash {
    /// Fingerprint of the request.
    #[serde(rename = "print")]
    pub fingerprint: Fingerprint,
    /// VM whose upstream crashed.
    pub vm: Vm,
}

/// Whether a request with a given fingerprint may run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Suspicion {
    /// No crash is known.
    Clear,
    /// It crashed one upstream; in bbv-node only the VM that [`retry_vm`] returns may run it again.
    Suspect,
    /// It crashed two upstreams and is refused.
    Poison,
}

#[derive(Clone, Debug)]
struct CrashRecord {
    first: Vm,
    second: Option<Vm>,
    last_seen: Micros,
}

/// Crashes reported within the retention time, by fingerprint.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    records: BTreeMap<Fingerprint, CrashRecord>,
}

/// Time for which a fingerprint stays suspect or refused after its last reported crash.
pub const CRASH_RETENTION: Micros = 600 * SEC;
/// Beyond this number, the record with the oldest last crash is evicted.
const MAX_RECORDS: usize = 4_096;

impl Suspects {
    /// Records a crash and returns whether it was new.
    ///
    /// Only the first two VMs count as new: after them the request is refused anyway.
    ///
    /// ```
    /// use bbv_core::{id::Vm, poison::{Crash, Suspects, Suspicion}};
    /// let mut suspects = Suspects::default();
    /// assert!(suspects.record_crash(0, Crash { fingerprint: 1, vm: Vm(1) }));
    /// assert_eq!(suspects.suspicion(0, 1), Suspicion::Suspect);
    /// suspects.record_crash(0, Crash { fingerprint: 1, vm: Vm(2) });
    /// assert_eq!(suspects.suspicion(0, 1), Suspicion::Poison);
    /// ```
    pub fn record_crash(&mut self, now: Micros, crash: Crash) -> bool {
        if let Some(record) = self.records.get_mut(&crash.fingerprint) {
            record.last_seen = now;
            let new = record.first != crash.vm && record.second.is_none();
            if new {
                record.second = Some(crash.vm);
            }
            return new;
        }
        if self.records.len() >= MAX_RECORDS {
            self.evict_oldest();
        }
        self.records.insert(
            crash.fingerprint,
            CrashRecord { first: crash.vm, second: None, last_seen: now },
        );
        true
    }

    /// Records that a request was open on an upstream that crashed, beside others that may have crashed it.
    /// Returns whether nothing was known of it.
    ///
    /// ```
    /// use bbv_core::{id::Vm, poison::{Crash, Suspects, Suspicion}};
    /// let mut suspects = Suspects::default();
    /// assert!(suspects.suspect(0, Crash { fingerprint: 1, vm: Vm(1) }));
    /// assert!(!suspects.suspect(0, Crash { fingerprint: 1, vm: Vm(2) }));
    /// assert_eq!(suspects.suspicion(0, 1), Suspicion::Suspect);
    /// ```
    pub fn suspect(&mut self, now: Micros, crash: Crash) -> bool {
        self.suspicion(now, crash.fingerprint) == Suspicion::Clear && {
            self.records.remove(&crash.fingerprint);
            self.record_crash(now, crash)
        }
    }

    /// Records that a suspect request crashed an upstream on which no other suspect ran. It is refused from
    /// now on, if that is not the upstream that crashed before: one that crashes again and again may do so
    /// whatever it runs. Returns whether it is refused since.
    ///
    /// ```
    /// use bbv_core::{id::Vm, poison::{Crash, Suspects, Suspicion}};
    /// let mut suspects = Suspects::default();
    /// suspects.suspect(0, Crash { fingerprint: 1, vm: Vm(1) });
    /// assert!(!suspects.prove(0, Crash { fingerprint: 1, vm: Vm(1) }));
    /// assert!(suspects.prove(0, Crash { fingerprint: 1, vm: Vm(2) }));
    /// assert_eq!(suspects.suspicion(0, 1), Suspicion::Poison);
    /// ```
    pub fn prove(&mut self, now: Micros, crash: Crash) -> bool {
        if self.suspect(now, crash) {
            return false;
        }
        self.record_crash(now, crash)
    }

    /// Records the two crashes for which another node refuses a request.
    ///
    /// ```
    /// use bbv_core::{id::Vm, poison::{Crash, Suspects, Suspicion}};
    /// let mut suspects = Suspects::default();
    /// suspects.refuse(0, 1, [Vm(1), Vm(2)]);
    /// assert_eq!(suspects.suspicion(0, 1), Suspicion::Poison);
    /// ```
    pub fn refuse(&mut self, now: Micros, fingerprint: Fingerprint, vms: [Vm; 2]) {
        for vm in vms {
            self.record_crash(now, Crash { fingerprint, vm });
        }
        // What is known here may be a crash of one of the two only.
        let [first, second] = vms;
        if let Some(record) = self.records.get_mut(&fingerprint) {
            record.second.get_or_insert(if record.first == first { second } else { first });
        }
    }

    /// Records that a suspect request was answered by an upstream that went on running: another one that
    /// was open beside it caused the crash. Returns whether it was suspect.
    ///
    /// ```
    /// use bbv_core::{id::Vm, poison::{Crash, Suspects, Suspicion}};
    /// let mut suspects = Suspects::default();
    /// suspects.suspect(0, Crash { fingerprint: 1, vm: Vm(1) });
    /// assert!(suspects.clear(0, 1) && !suspects.clear(0, 1));
    /// assert_eq!(suspects.suspicion(0, 1), Suspicion::Clear);
    /// ```
    pub fn clear(&mut self, now: Micros, fingerprint: Fingerprint) -> bool {
        let suspect = self.suspicion(now, fingerprint) == Suspicion::Suspect;
        suspect && self.records.remove(&fingerprint).is_some()
    }

    fn evict_oldest(&mut self) {
        let oldest = self
            .records
            .iter()
            .min_by_key(|(_, record)| record.last_seen)
            .map(|(fingerprint, _)| *fingerprint);
        if let Some(fingerprint) = oldest {
            self.records.remove(&fingerprint);
        }
    }

    /// Returns whether a request may run.
    ///
    /// ```
    /// use bbv_core::poison::{Suspects, Suspicion};
    /// assert_eq!(Suspects::default().suspicion(0, 1), Suspicion::Clear);
    /// ```
    pub fn suspicion(&self, now: Micros, fingerprint: Fingerprint) -> Suspicion {
        let Some(record) = self.records.get(&fingerprint) else { return Suspicion::Clear };
        if now.saturating_sub(record.last_seen) > CRASH_RETENTION {
            return Suspicion::Clear;
        }
        if record.second.is_some() { Suspicion::Poison } else { Suspicion::Suspect }
    }

    /// Returns the crashes known for a fingerprint.
    ///
    /// ```
    /// assert!(bbv_core::poison::Suspects::default().crashes(1).is_empty());
    /// ```
    pub fn crashes(&self, fingerprint: Fingerprint) -> Vec<Crash> {
        let Some(record) = self.records.get(&fingerprint) else { return Vec::new() };
        let vms = std::iter::once(record.first).chain(record.second);
        vms.map(|vm| Crash { fingerprint, vm }).collect()
    }

    /// Drops records older than [`CRASH_RETENTION`].
    ///
    /// ```
    /// bbv_core::poison::Suspects::default().expire(0);
    /// ```
    pub fn expire(&mut self, now: Micros) {
        self.records.retain(|_, record| now.saturating_sub(record.last_seen) <= CRASH_RETENTION);
    }
}

/// Returns the one VM that may run a suspect request again.
///
/// Nodes with the same VM list choose the same VM, and never the one that crashed.
///
/// ```
/// use bbv_core::{id::Vm, poison::retry_vm};
/// assert_eq!(retry_vm(1, &[Vm(1), Vm(2)], Vm(1)), Some(Vm(2)));
/// ```
pub fn retry_vm(fingerprint: Fingerprint, vms: &[Vm], crashed: Vm) -> Option<Vm> {
    let key = fingerprint.to_be_bytes();
    let others = vms.iter().filter(|vm| **vm != crashed);
    others.max_by_key(|vm| (rendezvous::weight(&key, u64::from(vm.0)), vm.0)).copied()
}
