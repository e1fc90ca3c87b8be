//! The parts of a trial put together, and its faults.

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
use crate::fault::{Fault, Kind};
use crate::links::Links;
use crate::member::Member;
use crate::model::Model;
use crate::plan::{Plan, Stream};
use crate::platform::Platform;
use crate::policy::{Oracle, Policy, baseline};
use crate::report::Report;
use crate::scene::Scene;

const READ_CAP: u64 = 2_000;
const LIST_LAG: Micros = 2 * SEC;
const TICKETS: usize = 20_000;
const TAIL: Micros = 6 * SEC;
const SEEDS: usize = 3;
const FIRST_PORT: u16 = 9_000;

/// One trial that runs.
pub struct World {
    scene: Arc<Scene>,
    links: Arc<Links>,
    policy: Policy,
    seed: u64,
    oracle: Arc<Oracle>,
    next_vm: AtomicU64,
    out: Mutex<BTreeSet<String>>,
}

/// Runs a trial to its end in virtual time.
pub fn run(plan: &Plan, policy: Policy, seed: u64) -> Report {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime without I/O can be built");
    runtime.block_on(async {
        let world = World::build(plan, policy, seed);
        world.run().await
    })
}

impl World {
    fn build(plan: &Plan, policy: Policy, seed: u64) -> Arc<Self> {
        // One millisecond of the paused clock is one microsecond of the trial.
        let timer = Timer::scaled(Duration::from_millis(1));
        let catalogue = plan.catalogue.clone();
        let one_way = move |from: &str, to: &str| catalogue.rtt(from, to) / 2;
        let links = Links::new(timer.clone(), seed ^ 1, plan.jitter, plan.loss, Box::new(one_way));
        let platform = Arc::new(Platform::new(timer.clone(), READ_CAP));
        let world = Arc::new(World {
            links,
            policy,
            seed,
            oracle: Arc::default(),
            next_vm: AtomicU64::new(0),
            out: Mutex::default(),
            scene: Arc::new(Scene::new(timer, platform, plan, seed ^ 2)),
        });
        for (key, value) in plan.catalogue.documents() {
            world.scene.platform.publish(&key, Some(value));
        }
        for pool in &plan.pools {
            for at in 0..pool.endpoints {
                let zone = &plan.zones[at as usize % plan.zones.len()];
                let member = world.spawn(zone, &pool.service, !plan.warm);
                world.list(&member, false);
            }
        }
        world
    }

    /// Starts a node with its upstream on a new VM.
    fn spawn(self: &Arc<Self>, zone: &str, service: &str, cold: bool) -> Member {
        let number = self.next_vm.fetch_add(1, Ordering::Relaxed) as u32;
        let addr = SocketAddr::new(IpAddr::V4(Ipv4Addr::from(0x0a00_0000 + number)), FIRST_PORT);
        let bounds = &self.scene.plan.catalogue.services[service];
        let pool = self.scene.plan.pools.iter().find(|pool| pool.service == service);
        let pool = pool.expect("services of members have a pool");
        let seed = self.scene.rng.lock().random::<u64>();
        let model =
            Model::new(number, bounds, pool, &self.scene.timer, &self.scene.observer, seed, cold);
        self.oracle.show(&model, zone, bounds.slots as f64, pool.mean());
        let timer = self.scene.timer.fork();
        let ports = Ports {
            link: self.links.port(addr, zone, &timer),
            platform: self.platform_port(),
            upstream: upstream_port(&model, &timer),
        };
        let (catalogue, own) = (self.scene.plan.catalogue.clone(), zone.to_owned());
        let rtt = move |to: &str| catalogue.rtt(&own, to);
        let options = Options {
            vm: Vm(number),
            zone: zone.to_owned(),
            service: service.to_owned(),
            seed: seed ^ self.seed,
            tickets: TICKETS,
            peers: self.seeds(),
            wall_ms: Some(self.scene.timer.now() / MS),
            baseline: baseline(self.policy, &self.oracle, rtt),
        };
        let node = Node::new(options, ports, timer);
        self.links.place(addr, node.clone(), zone);
        let member = Member {
            vm: Vm(number),
            addr,
            zone: zone.to_owned(),
            service: service.to_owned(),
            started: self.scene.timer.now(),
            tasks: Arc::new(node.start()),
            node,
            model,
        };
        self.scene.members.lock().insert(member.vm, member.clone());
        member
    }

    /// Peers in the settings of a new node.
    fn seeds(&self) -> Vec<SocketAddr> {
        let members = self.scene.members.lock();
        let addrs: Vec<SocketAddr> = members.values().map(|member| member.addr).collect();
        addrs.choose_multiple(&mut *self.scene.rng.lock(), SEEDS).copied().collect()
    }

    fn platform_port(&self) -> PlatformPort {
        let platform = Arc::clone(&self.scene.platform);
        Box::new(move |since, wait| {
            let platform = Arc::clone(&platform);
            Box::pin(async move { platform.read(since, wait).await })
        })
    }

    fn list(&self, member: &Member, leaving: bool) {
        let listed = ListedVm {
            vm: member.vm,
            addr: member.addr,
            zone: member.zone.clone(),
            service: member.service.clone(),
            leaving,
        };
        let text = serde_json::to_string(&listed).expect("the list is encoded as JSON");
        self.scene.platform.publish(&format!("vm/{}", member.vm.0), Some(text));
    }

    async fn run(self: &Arc<Self>) -> Report {
        let end = self.scene.plan.lead + self.scene.plan.length;
        for (number, stream) in self.scene.plan.streams.iter().enumerate() {
            let entry = &self.scene.plan.catalogue.entries[&stream.entry];
            let seed = self.seed.wrapping_mul(31).wrapping_add(number as u64);
            let source = SimulatedCallers::new(&self.scene, stream, entry, seed);
            let world = Arc::clone(self);
            tokio::spawn(async move {
                // Nodes learn the configuration before the first calls come.
                world.scene.timer.sleep_until(500 * MS).await;
                source.run(end).await;
            });
        }
        for fault in &self.scene.plan.faults {
            for at in fault.times(self.scene.plan.length) {
                let (world, fault) = (Arc::clone(self), fault.clone());
                tokio::spawn(async move {
                    world.scene.timer.sleep_until(world.scene.plan.lead + at).await;
                    world.inject(fault).await;
                });
            }
        }
        if self.scene.plan.changes > 0.0 {
            tokio::spawn(Arc::clone(self).publish_changes(end));
        }
        self.scene.timer.sleep_until(self.scene.plan.lead).await;
        let before = self.links.counted();
        self.scene.timer.sleep_until(end).await;
        let counted = self.links.counted();
        self.scene.timer.sleep_until(end + TAIL).await;
        let members: Vec<Member> = self.scene.members.lock().values().cloned().collect();
        let gone = self.scene.gone.lock().clone();
        Report::gather(&self.scene, self.policy.name(), self.seed, &members, &gone, before, counted)
    }

    /// Publishes documents that change nothing, at the planned rate.
    async fn publish_changes(self: Arc<Self>, end: Micros) {
        let docs: Vec<(String, String)> =
            self.scene.plan.catalogue.documents().into_iter().collect();
        let entries: Vec<_> = docs.iter().filter(|(key, _)| key.starts_with("entry/")).collect();
        let mean = 3_600.0 * SEC as f64 / self.scene.plan.changes;
        loop {
            let (gap, at) = {
                let mut rng = self.scene.rng.lock();
                (-(1.0 - rng.random::<f64>()).ln() * mean, rng.random_range(0..entries.len()))
            };
            self.scene.timer.sleep(gap as Micros).await;
            if self.scene.timer.now() >= end {
                return;
            }
            let (key, value) = entries[at];
            self.scene.platform.publish(key, Some(value.clone()));
        }
    }

    fn affected(&self, fault: &Fault) -> Vec<Member> {
        let members = self.scene.members.lock();
        let range = fault.vm..fault.vm + fault.count;
        range.filter_map(|vm| members.get(&Vm(vm)).cloned()).collect()
    }

    async fn inject(self: &Arc<Self>, fault: Fault) {
        let now = self.scene.timer.now();
        let until = now + fault.span;
        match fault.kind {
            Kind::Cold => self.affected(&fault).iter().for_each(|m| m.model.chill()),
            Kind::Cut => self.cut(&fault).await,
            Kind::FailFast => self.affected(&fault).iter().for_each(|m| m.model.fail_fast(until)),
            Kind::Kill => {
                for member in self.affected(&fault) {
                    tokio::spawn(Arc::clone(self).kill(member, fault.span));
                }
            }
            Kind::Load => {
                *self.scene.load.lock() = fault.factor;
                self.scene.timer.sleep_until(until).await;
                *self.scene.load.lock() = 1.0;
            }
            Kind::Pause => self.affected(&fault).iter().for_each(|m| m.node.timer().freeze(until)),
            Kind::PlatformDown => self.scene.platform.fail_until(until),
            Kind::PlatformStale => self.scene.platform.serve_stale_until(until),
            Kind::Poison => self.poison(&fault).await,
            Kind::Replace | Kind::Stop => {
                for member in self.affected(&fault) {
                    tokio::spawn(Arc::clone(self).replace(member));
                }
            }
            Kind::Slow => {
                let slow = |m: &Member| m.model.slow(now, fault.span, fault.factor);
                self.affected(&fault).iter().for_each(slow);
            }
            Kind::ZoneOut => self.zone_out(&fault).await,
        }
    }

    async fn cut(&self, fault: &Fault) {
        let pairs: Vec<(&String, &String)> = match &fault.zones[..] {
            [a, b] => vec![(a, b)],
            [a] => self.scene.plan.zones.iter().filter(|zone| *zone != a).map(|b| (a, b)).collect(),
            _ => Vec::new(),
        };
        pairs.iter().for_each(|(a, b)| self.links.cut(a, b, true));
        self.scene.timer.sleep(fault.span).await;
        pairs.iter().for_each(|(a, b)| self.links.cut(a, b, false));
    }

    async fn poison(self: &Arc<Self>, fault: &Fault) {
        let name = fault.entry.as_ref().or(self.scene.plan.streams.first().map(|s| &s.entry));
        let Some(entry) = name.and_then(|name| self.scene.plan.catalogue.entries.get(name)) else {
            return;
        };
        let stream = Stream { entry: entry.name.clone(), load: 0.0, twice: 0.0, answer_loss: 0.0 };
        SimulatedCallers::new(&self.scene, &stream, entry, self.seed ^ 77).send_poison().await;
    }

    async fn zone_out(self: &Arc<Self>, fault: &Fault) {
        for zone in &fault.zones {
            self.set_out(zone, true);
        }
        self.scene.timer.sleep(fault.span).await;
        for zone in &fault.zones {
            self.set_out(zone, false);
        }
    }

    fn set_out(&self, zone: &str, is_out: bool) {
        let now = self.scene.timer.now();
        let zones = {
            let mut out = self.out.lock();
            if is_out {
                out.insert(zone.to_owned());
            } else {
                out.remove(zone);
            }
            out.clone()
        };
        for member in self.scene.members.lock().values().filter(|member| member.zone == zone) {
            member.model.set_out(is_out.then_some(now));
            if !is_out && self.scene.plan.chill_on_return {
                member.model.chill();
            }
        }
        let out = OutOfService { zones, vms: BTreeSet::new() };
        let text = serde_json::to_string(&out).expect("the document is encoded as JSON");
        self.scene.platform.publish("out", Some(text));
    }

    /// Kills a node with its upstream; another VM takes their place.
    async fn kill(self: Arc<Self>, member: Member, after: Micros) {
        self.remove(&member);
        member.model.crash();
        self.scene.timer.sleep(LIST_LAG).await;
        self.scene.platform.publish(&format!("vm/{}", member.vm.0), None);
        self.scene.timer.sleep(after).await;
        let new = self.spawn(&member.zone, &member.service, true);
        self.scene.timer.sleep(LIST_LAG).await;
        self.list(&new, false);
    }

    fn remove(&self, member: &Member) {
        self.scene.members.lock().remove(&member.vm);
        self.links.kill(member.addr);
        member.tasks.iter().for_each(JoinHandle::abort);
        self.scene.gone.lock().push(member.clone());
    }

    /// Stops a node as planned; another VM with a cold upstream takes its place.
    async fn replace(self: Arc<Self>, member: Member) {
        self.list(&member, true);
        let new = self.spawn(&member.zone, &member.service, true);
        self.list(&new, false);
        self.scene.timer.sleep(LIST_LAG).await;
        member.node.drain().await;
        // Callers can no longer connect; their open calls are finished.
        self.scene.members.lock().remove(&member.vm);
        member.node.finish().await;
        let running = u64::from(member.model.running()) + member.node.open_calls();
        self.scene.observer.note(|facts| facts.cut += running);
        self.remove(&member);
        self.scene.timer.sleep(LIST_LAG).await;
        self.scene.platform.publish(&format!("vm/{}", member.vm.0), None);
    }
}

fn upstream_port(model: &Arc<Model>, timer: &Timer) -> Upstream {
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
