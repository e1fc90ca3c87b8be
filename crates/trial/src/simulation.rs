//! Runs a trial in virtual time: starts the nodes with their simulated upstreams, offers the
//! calls, injects the faults and collects the report.

use std::collections::BTreeSet;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bbv_core::catalogue::OutOfService;
use bbv_core::fleet::ListedVm;
use bbv_core::id::Vm;
use bbv_core::units::{MS, Micros, SEC};
use bbv_node::ports::{Platform as PlatformPort, Ports, Upstream};
use bbv_node::timer::Timer;
use bbv_node::{Node, Options};
use parking_lot::Mutex;
use rand::Rng;
use rand::seq::IndexedRandom;
use tokio::task::JoinHandle;

use crate::callers::SimulatedCallers;
use crate::environment::Environment;
use crate::fault::{Fault, FaultKind};
use crate::links::Links;
use crate::member::SimulatedMember;
use crate::model::UpstreamModel;
use crate::plan::{Plan, Stream};
use crate::platform::Platform;
use crate::policy::{Oracle, Policy, baseline};
use crate::report::Report;

/// Reads per second that the simulated platform accepts.
const PLATFORM_READ_LIMIT: u64 = 2_000;
/// Time until the platform's list of VMs reflects a VM that started or ended.
const LISTING_DELAY: Micros = 2 * SEC;
/// Capacity of each node's ticket table.
const TICKET_CAPACITY: usize = 20_000;
/// Time after the measured period in which open calls can end.
const DRAIN_TIME: Micros = 6 * SEC;
/// Seed peers in the settings of a new node.
const SEED_PEERS: usize = 3;
const NODE_PORT: u16 = 9_000;

/// A running trial.
pub struct Simulation {
    env: Arc<Environment>,
    links: Arc<Links>,
    policy: Policy,
    seed: u64,
    oracle: Arc<Oracle>,
    next_vm: AtomicU64,
    zones_out: Mutex<BTreeSet<String>>,
}

/// Runs a trial in virtual time and returns its report.
pub fn run(plan: &Plan, policy: Policy, seed: u64) -> Report {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime without I/O can be built");
    runtime.block_on(async {
        let simulation = Simulation::build(plan, policy, seed);
        simulation.run().await
    })
}

impl Simulation {
    fn build(plan: &Plan, policy: Policy, seed: u64) -> Arc<Self> {
        // One millisecond of the paused clock stands for one microsecond of the trial.
        let timer = Timer::scaled(Duration::from_millis(1));
        let catalogue = plan.catalogue.clone();
        let one_way_delay = move |from: &str, to: &str| catalogue.rtt(from, to) / 2;
        let links =
            Links::new(timer.clone(), seed ^ 1, plan.jitter, plan.loss, Box::new(one_way_delay));
        let platform = Arc::new(Platform::new(timer.clone(), PLATFORM_READ_LIMIT));
        let simulation = Arc::new(Simulation {
            links,
            policy,
            seed,
            oracle: Arc::default(),
            next_vm: AtomicU64::new(0),
            zones_out: Mutex::default(),
            env: Arc::new(Environment::new(timer, platform, plan, seed ^ 2)),
        });
        for (key, value) in plan.catalogue.documents() {
            simulation.env.platform.publish(&key, Some(value));
        }
        for pool in &plan.pools {
            for index in 0..pool.endpoints {
                let zone = &plan.zones[index as usize % plan.zones.len()];
                let member = simulation.start_member(zone, &pool.service, !plan.warm);
                simulation.publish_listing(&member, false);
            }
        }
        simulation
    }

    /// Starts a node and its upstream on a new VM.
    fn start_member(self: &Arc<Self>, zone: &str, service: &str, cold: bool) -> SimulatedMember {
        let number = self.next_vm.fetch_add(1, Ordering::Relaxed) as u32;
        let addr = SocketAddr::new(IpAddr::V4(Ipv4Addr::from(0x0a00_0000 + number)), NODE_PORT);
        let limits = &self.env.plan.catalogue.services[service];
        let pool = self.env.plan.pools.iter().find(|pool| pool.service == service);
        let pool = pool.expect("every started service has a pool");
        let seed = self.env.rng.lock().random::<u64>();
        let model = UpstreamModel::new(
            number,
            limits,
            pool,
            &self.env.timer,
            &self.env.observer,
            seed,
            cold,
        );
        self.oracle.register(&model, zone, limits.slots as f64, pool.mean());
        let timer = self.env.timer.fork();
        let ports = Ports {
            link: self.links.port(addr, zone, &timer),
            platform: self.platform_port(),
            upstream: upstream_port(&model, &timer),
        };
        let (catalogue, own_zone) = (self.env.plan.catalogue.clone(), zone.to_owned());
        let rtt = move |to: &str| catalogue.rtt(&own_zone, to);
        let options = Options {
            vm: Vm(number),
            zone: zone.to_owned(),
            service: service.to_owned(),
            seed: seed ^ self.seed,
            tickets: TICKET_CAPACITY,
            peers: self.seed_peers(),
            wall_ms: Some(self.env.timer.now() / MS),
            baseline: baseline(self.policy, &self.oracle, rtt),
        };
        let node = Node::new(options, ports, timer);
        self.links.register(addr, node.clone(), zone);
        let member = SimulatedMember {
            vm: Vm(number),
            addr,
            zone: zone.to_owned(),
            service: service.to_owned(),
            started: self.env.timer.now(),
            tasks: Arc::new(node.start()),
            node,
            model,
        };
        self.env.members.lock().insert(member.vm, member.clone());
        member
    }

    fn seed_peers(&self) -> Vec<SocketAddr> {
        let members = self.env.members.lock();
        let addrs: Vec<SocketAddr> = members.values().map(|member| member.addr).collect();
        addrs.choose_multiple(&mut *self.env.rng.lock(), SEED_PEERS).copied().collect()
    }

    fn platform_port(&self) -> PlatformPort {
        let platform = Arc::clone(&self.env.platform);
        Box::new(move |since, wait| {
            let platform = Arc::clone(&platform);
            Box::pin(async move { platform.read(since, wait).await })
        })
    }

    fn publish_listing(&self, member: &SimulatedMember, leaving: bool) {
        let listed = ListedVm {
            vm: member.vm,
            addr: member.addr,
            zone: member.zone.clone(),
            service: member.service.clone(),
            leaving,
        };
        let text = serde_json::to_string(&listed).expect("a listed VM can be encoded as JSON");
        self.env.platform.publish(&format!("vm/{}", member.vm.0), Some(text));
    }

    async fn run(self: &Arc<Self>) -> Report {
        let end = self.env.plan.warmup + self.env.plan.duration;
        for (index, stream) in self.env.plan.streams.iter().enumerate() {
            let entry = &self.env.plan.catalogue.entries[&stream.entry];
            let seed = self.seed.wrapping_mul(31).wrapping_add(index as u64);
            let callers = SimulatedCallers::new(&self.env, stream, entry, seed);
            let simulation = Arc::clone(self);
            tokio::spawn(async move {
                // Lets the nodes receive the configuration before the first calls.
                simulation.env.timer.sleep_until(500 * MS).await;
                callers.run(end).await;
            });
        }
        for fault in &self.env.plan.faults {
            for at in fault.times(self.env.plan.duration) {
                let (simulation, fault) = (Arc::clone(self), fault.clone());
                tokio::spawn(async move {
                    simulation.env.timer.sleep_until(simulation.env.plan.warmup + at).await;
                    simulation.inject(fault).await;
                });
            }
        }
        if self.env.plan.change_rate > 0.0 {
            tokio::spawn(Arc::clone(self).republish_documents(end));
        }
        self.env.timer.sleep_until(self.env.plan.warmup).await;
        let counts_before = self.links.message_counts();
        self.env.timer.sleep_until(end).await;
        let message_counts = self.links.message_counts();
        self.env.timer.sleep_until(end + DRAIN_TIME).await;
        let members: Vec<SimulatedMember> = self.env.members.lock().values().cloned().collect();
        let exited = self.env.exited.lock().clone();
        Report::collect(
            &self.env,
            self.policy.name(),
            self.seed,
            &members,
            &exited,
            counts_before,
            message_counts,
        )
    }

    /// Republishes unchanged entries at random times, at the mean rate of the plan.
    async fn republish_documents(self: Arc<Self>, end: Micros) {
        let docs: Vec<(String, String)> = self.env.plan.catalogue.documents().into_iter().collect();
        let entries: Vec<_> = docs.iter().filter(|(key, _)| key.starts_with("entry/")).collect();
        let mean = 3_600.0 * SEC as f64 / self.env.plan.change_rate;
        loop {
            let (gap, index) = {
                let mut rng = self.env.rng.lock();
                (-(1.0 - rng.random::<f64>()).ln() * mean, rng.random_range(0..entries.len()))
            };
            self.env.timer.sleep(gap as Micros).await;
            if self.env.timer.now() >= end {
                return;
            }
            let (key, value) = entries[index];
            self.env.platform.publish(key, Some(value.clone()));
        }
    }

    fn affected(&self, fault: &Fault) -> Vec<SimulatedMember> {
        let members = self.env.members.lock();
        let range = fault.vm..fault.vm + fault.count;
        range.filter_map(|vm| members.get(&Vm(vm)).cloned()).collect()
    }

    async fn inject(self: &Arc<Self>, fault: Fault) {
        let now = self.env.timer.now();
        let until = now + fault.duration;
        match fault.kind {
            FaultKind::Cold => self.affected(&fault).iter().for_each(|m| m.model.turn_cold()),
            FaultKind::Partition => self.partition(&fault).await,
            FaultKind::FailFast => {
                self.affected(&fault).iter().for_each(|m| m.model.fail_fast(until))
            }
            FaultKind::Kill => {
                for member in self.affected(&fault) {
                    tokio::spawn(Arc::clone(self).kill(member, fault.duration));
                }
            }
            FaultKind::Load => {
                *self.env.load_factor.lock() = fault.factor;
                self.env.timer.sleep_until(until).await;
                *self.env.load_factor.lock() = 1.0;
            }
            FaultKind::Pause => {
                self.affected(&fault).iter().for_each(|m| m.node.timer().freeze(until))
            }
            FaultKind::PlatformDown => self.env.platform.fail_until(until),
            FaultKind::PlatformStale => self.env.platform.serve_stale_until(until),
            FaultKind::Poison => self.send_poison(&fault).await,
            FaultKind::Replace | FaultKind::Stop => {
                for member in self.affected(&fault) {
                    tokio::spawn(Arc::clone(self).replace(member));
                }
            }
            FaultKind::Slow => {
                let slow_down =
                    |m: &SimulatedMember| m.model.add_slowdown(now, fault.duration, fault.factor);
                self.affected(&fault).iter().for_each(slow_down);
            }
            FaultKind::ZoneOut => self.zone_out(&fault).await,
        }
    }

    async fn partition(&self, fault: &Fault) {
        let pairs: Vec<(&String, &String)> = match &fault.zones[..] {
            [a, b] => vec![(a, b)],
            [a] => self.env.plan.zones.iter().filter(|zone| *zone != a).map(|b| (a, b)).collect(),
            _ => Vec::new(),
        };
        pairs.iter().for_each(|(a, b)| self.links.set_partitioned(a, b, true));
        self.env.timer.sleep(fault.duration).await;
        pairs.iter().for_each(|(a, b)| self.links.set_partitioned(a, b, false));
    }

    async fn send_poison(self: &Arc<Self>, fault: &Fault) {
        let name = fault.entry.as_ref().or(self.env.plan.streams.first().map(|s| &s.entry));
        let Some(entry) = name.and_then(|name| self.env.plan.catalogue.entries.get(name)) else {
            return;
        };
        let stream =
            Stream { entry: entry.name.clone(), load: 0.0, duplicates: 0.0, answer_loss: 0.0 };
        SimulatedCallers::new(&self.env, &stream, entry, self.seed ^ 77).send_poison().await;
    }

    async fn zone_out(self: &Arc<Self>, fault: &Fault) {
        for zone in &fault.zones {
            self.set_zone_out(zone, true);
        }
        self.env.timer.sleep(fault.duration).await;
        for zone in &fault.zones {
            self.set_zone_out(zone, false);
        }
    }

    fn set_zone_out(&self, zone: &str, out_of_service: bool) {
        let now = self.env.timer.now();
        let zones = {
            let mut zones_out = self.zones_out.lock();
            if out_of_service {
                zones_out.insert(zone.to_owned());
            } else {
                zones_out.remove(zone);
            }
            zones_out.clone()
        };
        for member in self.env.members.lock().values().filter(|member| member.zone == zone) {
            member.model.set_out_since(out_of_service.then_some(now));
            if !out_of_service && self.env.plan.cold_on_return {
                member.model.turn_cold();
            }
        }
        let document = OutOfService { zones, vms: BTreeSet::new() };
        let text = serde_json::to_string(&document).expect("the document can be encoded as JSON");
        self.env.platform.publish("out", Some(text));
    }

    /// Kills a node and its upstream without notice, then starts a replacement on a new VM.
    async fn kill(self: Arc<Self>, member: SimulatedMember, after: Micros) {
        self.remove(&member);
        member.model.crash();
        self.env.timer.sleep(LISTING_DELAY).await;
        self.env.platform.publish(&format!("vm/{}", member.vm.0), None);
        self.env.timer.sleep(after).await;
        let new = self.start_member(&member.zone, &member.service, true);
        self.env.timer.sleep(LISTING_DELAY).await;
        self.publish_listing(&new, false);
    }

    fn remove(&self, member: &SimulatedMember) {
        self.env.members.lock().remove(&member.vm);
        self.links.kill(member.addr);
        member.tasks.iter().for_each(JoinHandle::abort);
        self.env.exited.lock().push(member.clone());
    }

    /// Drains and stops a node after starting a replacement with a cold upstream on a new VM.
    async fn replace(self: Arc<Self>, member: SimulatedMember) {
        self.publish_listing(&member, true);
        let new = self.start_member(&member.zone, &member.service, true);
        self.publish_listing(&new, false);
        self.env.timer.sleep(LISTING_DELAY).await;
        member.node.drain().await;
        // Callers can no longer connect to the node; it completes their open calls.
        self.env.members.lock().remove(&member.vm);
        member.node.finish().await;
        let cut = u64::from(member.model.in_flight()) + member.node.open_calls();
        self.env.observer.update(|metrics| metrics.cut_requests += cut);
        self.remove(&member);
        self.env.timer.sleep(LISTING_DELAY).await;
        self.env.platform.publish(&format!("vm/{}", member.vm.0), None);
    }
}

fn upstream_port(model: &Arc<UpstreamModel>, timer: &Timer) -> Upstream {
    let (model, timer) = (Arc::clone(model), timer.clone());
    Box::new(move |call| {
        let (model, timer) = (Arc::clone(&model), timer.clone());
        Box::pin(async move {
            let answer = model.run(call).await;
            timer.wait_while_frozen().await;
            answer
        })
    })
}
