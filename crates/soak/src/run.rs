//! Runs a fleet with callers under faults drawn from a seed, and reports which guarantees were
//! violated.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use bbv_stand::caller;
use bbv_stand::fleet::Fleet;
use bbv_stand::process::Process;
use bbv_stand::proxy::Proxy;
use bbv_stand::upstream::ReceivedRequest;
use eyre::{Result, WrapErr, bail};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::callers::{Caller, Habit};
use crate::calm::{BOUND, Disturbances, SETTLING_TIME, SLOW_BOUND};
use crate::checker::Checker;
use crate::cold;
use crate::faults::{self, Node};
use crate::force::ForceMonitor;
use crate::history::History;
use crate::injector::Injector;
use crate::leaving::{Absence, late_requests};
use crate::limits;
use crate::memory::MemoryMonitor;
use crate::poison;
use crate::served::Served;
use crate::versions::{VersionMonitor, status_of, version_route};

/// Options of a run.
#[derive(Clone, Debug)]
pub struct RunOptions {
    /// Seed of the faults.
    pub seed: u64,
    /// Number of nodes.
    pub nodes: usize,
    /// Time for which faults are injected.
    pub duration: Duration,
    /// Largest number of routes that configurations add; two nodes stay calm, and one of them is
    /// behind a slow link, unless it is 0.
    pub routes: usize,
    /// Number of zones.
    pub zones: usize,
    /// Whether the fleet has links like those of a deployment, and outages of the whole store come.
    pub site: bool,
    /// Whether the store comes back from older copies.
    pub drills: bool,
    /// Whether upstreams leave right after cuts from the store.
    pub cuts: bool,
    /// Whether a request comes that ends the upstreams that run it.
    pub crashes: bool,
    /// Memory that a process may take, in bytes.
    pub memory: u64,
    /// Path of the `bbv-mesh` program.
    pub program: PathBuf,
    /// Folder for settings and logs.
    pub folder: PathBuf,
}

impl RunOptions {
    /// Returns the time within which a change is in force at a calm node.
    fn bound(&self) -> Duration {
        if self.routes > 0 { SLOW_BOUND } else { BOUND }
    }
}

/// Result of a run.
#[derive(Clone, Debug)]
pub struct Report {
    /// Requests sent.
    pub sent: usize,
    /// Requests that succeeded.
    pub succeeded: usize,
    /// Faults injected.
    pub faults: usize,
    /// Checks of the routing in force that told whether a route was there.
    pub conclusive: usize,
    /// Times that an upstream left.
    pub absences: usize,
    /// Largest resident memory of a process, in bytes.
    pub peak: u64,
    /// Guarantees violated.
    pub violations: Vec<String>,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "sent={} good={} faults={} routing_checks={} departures={} peak_kb={} broken={}",
            self.sent,
            self.succeeded,
            self.faults,
            self.conclusive,
            self.absences,
            self.peak / 1_024,
            self.violations.len()
        )?;
        self.violations.iter().try_for_each(|violation| write!(f, "\n  {violation}"))
    }
}

/// Port of the upstreams; a proxy listens on the published port.
const UPSTREAM_PORT: u16 = 21_006;
const CALLERS_PER_NODE: usize = 5;
/// Callers of each node in a fleet of a deployment's size.
const SITE_CALLERS: usize = 2;
/// Names of the zones.
const ZONES: [&str; 5] = ["a", "b", "c", "d", "e"];
/// Rates of the links of a deployment's nodes, in megabits per second, given to nodes in turn.
const LINKS_MBPS: &[f64] = &[200.0, 50.0, 100.0, 10.0, 200.0];
/// Delay between zones of a deployment, one way.
const ZONE_DELAY: Duration = Duration::from_micros(3_400);
/// XORed with the seed of a run and the number of a caller to seed the caller.
const CALLER_SEED_MASK: u64 = 0xca11_0000;
/// XORed with the seed of a caller to seed the sizes of the pieces of its requests.
const SIZE_SEED_MASK: u64 = 0x517e_0000_0000;
/// Time within which a fleet without faults serves requests and has complete state again.
const RECOVERY_LIMIT: Duration = Duration::from_secs(15);
/// Lines of a node's log that a failed wait shows.
const LAST_LINES: usize = 40;
/// XORed with the seed of a run and the number of a node to seed its monitor of routes.
const MONITOR_SEED_MASK: u64 = 0xf0_0000;
/// XORed with the seed of a run to seed the request that ends upstreams.
const POISON_SEED_MASK: u64 = 0x9015_0000;
/// Number of the version that is published once the faults have ended.
const LAST_VERSION: u64 = 1_000;
/// Rate of the slow link, in megabits per second.
const SLOW_MBPS: f64 = 10.0;

/// Runs a fleet under faults and checks the guarantees.
pub async fn run(options: &RunOptions) -> Result<Report> {
    let zones: Vec<&str> = (0..options.nodes)
        .map(|index| ZONES[index % options.zones.clamp(1, ZONES.len())])
        .collect();
    let mut fleet = Fleet::with_upstream_port(&zones, UPSTREAM_PORT).await;
    let slow = options.seed as usize % options.nodes;
    let mut calm = Vec::new();
    let mut links = BTreeMap::new();
    if options.site {
        links = fleet.put_behind_links(zones[options.zones - 1], LINKS_MBPS, ZONE_DELAY).await;
        calm = vec![slow, (slow + 1) % options.nodes];
    } else if options.routes > 0 {
        fleet.slow_down(slow, SLOW_MBPS).await;
        calm = vec![slow, (slow + 1) % options.nodes];
    }
    fleet.publish();
    let history = Arc::new(History::default());
    history.begin(1, 0);
    history.acknowledge(Instant::now());
    let mut nodes = start_nodes(options, &fleet, links).await?;
    wait_until_served(&fleet, &mut nodes).await?;
    let checker = Arc::new(Checker::default());
    let stop = Arc::new(AtomicBool::new(false));
    let newest = Arc::new(AtomicU64::new(1));
    let mut tasks = start_callers(&fleet, options, &checker, &stop);
    tasks.extend(start_monitors(&fleet, &nodes, &checker, &newest, &stop));
    tasks.extend(start_force_monitors(&fleet, options.seed, &nodes, &history, &checker, &stop));
    let peak = Arc::new(AtomicU64::new(0));
    tasks.extend(start_memory_monitors(&nodes, options.memory, &peak, &checker, &stop));
    if options.crashes {
        tasks.push(start_poison(&fleet, options.seed, &checker, &stop));
    }
    let injector = Injector::new(options, &fleet, &mut nodes, &newest, &history, &calm)?;
    let (faults, absences) = injector.run(options).await?;
    faults::clear(&fleet, &mut nodes).await?;
    wait_until_served(&fleet, &mut nodes).await?;
    check_without_faults(&fleet, &checker, &history, options).await;
    stop.store(true, Ordering::Relaxed);
    for task in tasks {
        task.await.wrap_err("could not join a caller or version monitor")?;
    }
    for member in &fleet.members {
        cold::overloads(&member.upstream)
            .into_iter()
            .for_each(|violation| checker.add_violation(violation));
    }
    check_absences(&fleet, &nodes, &absences, &checker);
    let upstreams: Vec<_> = fleet.members.iter().map(|it| Arc::clone(&it.upstream)).collect();
    let disturbances: Vec<_> = nodes.iter().map(|node| Arc::clone(&node.disturbances)).collect();
    let violation = poison::violation(&upstreams, &disturbances);
    violation.into_iter().for_each(|violation| checker.add_violation(violation));
    let requests = fleet.members.iter().map(|member| member.upstream.requests.lock().clone());
    let runs: Vec<ReceivedRequest> =
        requests.flatten().filter(|run| !run.has_id("probe")).collect();
    let (sent, succeeded) = checker.counts();
    Ok(Report {
        sent,
        succeeded,
        faults,
        conclusive: checker.conclusive(),
        absences: absences.len(),
        peak: peak.load(Ordering::Relaxed),
        violations: checker.check(&runs),
    })
}

/// Starts a caller whose request ends the upstreams that run it.
fn start_poison(
    fleet: &Fleet,
    seed: u64,
    checker: &Arc<Checker>,
    stop: &Arc<AtomicBool>,
) -> tokio::task::JoinHandle<()> {
    let mut rng = SmallRng::seed_from_u64(seed ^ POISON_SEED_MASK);
    let point = poison::draw_point(&mut rng);
    fleet.members.iter().for_each(|member| *member.upstream.poison.lock() = Some(point));
    let nodes = (0..fleet.members.len()).map(|node| fleet.callers(node)).collect();
    tokio::spawn(poison::send(nodes, rng, Arc::clone(checker), Arc::clone(stop)))
}

/// Starts the nodes; `links` holds the proxies between nodes, by number of the node behind them.
async fn start_nodes(
    options: &RunOptions,
    fleet: &Fleet,
    mut links: BTreeMap<usize, Vec<Proxy>>,
) -> Result<Vec<Node>> {
    let mut nodes = Vec::new();
    for (index, member) in fleet.members.iter().enumerate() {
        let mut settings = member.settings.clone();
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let (store_proxy, addr) = Proxy::start(any_port, settings.platform).await?;
        settings.platform = addr;
        let down = member.upstream.down.subscribe();
        let target = member.upstream.addr;
        let upstream_proxy = Proxy::start_beside(settings.upstream, target, down).await?;
        let process = Process::start(&options.program, &options.folder, &settings)
            .wrap_err_with(|| format!("could not start {}", options.program.display()))?;
        nodes.push(Node {
            id: Arc::new(AtomicU32::new(process.id())),
            killed: Arc::default(),
            process,
            store_proxy,
            upstream_proxy,
            peer_proxies: links.remove(&index).unwrap_or_default(),
            outage: Arc::default(),
            stopping: false,
            paused: false,
            generation: Arc::default(),
            refused: Arc::clone(&member.listener.refuse),
            muted: Arc::clone(&fleet.store.muted),
            disturbances: Arc::new(Disturbances::since(Instant::now(), options.bound())),
        });
    }
    Ok(nodes)
}

/// Returns the habit of caller `number` of node `node`: three of five close their connections, and
/// one in twenty sends in pieces.
fn habit(node: usize, number: usize) -> Habit {
    match number {
        0..3 => Habit::Closes,
        3 if node.is_multiple_of(4) => Habit::Pieces,
        _ => Habit::Keeps,
    }
}

fn start_callers(
    fleet: &Fleet,
    options: &RunOptions,
    checker: &Arc<Checker>,
    stop: &Arc<AtomicBool>,
) -> Vec<tokio::task::JoinHandle<()>> {
    let next = Arc::new(AtomicU64::new(0));
    let mut callers = Vec::new();
    for node in 0..fleet.members.len() {
        let first = if options.site { CALLERS_PER_NODE - SITE_CALLERS } else { 0 };
        for number in first..CALLERS_PER_NODE {
            let caller_seed =
                options.seed ^ CALLER_SEED_MASK ^ (node * CALLERS_PER_NODE + number) as u64;
            let caller = Caller {
                addr: fleet.callers(node),
                node,
                name: format!("c{node}.{number}"),
                checker: Arc::clone(checker),
                stop: Arc::clone(stop),
                next: Arc::clone(&next),
                habit: habit(node, number),
                sizes: SmallRng::seed_from_u64(caller_seed ^ SIZE_SEED_MASK),
                rng: SmallRng::seed_from_u64(caller_seed),
            };
            callers.push(tokio::spawn(caller.run()));
        }
    }
    callers
}

/// Starts a monitor of the routing version at each node.
fn start_monitors(
    fleet: &Fleet,
    nodes: &[Node],
    checker: &Arc<Checker>,
    newest: &Arc<AtomicU64>,
    stop: &Arc<AtomicBool>,
) -> Vec<tokio::task::JoinHandle<()>> {
    let start = |(index, node): (usize, &Node)| {
        let monitor = VersionMonitor {
            node: fleet.callers(index),
            newest: Arc::clone(newest),
            generation: Arc::clone(&node.generation),
            stop: Arc::clone(stop),
        };
        tokio::spawn(monitor.run(format!("node {index}"), Arc::clone(checker)))
    };
    nodes.iter().enumerate().map(start).collect()
}

/// Starts a monitor of the memory of each node, which may take `limit` bytes.
fn start_memory_monitors(
    nodes: &[Node],
    limit: u64,
    peak: &Arc<AtomicU64>,
    checker: &Arc<Checker>,
    stop: &Arc<AtomicBool>,
) -> Vec<tokio::task::JoinHandle<()>> {
    let start = |(index, node): (usize, &Node)| {
        let monitor = MemoryMonitor {
            id: Arc::clone(&node.id),
            limit,
            peak: Arc::clone(peak),
            killed: Arc::clone(&node.killed),
            stop: Arc::clone(stop),
        };
        tokio::spawn(monitor.run(format!("node {index}"), Arc::clone(checker)))
    };
    nodes.iter().enumerate().map(start).collect()
}

/// Starts a monitor of the routes in force at each node.
fn start_force_monitors(
    fleet: &Fleet,
    seed: u64,
    nodes: &[Node],
    history: &Arc<History>,
    checker: &Arc<Checker>,
    stop: &Arc<AtomicBool>,
) -> Vec<tokio::task::JoinHandle<()>> {
    let start = |(index, node): (usize, &Node)| {
        let monitor = ForceMonitor {
            name: format!("node {index}"),
            node: fleet.callers(index),
            history: Arc::clone(history),
            disturbances: Arc::clone(&node.disturbances),
            checker: Arc::clone(checker),
            stop: Arc::clone(stop),
            rng: SmallRng::seed_from_u64(seed ^ MONITOR_SEED_MASK ^ index as u64),
            reported: 0,
            served: Served::default(),
        };
        tokio::spawn(monitor.run())
    };
    nodes.iter().enumerate().map(start).collect()
}

/// Checks that no upstream got requests from calm nodes while it was away.
fn check_absences(fleet: &Fleet, nodes: &[Node], absences: &[Absence], checker: &Checker) {
    let disturbances: Vec<_> = nodes.iter().map(|node| Arc::clone(&node.disturbances)).collect();
    for absence in absences {
        let upstream = &fleet.members[absence.node].upstream;
        let runs = upstream.requests.lock();
        if let Some(late) = late_requests(absence, &runs, upstream.started, &disturbances) {
            checker.add_violation(late);
        }
    }
}

/// Waits until every node answers with success.
async fn wait_until_served(fleet: &Fleet, nodes: &mut [Node]) -> Result<()> {
    let started = Instant::now();
    for (index, node) in nodes.iter_mut().enumerate() {
        let text = caller::request("GET", "/get/1", "probe", 900, "");
        loop {
            let response = caller::try_send(fleet.callers(index), &text);
            let response = tokio::time::timeout(RECOVERY_LIMIT, response).await;
            if response.as_ref().is_ok_and(|response| response.status == 200) {
                break;
            }
            if started.elapsed() > RECOVERY_LIMIT {
                let ended = node.process.status();
                let log = last_lines(node.process.log());
                bail!(
                    "no status 200 from node {index} within {RECOVERY_LIMIT:?} without faults, \
                     last {response:?}, process ended {ended:?}, log:\n{log}"
                );
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
    Ok(())
}

/// Returns the last lines of the log at `path`, or nothing if it cannot be read.
fn last_lines(path: &Path) -> String {
    let text = std::fs::read_to_string(path).unwrap_or_default();
    let lines: Vec<&str> = text.lines().collect();
    lines[lines.len().saturating_sub(LAST_LINES)..].join("\n")
}

/// Checks the limits of a fleet without faults: a published route, after which the configuration
/// has more routes, and a larger limit on heads
/// are in force in time, also on open connections, and a draining upstream and an evacuated zone
/// receive no more requests.
async fn check_without_faults(
    fleet: &Fleet,
    checker: &Checker,
    history: &History,
    options: &RunOptions,
) {
    let bound = options.bound();
    tokio::time::sleep(SETTLING_TIME).await;
    let connections = limits::open(fleet).await;
    history.publish(fleet, LAST_VERSION, options.routes, limits::raise);
    fleet.publish_upstream(0, "draining");
    fleet.store.put("op/evacuate/b", &serde_json::json!({}));
    tokio::time::sleep(bound).await;
    limits::check(connections, checker).await;
    for index in 0..fleet.members.len() {
        if status_of(fleet.callers(index), &version_route(LAST_VERSION)).await == 404 {
            checker.add_violation(format!(
                "node {index} does not have a route {bound:?} after it was published"
            ));
        }
    }
    let before: Vec<usize> = fleet.members.iter().map(|member| member.upstream.runs()).collect();
    tokio::time::sleep(SETTLING_TIME).await;
    for (index, member) in fleet.members.iter().enumerate() {
        let excluded = index == 0 || member.settings.zone == "b";
        if excluded && member.upstream.runs() > before[index] {
            checker.add_violation(format!(
                "upstream {index} received requests although it drains or its zone is evacuated"
            ));
        }
    }
}
