//! Members of the fleet, from the published list and from what peers show.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use rand::Rng;
use rand::seq::IndexedRandom;
use serde::{Deserialize, Serialize};

use crate::id::{NodeId, Vm};
use crate::units::{MS, Micros, SEC};

/// One VM of the platform's list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Listed {
    /// VM.
    pub vm: Vm,
    /// Address of the node process on it.
    pub addr: SocketAddr,
    /// Availability zone.
    pub zone: String,
    /// Service of the upstream on it.
    pub service: String,
    /// Whether the VM is leaving.
    #[serde(default)]
    pub leaving: bool,
}

/// One VM and what is known of its node.
#[derive(Clone, Debug)]
pub struct Member {
    /// Entry of the list.
    pub listed: Listed,
    /// Incarnation last heard.
    pub incarnation: Option<u64>,
    /// Whether its node said that it is stopping.
    pub stopping: bool,
    heard: Micros,
    failures: u32,
    retry_at: Micros,
}

/// What a message from a peer told about its process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Heard {
    /// Same process as before.
    Same,
    /// First message, or another process at the same address.
    Replaced,
    /// The VM is not in the list.
    Unlisted,
}

/// View of the fleet.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    members: BTreeMap<Vm, Member>,
    services: BTreeMap<String, BTreeSet<Vm>>,
    order: Vec<Vm>,
}

const FAILURES: u32 = 2;
const SAMPLE_TRIES: usize = 8;
const BACKOFF: Micros = 100 * MS;
const BACKOFF_MAX: Micros = 2 * SEC;

impl Fleet {
    /// Takes over one VM of the list; what its node showed is kept while its address is
    /// the same.
    ///
    /// ```
    /// use bbv_core::{fleet::{Fleet, Listed}, id::Vm};
    /// let addr = "127.0.0.1:9000".parse()?;
    /// let (zone, service) = ("a".to_owned(), "records".to_owned());
    /// let mut fleet = Fleet::default();
    /// fleet.insert(Listed { vm: Vm(1), addr, zone, service, leaving: false });
    /// assert_eq!(fleet.of_service("records").count(), 1);
    /// # Ok::<(), std::net::AddrParseError>(())
    /// ```
    pub fn insert(&mut self, listed: Listed) {
        let vm = listed.vm;
        let known = self.members.remove(&vm);
        match &known {
            None => self.order.push(vm),
            Some(known) => self.unlink(&known.listed.service, vm),
        }
        self.services.entry(listed.service.clone()).or_default().insert(vm);
        let same = known.filter(|member| member.listed.addr == listed.addr);
        let mut member = same.unwrap_or_else(|| Member {
            listed: listed.clone(),
            incarnation: None,
            stopping: false,
            heard: 0,
            failures: 0,
            retry_at: 0,
        });
        member.listed = listed;
        self.members.insert(vm, member);
    }

    /// Removes a VM that is gone from the list.
    ///
    /// ```
    /// bbv_core::fleet::Fleet::default().remove(bbv_core::id::Vm(1));
    /// ```
    pub fn remove(&mut self, vm: Vm) {
        let Some(member) = self.members.remove(&vm) else { return };
        self.unlink(&member.listed.service, vm);
        self.order.retain(|other| *other != vm);
    }

    fn unlink(&mut self, service: &str, vm: Vm) {
        if let Some(vms) = self.services.get_mut(service) {
            vms.remove(&vm);
        }
    }

    /// Members that run a service.
    pub fn of_service(&self, service: &str) -> impl Iterator<Item = &Member> {
        let vms = self.services.get(service).into_iter().flatten();
        vms.filter_map(|vm| self.members.get(vm))
    }

    /// Returns up to `count` reachable members other than `me`, at random.
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
            let Some(vm) = self.order.choose(rng).copied() else { break };
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

    /// Records a message from a node.
    pub fn heard(&mut self, now: Micros, node: NodeId, stopping: bool) -> Heard {
        let Some(member) = self.members.get_mut(&node.vm) else { return Heard::Unlisted };
        member.heard = now;
        member.failures = 0;
        member.retry_at = 0;
        member.stopping = stopping;
        if member.incarnation == Some(node.incarnation) {
            return Heard::Same;
        }
        member.incarnation = Some(node.incarnation);
        Heard::Replaced
    }

    /// Records that a message to a node failed.
    pub fn failed(&mut self, now: Micros, vm: Vm) {
        let Some(member) = self.members.get_mut(&vm) else { return };
        member.failures = member.failures.saturating_add(1);
        let exponent = member.failures.min(8);
        member.retry_at = now + (BACKOFF << exponent).min(BACKOFF_MAX);
    }

    /// Tells whether a node may be sent new work.
    pub fn usable(&self, now: Micros, vm: Vm) -> bool {
        self.members.get(&vm).is_some_and(|member| {
            let reachable = member.failures < FAILURES || now >= member.retry_at;
            reachable && !member.stopping && !member.listed.leaving
        })
    }

    /// Tells whether a node answers messages, as far as is known.
    pub fn reachable(&self, now: Micros, vm: Vm) -> bool {
        let member = self.members.get(&vm);
        member.is_some_and(|member| member.failures < FAILURES || now >= member.retry_at)
    }

    /// Member of a VM.
    pub fn member(&self, vm: Vm) -> Option<&Member> {
        self.members.get(&vm)
    }

    /// All members in order of VM.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Members.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Tells whether the list is empty or was not read.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Share of members that cannot be reached, from 0 to 1.
    pub fn unreachable_share(&self, now: Micros) -> f64 {
        let down = self.members.keys().filter(|vm| !self.reachable(now, **vm)).count();
        down as f64 / self.members.len().max(1) as f64
    }
}
