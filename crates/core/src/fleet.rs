//! Combines the published VM list with the messages of peers to decide which nodes are
//! reachable and may get new work.
//!
//! bbv-node uses it under any load; it matters most while VMs fail, restart or leave.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use rand::Rng;
use rand::seq::IndexedRandom;
use serde::{Deserialize, Serialize};

use crate::id::{NodeId, Vm};
use crate::units::{MS, Micros, SEC};

/// One VM of the platform's list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ListedVm {
    /// Number of the VM.
    pub vm: Vm,
    /// Address of its node process.
    pub addr: SocketAddr,
    /// Availability zone.
    pub zone: String,
    /// Service that its upstream runs.
    pub service: String,
    /// Whether the VM is about to be removed, so that it gets no new work.
    #[serde(default)]
    pub leaving: bool,
}

/// A listed VM and the last known state of its node.
#[derive(Clone, Debug)]
pub struct Member {
    /// Entry of the VM in the list.
    pub listed: ListedVm,
    /// Incarnation in the latest message of the node.
    pub incarnation: Option<u64>,
    /// Whether the node reported that it is stopping.
    pub stopping: bool,
    last_message: Micros,
    failures: u32,
    retry_at: Micros,
}

/// Process behind a message from a peer, compared with the one known before.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PeerProcess {
    /// The same process as before.
    Same,
    /// The first known process, or another one in place of the known one.
    Replaced,
    /// The VM is not in the list.
    Unlisted,
}

/// All members, indexed by VM and by service.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    members: BTreeMap<Vm, Member>,
    services: BTreeMap<String, BTreeSet<Vm>>,
    vms: Vec<Vm>,
}

/// Consecutive failed messages after which a node is unreachable until its backoff ends.
const UNREACHABLE_FAILURES: u32 = 2;
/// Random picks per requested member, so that sampling ends even if few are reachable.
const SAMPLE_TRIES: usize = 8;
const BACKOFF_BASE: Micros = 100 * MS;
const BACKOFF_MAX: Micros = 2 * SEC;

impl Fleet {
    /// Adds or updates one VM of the list.
    ///
    /// The known state of its node is kept while its address stays the same.
    ///
    /// ```
    /// use bbv_core::{fleet::{Fleet, ListedVm}, id::Vm};
    /// let addr = "127.0.0.1:9000".parse()?;
    /// let (zone, service) = ("a".to_owned(), "records".to_owned());
    /// let mut fleet = Fleet::default();
    /// fleet.insert(ListedVm { vm: Vm(1), addr, zone, service, leaving: false });
    /// assert_eq!(fleet.of_service("records").count(), 1);
    /// # Ok::<(), std::net::AddrParseError>(())
    /// ```
    pub fn insert(&mut self, listed: ListedVm) {
        let vm = listed.vm;
        let known = self.members.remove(&vm);
        match &known {
            None => self.vms.push(vm),
            Some(known) => self.remove_from_service(&known.listed.service, vm),
        }
        self.services.entry(listed.service.clone()).or_default().insert(vm);
        let unchanged = known.filter(|member| member.listed.addr == listed.addr);
        let mut member = unchanged.unwrap_or_else(|| Member {
            listed: listed.clone(),
            incarnation: None,
            stopping: false,
            last_message: 0,
            failures: 0,
            retry_at: 0,
        });
        member.listed = listed;
        self.members.insert(vm, member);
    }

    /// Removes a VM that is no longer in the list.
    ///
    /// ```
    /// bbv_core::fleet::Fleet::default().remove(bbv_core::id::Vm(1));
    /// ```
    pub fn remove(&mut self, vm: Vm) {
        let Some(member) = self.members.remove(&vm) else { return };
        self.remove_from_service(&member.listed.service, vm);
        self.vms.retain(|other| *other != vm);
    }

    fn remove_from_service(&mut self, service: &str, vm: Vm) {
        if let Some(vms) = self.services.get_mut(service) {
            vms.remove(&vm);
        }
    }

    /// Returns the members that run a service.
    pub fn of_service(&self, service: &str) -> impl Iterator<Item = &Member> {
        let vms = self.services.get(service).into_iter().flatten();
        vms.filter_map(|vm| self.members.get(vm))
    }

    /// Returns up to `count` random reachable members other than `me`.
    ///
    /// ```
    /// use rand::{SeedableRng, rngs::SmallRng};
    /// let mut rng = SmallRng::seed_from_u64(1);
    /// let fleet = bbv_core::fleet::Fleet::default();
    /// assert!(fleet.sample(0, bbv_core::id::Vm(1), 3, &mut rng).is_empty());
    /// ```
    pub fn sample(&self, now: Micros, me: Vm, count: usize, rng: &mut impl Rng) -> Vec<Vm> {
        let mut chosen = Vec::with_capacity(count);
        for _ in 0..count * SAMPLE_TRIES {
            let Some(vm) = self.vms.choose(rng).copied() else { break };
            let usable = vm != me && !chosen.contains(&vm) && self.reachable(now, vm);
            if usable {
                chosen.push(vm);
            }
            if chosen.len() == count {
                break;
            }
        }
        chosen
    }

    /// Records a message from a node, which also resets its failures.
    pub fn record_message(&mut self, now: Micros, node: NodeId, stopping: bool) -> PeerProcess {
        let Some(member) = self.members.get_mut(&node.vm) else { return PeerProcess::Unlisted };
        member.last_message = now;
        member.failures = 0;
        member.retry_at = 0;
        member.stopping = stopping;
        if member.incarnation == Some(node.incarnation) {
            return PeerProcess::Same;
        }
        member.incarnation = Some(node.incarnation);
        PeerProcess::Replaced
    }

    /// Records that a message to a node failed and extends its backoff.
    pub fn record_failure(&mut self, now: Micros, vm: Vm) {
        let Some(member) = self.members.get_mut(&vm) else { return };
        member.failures = member.failures.saturating_add(1);
        let exponent = member.failures.min(8);
        member.retry_at = now + (BACKOFF_BASE << exponent).min(BACKOFF_MAX);
    }

    /// Returns whether a node may be sent new work.
    pub fn usable(&self, now: Micros, vm: Vm) -> bool {
        self.members.get(&vm).is_some_and(|member| {
            let reachable = member.failures < UNREACHABLE_FAILURES || now >= member.retry_at;
            reachable && !member.stopping && !member.listed.leaving
        })
    }

    /// Returns whether a node is expected to answer: its messages succeed or its backoff ended.
    pub fn reachable(&self, now: Micros, vm: Vm) -> bool {
        let member = self.members.get(&vm);
        member
            .is_some_and(|member| member.failures < UNREACHABLE_FAILURES || now >= member.retry_at)
    }

    /// Returns the member on a VM.
    pub fn member(&self, vm: Vm) -> Option<&Member> {
        self.members.get(&vm)
    }

    /// Returns all members, ordered by VM.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Returns the number of members.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Returns whether the list is empty or was not read yet.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Returns the share of members that are not reachable, from 0 to 1.
    pub fn unreachable_share(&self, now: Micros) -> f64 {
        let down = self.members.keys().filter(|vm| !self.reachable(now, **vm)).count();
        down as f64 / self.members.len().max(1) as f64
    }
}
