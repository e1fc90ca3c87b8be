//! One run: a fleet, callers, faults drawn from a seed, and the account at the end.

use std::fmt;
use std::fs::File;
use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use bbv_stand::client;
use bbv_stand::fleet::Fleet;
use bbv_stand::process::Process;
use bbv_stand::upstream::ReceivedRequest;
use eyre::{Result, WrapErr, bail};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::callers;
use crate::cold;
use crate::faults::{self, Fault, Node};
use crate::ledger::Ledger;
use crate::proxy::Proxy;
use crate::versions::{Watch, marker};

/// What to run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Seed of the faults.
    pub seed: u64,
    /// Nodes.
    pub nodes: usize,
    /// Time with faults.
    pub length: Duration,
    /// Program of a node.
    pub program: PathBuf,
    /// Where settings and logs go.
    pub folder: PathBuf,
}

/// Result of a run.
#[derive(Clone, Debug)]
pub struct Report {
    /// Requests sent.
    pub sent: usize,
    /// Requests that succeeded.
    pub good: usize,
    /// Faults injected.
    pub faults: usize,
    /// Promises broken.
    pub broken: Vec<String>,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "sent={} good={} faults={} broken={}",
            self.sent,
            self.good,
            self.faults,
            self.broken.len()
        )?;
        self.broken.iter().try_for_each(|what| write!(f, "\n  {what}"))
    }
}

/// Port behind the proxy that stands at the upstream's address.
const BEHIND: u16 = 21_006;
const CALLERS_PER_NODE: usize = 3;
/// Share of the faults that come with an upstream that turns cold.
const COLD_SHARE: f64 = 0.12;
const COLD_STREAM: u64 = 0xc01d;
/// Time in which a fleet without faults serves and knows everything again.
const RECOVERY: Duration = Duration::from_secs(15);
/// Time that a published change takes at most to be in force in calm.
const IN_FORCE: Duration = Duration::from_secs(2);
/// Time after a disturbance after which the bounds of calm hold.
const CALM: Duration = Duration::from_secs(3);
/// Part of a second that a measurement from outside may take itself.
const SLACK: Duration = Duration::from_millis(500);

/// Plays one run.
pub async fn play(plan: &Plan) -> Result<Report> {
    let mut rng = SmallRng::seed_from_u64(plan.seed);
    let zones: Vec<&str> = (0..plan.nodes).map(|at| if at % 2 == 0 { "a" } else { "b" }).collect();
    let fleet = Fleet::with_upstream_port(&zones, BEHIND).await;
    fleet.publish();
    let mut nodes = start(plan, &fleet).await?;
    until_served(&fleet).await?;
    let ledger = Arc::new(Ledger::default());
    let stop = Arc::new(AtomicBool::new(false));
    let newest = Arc::new(AtomicU64::new(1));
    let mut callers = start_callers(&fleet, &ledger, &stop);
    callers.extend(start_watches(&fleet, &nodes, &ledger, &newest, &stop));
    let faults = disturb(plan, &fleet, &mut nodes, &newest, &mut rng).await?;
    faults::heal(&fleet, &mut nodes).await?;
    until_served(&fleet).await?;
    check_calm(&fleet, &ledger).await;
    stop.store(true, Ordering::Relaxed);
    for caller in callers {
        caller.await.wrap_err("a caller ended early")?;
    }
    for member in &fleet.members {
        cold::overloads(&member.upstream).into_iter().for_each(|what| ledger.breach(what));
    }
    let seen = fleet.members.iter().map(|member| member.upstream.requests.lock().clone());
    let runs: Vec<ReceivedRequest> = seen.flatten().filter(|run| !run.has_id("probe")).collect();
    let (sent, good) = ledger.counts();
    Ok(Report { sent, good, faults, broken: ledger.settle(&runs) })
}

async fn start(plan: &Plan, fleet: &Fleet) -> Result<Vec<Node>> {
    let mut nodes = Vec::new();
    for member in &fleet.members {
        let mut settings = member.settings.clone();
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let (store, addr) = Proxy::start(any, settings.platform).await?;
        settings.platform = addr;
        let (upstream, _) = Proxy::start(settings.upstream, member.upstream.addr).await?;
        let process = Process::start(&plan.program, &plan.folder, &settings)
            .wrap_err_with(|| format!("could not start {}", plan.program.display()))?;
        let starts = Arc::default();
        nodes.push(Node { process, store, upstream, stopping: false, paused: false, starts });
    }
    Ok(nodes)
}

fn start_callers(
    fleet: &Fleet,
    ledger: &Arc<Ledger>,
    stop: &Arc<AtomicBool>,
) -> Vec<tokio::task::JoinHandle<()>> {
    let next = Arc::new(AtomicU64::new(0));
    let mut callers = Vec::new();
    for at in 0..fleet.members.len() {
        for number in 0..CALLERS_PER_NODE {
            let name = format!("c{at}.{number}");
            let (ledger, stop, next) = (Arc::clone(ledger), Arc::clone(stop), Arc::clone(&next));
            callers.push(tokio::spawn(callers::call(fleet.callers(at), name, ledger, stop, next)));
        }
    }
    callers
}

/// Watches the version of the routing at each node.
fn start_watches(
    fleet: &Fleet,
    nodes: &[Node],
    ledger: &Arc<Ledger>,
    newest: &Arc<AtomicU64>,
    stop: &Arc<AtomicBool>,
) -> Vec<tokio::task::JoinHandle<()>> {
    let watch = |(at, node): (usize, &Node)| {
        let watch = Watch {
            node: fleet.callers(at),
            newest: Arc::clone(newest),
            starts: Arc::clone(&node.starts),
            stop: Arc::clone(stop),
        };
        tokio::spawn(watch.run(format!("node {at}"), Arc::clone(ledger)))
    };
    nodes.iter().enumerate().map(watch).collect()
}

/// Injects faults until the plan's time is over; returns their number.
async fn disturb(
    plan: &Plan,
    fleet: &Fleet,
    nodes: &mut [Node],
    newest: &AtomicU64,
    rng: &mut SmallRng,
) -> Result<usize> {
    let begun = Instant::now();
    // A stream of its own, so that the other faults of a seed stay what they were.
    let mut colds = SmallRng::seed_from_u64(plan.seed ^ COLD_STREAM);
    let mut trace = File::create(plan.folder.join("faults.log"))?;
    let mut faults = 0;
    let mut version = 1;
    while begun.elapsed() < plan.length {
        tokio::time::sleep(Duration::from_millis(rng.random_range(20..400))).await;
        faults::revive(nodes)?;
        let at = rng.random_range(0..nodes.len());
        let mut drawn = vec![(at, Fault::draw(rng))];
        if colds.random_bool(COLD_SHARE) {
            drawn.push((colds.random_range(0..nodes.len()), Fault::Cold));
        }
        for (at, fault) in drawn {
            writeln!(trace, "at_ms={} node={at} fault={fault:?}", begun.elapsed().as_millis())?;
            fault.inject(fleet, at, &mut nodes[at])?;
            faults += 1;
        }
        if rng.random_bool(0.1) {
            version += rng.random_range(1..4);
            fleet.store.put("op/config", &fleet.config_with(version, &marker(version)));
            newest.store(version, Ordering::SeqCst);
        }
    }
    Ok(faults)
}

/// Waits until every node answers with success.
async fn until_served(fleet: &Fleet) -> Result<()> {
    let begun = Instant::now();
    for at in 0..fleet.members.len() {
        let text = client::request("GET", "/get/1", "probe", 900, "");
        while client::try_send(fleet.callers(at), &text).await.status != 200 {
            if begun.elapsed() > RECOVERY {
                bail!("node {at} did not serve within {RECOVERY:?} without faults");
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
    Ok(())
}

/// Checks the bounds that hold in calm: routing in force, a leaving upstream, a zone out.
async fn check_calm(fleet: &Fleet, ledger: &Ledger) {
    tokio::time::sleep(CALM).await;
    fleet.store.put("op/config", &fleet.config_with(1_000, "fresh"));
    fleet.publish_upstream(0, "draining");
    fleet.store.put("op/evacuate/b", &serde_json::json!({}));
    tokio::time::sleep(IN_FORCE + SLACK).await;
    for at in 0..fleet.members.len() {
        let text = client::request("GET", "/fresh/1", "probe", 900, "");
        let status = client::try_send(fleet.callers(at), &text).await.status;
        if status == 404 {
            ledger.breach(format!(
                "node {at} does not know a route {IN_FORCE:?} after it was published"
            ));
        }
    }
    let before: Vec<usize> = fleet.members.iter().map(|member| member.upstream.runs()).collect();
    tokio::time::sleep(CALM).await;
    for (at, member) in fleet.members.iter().enumerate() {
        let out = at == 0 || member.settings.zone == "b";
        if out && member.upstream.runs() > before[at] {
            ledger.breach(format!("upstream {at} gets work though it leaves or is out of service"));
        }
    }
}
