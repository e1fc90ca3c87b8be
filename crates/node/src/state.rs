//! Mutable state of a node: the decision parts and their records.

use std::collections::{BTreeMap, BTreeSet};

use bbv_core::attempt::Attempts;
use bbv_core::balancer::{Balancer, Candidate};
use bbv_core::catalogue::Catalogue;
use bbv_core::chart::{Chart, State as ChartState};
use bbv_core::documents::{DocumentChange, Documents};
use bbv_core::fleet::Fleet;
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
use bbv_core::units::{MS, Micros};
use bbv_wire::{Answer, Reply};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::sync::{broadcast, oneshot};

use crate::audit::{Audit, Event};
use crate::options::Options;

/// Key of an operation: the node that minted its ticket and the serial number.
pub(crate) type OpKey = (NodeId, u64);

pub(crate) struct State {
    pub attempts: Attempts<Answer>,
    pub audit: Audit,
    pub catalogue: Catalogue,
    pub clock_ms: Option<(u64, Micros)>,
    pub chart_node: Chart,
    pub chart_upstream: Chart,
    pub detours: TokenBudget,
    pub fleet: Fleet,
    pub gate: Gate,
    pub hedges: TokenBudget,
    pub me: NodeId,
    pub notices: TokenBudget,
    pub owner_ids: BTreeMap<String, queue::OwnerId>,
    pub owners: BTreeMap<NodeId, TicketOwner<Answer>>,
    pub partners: Vec<Vm>,
    pub phase: ChartState,
    pub probes: TokenBudget,
    pub pulling: bool,
    pub recent: BTreeMap<Vm, Micros>,
    pub retries: TokenBudget,
    pub rng: SmallRng,
    pub service: String,
    pub spread: Documents,
    pub stalled: bool,
    pub steers: BTreeMap<String, Balancer>,
    pub suspects: Suspects,
    pub tally: AttemptLog,
    pub trials: BTreeSet<u64>,
    pub upstream_state: ChartState,
    pub waiters: BTreeMap<u64, oneshot::Sender<GateDequeued>>,
    pub watched: BTreeMap<OpKey, broadcast::Sender<Reply>>,
    pub zone: String,
}

const RETRY_SHARE: f64 = 0.05;
const HEDGE_SHARE: f64 = 0.04;
const MEASURE_SHARE: f64 = 0.008;
const DETOUR_SHARE: f64 = 0.2;
const BURST: f64 = 10.0;
const EXTRA_BURST: f64 = 2.0;
const CHANGE_LOG: usize = 4_096;
const AUDIT_LINES: usize = 4_096;
const TALLY_ROWS: usize = 32_768;
const ATTEMPTS: usize = 32_768;
const RECENT: Micros = 1_000 * MS;

const UNKNOWN_BOUNDS: Bounds = Bounds {
    slots: 1,
    connections: 1,
    warmup: Warmup { cold_slots: 1, duration: 1_000 * MS },
    base_latency: 10 * MS,
};

fn chart(text: &str) -> Chart {
    Chart::parse(text).expect("built-in charts are valid")
}

impl State {
    pub fn new(options: &Options, now: Micros) -> Self {
        let mut rng = SmallRng::seed_from_u64(options.seed);
        let me = NodeId { vm: options.vm, incarnation: rng.random() };
        let key = Key([rng.random(), rng.random()]);
        let own = TicketOwner::new(me, key, options.tickets);
        let chart_node = chart(include_str!("../../../charts/node.yaml"));
        let chart_upstream = chart(include_str!("../../../charts/upstream.yaml"));
        State {
            attempts: Attempts::new(ATTEMPTS),
            audit: Audit::new(AUDIT_LINES),
            catalogue: Catalogue::default(),
            phase: chart_node.initial(),
            upstream_state: chart_upstream.initial(),
            chart_node,
            chart_upstream,
            clock_ms: options.wall_ms.map(|ms| (ms, now)),
            detours: TokenBudget::new(DETOUR_SHARE, BURST),
            fleet: Fleet::default(),
            gate: Gate::new(UNKNOWN_BOUNDS, now),
            hedges: TokenBudget::new(HEDGE_SHARE, EXTRA_BURST),
            me,
            notices: TokenBudget::new(MEASURE_SHARE, BURST),
            owner_ids: BTreeMap::new(),
            owners: BTreeMap::from([(me, own)]),
            partners: Vec::new(),
            probes: TokenBudget::new(MEASURE_SHARE, BURST),
            pulling: false,
            recent: BTreeMap::new(),
            retries: TokenBudget::new(RETRY_SHARE, EXTRA_BURST),
            rng,
            service: options.service.clone(),
            spread: Documents::new(CHANGE_LOG),
            stalled: false,
            steers: BTreeMap::new(),
            suspects: Suspects::default(),
            tally: AttemptLog::new(me, TALLY_ROWS),
            trials: BTreeSet::new(),
            waiters: BTreeMap::new(),
            watched: BTreeMap::new(),
            zone: options.zone.clone(),
        }
    }

    /// Name of the node's state.
    pub fn phase_name(&self) -> &str {
        self.chart_node.name(self.phase)
    }

    /// Tells whether the gate takes new work.
    pub fn gate_open(&self) -> bool {
        self.closed_for().is_none()
    }

    pub fn draining(&self) -> bool {
        matches!(self.phase_name(), "draining" | "stopped")
    }

    /// Applies an event to the node's state chart and writes the audit trail.
    pub fn node_event(&mut self, now: Micros, event: &str) {
        let next = self.chart_node.next(self.phase, event).unwrap_or(self.phase);
        if next == self.phase {
            return;
        }
        self.phase = next;
        let name = self.chart_node.name(next).to_owned();
        self.audit.write(now, Event::NodeState, &name, event);
        self.close_gate(now);
    }

    /// Applies an event to the upstream's state chart and writes the audit trail.
    pub fn upstream_event(&mut self, now: Micros, event: &str) {
        let next = self.chart_upstream.next(self.upstream_state, event);
        let Ok(next) = next else { return };
        if next == self.upstream_state {
            return;
        }
        self.upstream_state = next;
        let name = self.chart_upstream.name(next).to_owned();
        self.audit.write(now, Event::UpstreamState, &name, event);
    }

    /// Compares the gate with the upstream's state chart.
    pub fn watch_upstream(&mut self, now: Micros) {
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

    /// Reason for which new work is refused, if there is one.
    pub fn closed_for(&self) -> Option<Refusal> {
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
        (self.phase_name() != "serving").then_some(Refusal::Stale)
    }

    pub fn close_gate(&mut self, now: Micros) {
        let reason = self.closed_for();
        let was_out = self.chart_upstream.name(self.upstream_state) == "closed";
        self.gate.close(reason);
        let out = matches!(reason, Some(Refusal::ZoneOut | Refusal::VmOut));
        if out {
            self.upstream_event(now, "closed");
        } else if was_out && reason.is_none() {
            // The upstream may have been replaced while it was out.
            self.gate.restart_warmup(now);
            self.upstream_event(now, "opened");
        }
    }

    /// Applies a document that came into force to everything derived from it.
    pub fn reconfigure(&mut self, now: Micros, change: &DocumentChange) {
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

    /// Rebuilds the candidates of each service that is called from this node.
    pub fn refresh_candidates(&mut self, now: Micros) {
        self.steers.retain(|name, _| self.catalogue.services.contains_key(name));
        let names: Vec<String> = self.steers.keys().cloned().collect();
        for name in names {
            self.refresh_service(now, &name);
        }
    }

    /// Makes sure that there is a choice for a service.
    pub fn ensure_steer(&mut self, now: Micros, service: &str) {
        if !self.steers.contains_key(service) {
            self.refresh_service(now, service);
        }
    }

    fn refresh_service(&mut self, now: Micros, name: &str) {
        let Some(service) = self.catalogue.services.get(name) else { return };
        let bounds = service.bounds();
        let steer = self
            .steers
            .entry(name.to_owned())
            .or_insert_with(|| Balancer::new(self.me.vm, bounds.base_latency, bounds.slots));
        steer.set_base_latency(bounds.base_latency, bounds.slots);
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
        steer.set_candidates(&candidates);
    }

    /// Number of an owner's name, local to this node.
    pub fn owner_id(&mut self, owner: &str) -> queue::OwnerId {
        if let Some(id) = self.owner_ids.get(owner) {
            return *id;
        }
        let id = self.owner_ids.len() as queue::OwnerId;
        self.owner_ids.insert(owner.to_owned(), id);
        id
    }

    /// Time on the platform's clock, if a change has told it.
    pub fn platform_ms(&self, now: Micros) -> Option<u64> {
        self.clock_ms.map(|(start, at)| start + now.saturating_sub(at) / MS)
    }

    /// Wakes the waiting requests about which the gate has decided.
    pub fn pump(&mut self, now: Micros) {
        let mut steps = Vec::new();
        self.gate.poll(now, &mut steps);
        for step in steps {
            let id = match step {
                GateDequeued::Run(id) | GateDequeued::Refuse(id, _) => id,
            };
            // A waiter that is gone settles with the gate when its guard is dropped.
            if let Some(waiter) = self.waiters.remove(&id) {
                let _ = waiter.send(step);
            }
        }
    }

    /// Ingresses that sent an attempt lately.
    pub fn recent_ingresses(&mut self, now: Micros) -> Vec<Vm> {
        self.recent.retain(|_, at| now.saturating_sub(*at) < RECENT);
        self.recent.keys().copied().collect()
    }

    /// VMs that run a service, whatever their state.
    pub fn vms_of(&self, service: &str) -> Vec<Vm> {
        self.fleet.of_service(service).map(|member| member.listed.vm).collect()
    }
}
