//! Runs a fleet with callers under faults drawn from a seed, and reports which guarantees were
//! violated.

use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
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
use crate::checker::Checker;
use crate::cold;
use crate::faults::{self, Node};
use crate::injector::Injector;
use crate::limits;
use crate::versions::VersionMonitor;

/// Options of a run.
#[derive(Clone, Debug)]
pub struct RunOptions {
    /// Seed of the faults.
    pub seed: u64,
    /// Number of nodes.
    pub nodes: usize,
    /// Time for which faults are injected.
    pub duration: Duration,
    /// Path of the `bbv-mesh` program.
    pub program: PathBuf,
    /// Folder for settings and logs.
    pub folder: PathBuf,
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
    /// Guarantees violated.
    pub violations: Vec<String>,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "sent={} good={} faults={} broken={}",
            self.sent,
            self.succeeded,
            self.faults,
            self.violations.len()
        )?;
        self.violations.iter().try_for_each(|violation| write!(f, "\n  {violation}"))
    }
}

/// Port of the upstreams; a proxy listens on the published port.
const UPSTREAM_PORT: u16 = 21_006;
const CALLERS_PER_NODE: usize = 5;
/// XORed with the seed of a run and the number of a caller to seed the caller.
const CALLER_SEED_MASK: u64 = 0xca11_0000;
/// Time within which a fleet without faults serves requests and has complete state again.
const RECOVERY_LIMIT: Duration = Duration::from_secs(15);
/// Time within which a published change is in force when there are no faults.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(2);
/// Time after the last fault or change from which the limits of a fleet without faults hold.
const SETTLING_TIME: Duration = Duration::from_secs(3);
/// Tolerance for the time that a measurement from outside takes.
const TOLERANCE: Duration = Duration::from_millis(500);

/// Runs a fleet under faults and checks the guarantees.
pub async fn run(options: &RunOptions) -> Result<Report> {
    let zones: Vec<&str> =
        (0..options.nodes).map(|index| if index % 2 == 0 { "a" } else { "b" }).collect();
    let fleet = Fleet::with_upstream_port(&zones, UPSTREAM_PORT).await;
    fleet.publish();
    let mut nodes = start_nodes(options, &fleet).await?;
    wait_until_served(&fleet).await?;
    let checker = Arc::new(Checker::default());
    let stop = Arc::new(AtomicBool::new(false));
    let newest = Arc::new(AtomicU64::new(1));
    let mut tasks = start_callers(&fleet, options.seed, &checker, &stop);
    tasks.extend(start_monitors(&fleet, &nodes, &checker, &newest, &stop));
    let faults = Injector::new(options, &fleet, &mut nodes, &newest)?.run(options).await?;
    faults::clear(&fleet, &mut nodes).await?;
    wait_until_served(&fleet).await?;
    check_without_faults(&fleet, &checker).await;
    stop.store(true, Ordering::Relaxed);
    for task in tasks {
        task.await.wrap_err("could not join a caller or version monitor")?;
    }
    for member in &fleet.members {
        cold::overloads(&member.upstream)
            .into_iter()
            .for_each(|violation| checker.add_violation(violation));
    }
    let requests = fleet.members.iter().map(|member| member.upstream.requests.lock().clone());
    let runs: Vec<ReceivedRequest> =
        requests.flatten().filter(|run| !run.has_id("probe")).collect();
    let (sent, succeeded) = checker.counts();
    Ok(Report { sent, succeeded, faults, violations: checker.check(&runs) })
}

async fn start_nodes(options: &RunOptions, fleet: &Fleet) -> Result<Vec<Node>> {
    let mut nodes = Vec::new();
    for member in &fleet.members {
        let mut settings = member.settings.clone();
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let (store_proxy, addr) = Proxy::start(any_port, settings.platform).await?;
        settings.platform = addr;
        let (upstream_proxy, _) = Proxy::start(settings.upstream, member.upstream.addr).await?;
        let process = Process::start(&options.program, &options.folder, &settings)
            .wrap_err_with(|| format!("could not start {}", options.program.display()))?;
        let generation = Arc::default();
        nodes.push(Node {
            process,
            store_proxy,
            upstream_proxy,
            stopping: false,
            paused: false,
            generation,
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
    seed: u64,
    checker: &Arc<Checker>,
    stop: &Arc<AtomicBool>,
) -> Vec<tokio::task::JoinHandle<()>> {
    let next = Arc::new(AtomicU64::new(0));
    let mut callers = Vec::new();
    for node in 0..fleet.members.len() {
        for number in 0..CALLERS_PER_NODE {
            let caller_seed = seed ^ CALLER_SEED_MASK ^ (node * CALLERS_PER_NODE + number) as u64;
            let caller = Caller {
                addr: fleet.callers(node),
                node,
                name: format!("c{node}.{number}"),
                checker: Arc::clone(checker),
                stop: Arc::clone(stop),
                next: Arc::clone(&next),
                habit: habit(node, number),
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

/// Waits until every node answers with success.
async fn wait_until_served(fleet: &Fleet) -> Result<()> {
    let started = Instant::now();
    for index in 0..fleet.members.len() {
        let text = caller::request("GET", "/get/1", "probe", 900, "");
        while caller::try_send(fleet.callers(index), &text).await.status != 200 {
            if started.elapsed() > RECOVERY_LIMIT {
                bail!("no status 200 from node {index} within {RECOVERY_LIMIT:?} without faults");
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
    Ok(())
}

/// Checks the limits of a fleet without faults: a published route and a larger limit on heads
/// are in force in time, also on open connections, and a draining upstream and an evacuated zone
/// receive no more requests.
async fn check_without_faults(fleet: &Fleet, checker: &Checker) {
    tokio::time::sleep(SETTLING_TIME).await;
    let connections = limits::open(fleet).await;
    let mut config = fleet.config_with(1_000, "fresh");
    limits::raise(&mut config);
    fleet.store.put("op/config", &config);
    fleet.publish_upstream(0, "draining");
    fleet.store.put("op/evacuate/b", &serde_json::json!({}));
    tokio::time::sleep(IN_FORCE_LIMIT + TOLERANCE).await;
    limits::check(connections, checker).await;
    for index in 0..fleet.members.len() {
        let text = caller::request("GET", "/fresh/1", "probe", 900, "");
        let status = caller::try_send(fleet.callers(index), &text).await.status;
        if status == 404 {
            checker.add_violation(format!(
                "node {index} does not have a route {IN_FORCE_LIMIT:?} after it was published"
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
