//! Mutable state of a node: the state machines of `bbv-core` that decide on calls, and the
//! records they keep. One lock in `Node` guards all of it.

use std::collections::{BTreeMap, BTreeSet};

use bbv_core::attempt::Attempts;
use bbv_core::balancer::{Balancer, Candidate};
use bbv_core::catalogue::Catalogue;
use bbv_core::chart::{Chart, State as ChartState};
use bbv_core::documents::{DocumentChange, Documents};
use bbv_core::fleet::{Fleet, ListedVm};
use bbv_core::freshness::Freshness;
use bbv_core::gate::{Bounds, Gate, GateDequeued};
use bbv_core::id::{NodeId, Vm};
use bbv_core::operation::TicketOwner;
use bbv_core::outcome::Refusal;
use bbv_core::poison::Suspects;
use bbv_core::queue;
use bbv_core::ramp::Warmup;
use bbv_core::reconciliation::AttemptLog;
use bbv_core::ticket::Key;
use bbv_core::token_budget::TokenBudget;
use bbv_core::units::{MS, Micros, Revision};
use bbv_wire::{Answer, Reply};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::sync::{broadcast, oneshot};

use crate::audit::{Audit, Event};
use crate::options::Options;

/// Key of an operation: the node that minted its ticket and the serial number.
pub(crate) type OperationKey = (NodeId, u64);

pub(crate) struct State {
    /// Time by which all calls are answered, once the node stops.
    pub answer_by: Option<Micros>,
    pub attempts: Attempts<Answer>,
    pub audit: Audit,
    pub catalogue: Catalogue,
    pub wall_clock: Option<(u64, Micros)>,
    pub node_chart: Chart,
    pub upstream_chart: Chart,
    pub refused_budget: TokenBudget,
    pub fleet: Fleet,
    /// Age of the documents, counted from the platform.
    pub freshness: Freshness,
    pub gate: Gate,
    pub hedge_budget: TokenBudget,
    pub me: NodeId,
    pub notice_budget: TokenBudget,
    pub entry_owners: BTreeMap<String, queue::OwnerId>,
    pub ticket_owners: BTreeMap<NodeId, TicketOwner<Answer>>,
    pub sync_peers: Vec<Vm>,
    pub node_state: ChartState,
    pub probe_budget: TokenBudget,
    pub pulling: bool,
    pub recent_ingresses: BTreeMap<Vm, Micros>,
    pub retry_budget: TokenBudget,
    pub rng: SmallRng,
    pub service: String,
    pub documents: Documents,
    pub stalled: bool,
    pub balancers: BTreeMap<String, Balancer>,
    pub suspects: Suspects,
    pub attempt_log: AttemptLog,
    pub suspect_retries: BTreeSet<u64>,
    pub upstream_state: ChartState,
    pub waiters: BTreeMap<u64, oneshot::Sender<GateDequeued>>,
    pub operation_results: BTreeMap<OperationKey, broadcast::Sender<Reply>>,
    pub zone: String,
}

const RETRY_RATIO: f64 = 0.05;
const HEDGE_RATIO: f64 = 0.04;
const MEASURE_RATIO: f64 = 0.008;
const REFUSED_RATIO: f64 = 0.2;
const BURST: f64 = 10.0;
const SMALL_BURST: f64 = 2.0;
const MAX_CHANGES: usize = 4_096;
const MAX_AUDIT_LINES: usize = 4_096;
const MAX_ROWS: usize = 32_768;
const MAX_ATTEMPTS: usize = 32_768;
const RECENT_WINDOW: Micros = 1_000 * MS;

const DEFAULT_BOUNDS: Bounds = Bounds {
    slots: 1,
    connections: 1,
    warmup: Warmup { cold_slots: 1, duration: 1_000 * MS },
    base_latency: 10 * MS,
};

fn parse_chart(text: &str) -> Chart {
    Chart::parse(text).expect("built-in charts are valid")
}

impl State {
    pub fn new(options: &Options, now: Micros) -> Self {
        let mut rng = SmallRng::seed_from_u64(options.seed);
        let me = NodeId { vm: options.vm, incarnation: rng.random() };
        let key = Key([rng.random(), rng.random()]);
        let owner = TicketOwner::new(me, key, options.tickets);
        let node_chart = parse_chart(include_str!("../../../charts/node.yaml"));
        let upstream_chart = parse_chart(include_str!("../../../charts/upstream.yaml"));
        State {
            answer_by: None,
            attempts: Attempts::new(MAX_ATTEMPTS),
            audit: Audit::new(MAX_AUDIT_LINES),
            catalogue: Catalogue::default(),
            node_state: node_chart.initial(),
            upstream_state: upstream_chart.initial(),
            node_chart,
            upstream_chart,
            wall_clock: options.wall_ms.map(|ms| (ms, now)),
            refused_budget: TokenBudget::new(REFUSED_RATIO, BURST),
            fleet: Fleet::default(),
            freshness: Freshness::default(),
            gate: Gate::new(DEFAULT_BOUNDS, now),
            hedge_budget: TokenBudget::new(HEDGE_RATIO, SMALL_BURST),
            me,
            notice_budget: TokenBudget::new(MEASURE_RATIO, BURST),
            entry_owners: BTreeMap::new(),
            ticket_owners: BTreeMap::from([(me, owner)]),
            sync_peers: Vec::new(),
            probe_budget: TokenBudget::new(MEASURE_RATIO, BURST),
            pulling: false,
            recent_ingresses: BTreeMap::new(),
            retry_budget: TokenBudget::new(RETRY_RATIO, SMALL_BURST),
            rng,
            service: options.service.clone(),
            documents: Documents::new(MAX_CHANGES),
            stalled: false,
            balancers: BTreeMap::new(),
            suspects: Suspects::default(),
            attempt_log: AttemptLog::new(me, MAX_ROWS),
            suspect_retries: BTreeSet::new(),
            waiters: BTreeMap::new(),
            operation_results: BTreeMap::new(),
            zone: options.zone.clone(),
        }
    }

    /// Name of the state in the node's state chart.
    pub fn node_state_name(&self) -> &str {
        self.node_chart.name(self.node_state)
    }

    /// Returns whether the gate admits new work.
    pub fn gate_open(&self) -> bool {
        self.closed_reason().is_none()
    }

    pub fn draining(&self) -> bool {
        matches!(self.node_state_name(), "draining" | "stopped")
    }

    /// Returns the VMs of this zone that are not to leave, as numbers.
    pub fn zone_vms(&self) -> Vec<u64> {
        let stays = |listed: &ListedVm| listed.zone == self.zone && !listed.leaving;
        let members = self.fleet.members().filter(|member| stays(&member.listed));
        members.map(|member| u64::from(member.listed.vm.0)).collect()
    }

    /// Records that the platform had nothing newer than `revision` `age` ago, if all of that is known here.
    pub fn confirm_documents(&mut self, now: Micros, revision: Revision, age: Option<Micros>) {
        if revision <= self.documents.through() {
            self.freshness.confirm(now, age);
        }
    }

    /// Applies an event to the node's state chart and writes the audit trail.
    pub fn node_event(&mut self, now: Micros, event: &str) {
        let next = self.node_chart.next(self.node_state, event).unwrap_or(self.node_state);
        if next == self.node_state {
            return;
        }
        self.node_state = next;
        let name = self.node_chart.name(next).to_owned();
        self.audit.write(now, Event::NodeState, &name, event);
        self.update_gate(now);
    }

    /// Applies an event to the upstream's state chart and writes the audit trail.
    pub fn upstream_event(&mut self, now: Micros, event: &str) {
        let next = self.upstream_chart.next(self.upstream_state, event);
        let Ok(next) = next else { return };
        if next == self.upstream_state {
            return;
        }
        self.upstream_state = next;
        let name = self.upstream_chart.name(next).to_owned();
        self.audit.write(now, Event::UpstreamState, &name, event);
    }

    /// Updates the upstream's state chart from the state of the gate.
    pub fn update_upstream(&mut self, now: Micros) {
        if self.gate.failing() {
            self.upstream_event(now, "failing");
        } else if self.gate.warm(now) {
            self.upstream_event(now, "recovered");
            self.upstream_event(now, "warmed");
        } else {
            self.upstream_event(now, "recovered");
            self.upstream_event(now, "chilled");
        }
    }

    /// Reason why the gate refuses new work, if it is closed.
    pub fn closed_reason(&self) -> Option<Refusal> {
        if self.draining() {
            return Some(Refusal::Draining);
        }
        if self.catalogue.out.zones.contains(&self.zone) {
            return Some(Refusal::ZoneOut);
        }
        if self.catalogue.out.vms.contains(&self.me.vm) {
            return Some(Refusal::VmOut);
        }
        let leaving = self.catalogue.vms.get(&self.me.vm).is_some_and(|listed| listed.leaving);
        if leaving {
            return Some(Refusal::Draining);
        }
        (self.node_state_name() != "serving").then_some(Refusal::Stale)
    }

    pub fn update_gate(&mut self, now: Micros) {
        let reason = self.closed_reason();
        let was_out = self.upstream_chart.name(self.upstream_state) == "closed";
        self.gate.close(reason);
        let out = matches!(reason, Some(Refusal::ZoneOut | Refusal::VmOut));
        if out {
            self.upstream_event(now, "closed");
        } else if was_out && reason.is_none() {
            // The upstream may have been replaced while it was out of service.
            self.gate.restart_warmup(now);
            self.upstream_event(now, "opened");
        }
    }

    /// Applies a document that took effect to the catalogue, the fleet and the gate.
    pub fn apply_document(&mut self, now: Micros, change: &DocumentChange) {
        self.catalogue.apply(change);
        let (kind, name) = change.key.split_once('/').unwrap_or((&change.key, ""));
        match (kind, name.parse().map(Vm)) {
            ("vm", Ok(vm)) => match self.catalogue.vms.get(&vm) {
                Some(listed) => self.fleet.insert(listed.clone()),
                None => self.fleet.remove(vm),
            },
            ("service", _) if name == self.service => {
                if let Some(service) = self.catalogue.services.get(name) {
                    self.gate.set_bounds(service.bounds(), now);
                }
            }
            _ => {}
        }
    }

    /// Rebuilds the candidates of each service that this node calls.
    pub fn refresh_candidates(&mut self, now: Micros) {
        self.balancers.retain(|name, _| self.catalogue.services.contains_key(name));
        let names: Vec<String> = self.balancers.keys().cloned().collect();
        for name in names {
            self.refresh_service(now, &name);
        }
    }

    /// Creates the balancer of a service if there is none yet.
    pub fn ensure_balancer(&mut self, now: Micros, service: &str) {
        if !self.balancers.contains_key(service) {
            self.refresh_service(now, service);
        }
    }

    fn refresh_service(&mut self, now: Micros, name: &str) {
        let Some(service) = self.catalogue.services.get(name) else { return };
        let bounds = service.bounds();
        let balancer = self
            .balancers
            .entry(name.to_owned())
            .or_insert_with(|| Balancer::new(self.me.vm, bounds.base_latency, bounds.slots));
        balancer.set_base_latency(bounds.base_latency, bounds.slots);
        let out = &self.catalogue.out;
        let usable = self.fleet.of_service(name).filter(|member| {
            let listed = &member.listed;
            !out.zones.contains(&listed.zone)
                && !out.vms.contains(&listed.vm)
                && self.fleet.usable(now, listed.vm)
        });
        let candidates: Vec<Candidate> = usable
            .map(|member| Candidate {
                vm: member.listed.vm,
                rtt: self.catalogue.rtt(&self.zone, &member.listed.zone),
            })
            .collect();
        balancer.set_candidates(&candidates);
    }

    /// Numeric id of the owner of catalogue entries; valid only within this process.
    pub fn entry_owner_id(&mut self, owner: &str) -> queue::OwnerId {
        if let Some(id) = self.entry_owners.get(owner) {
            return *id;
        }
        let id = self.entry_owners.len() as queue::OwnerId;
        self.entry_owners.insert(owner.to_owned(), id);
        id
    }

    /// Wall-clock time in milliseconds, if the options gave it at the start.
    pub fn wall_ms(&self, now: Micros) -> Option<u64> {
        self.wall_clock.map(|(start, at)| start + now.saturating_sub(at) / MS)
    }

    /// Wakes the queued requests that the gate has admitted or refused.
    pub fn wake_waiters(&mut self, now: Micros) {
        let mut decisions = Vec::new();
        self.gate.poll(now, &mut decisions);
        for decision in decisions {
            let id = match decision {
                GateDequeued::Run(id) | GateDequeued::Refuse(id, _) => id,
            };
            // A request without a waiter settles with the gate when its `GateSlot` is dropped.
            if let Some(waiter) = self.waiters.remove(&id) {
                let _ = waiter.send(decision);
            }
        }
    }

    /// VMs whose ingress sent an attempt within `RECENT_WINDOW`.
    pub fn recent_ingresses(&mut self, now: Micros) -> Vec<Vm> {
        self.recent_ingresses.retain(|_, at| now.saturating_sub(*at) < RECENT_WINDOW);
        self.recent_ingresses.keys().copied().collect()
    }

    /// VMs that run a service, in any state.
    pub fn vms_of(&self, service: &str) -> Vec<Vm> {
        self.fleet.of_service(service).map(|member| member.listed.vm).collect()
    }
}
