//! `bbv-trial capacity`: slopes of memory and time, over four sizes each.

use std::hint::black_box;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Instant;

use bbv_core::attempt::Attempts;
use bbv_core::balancer::{Balancer, Candidate};
use bbv_core::catalogue::{Catalogue, check_document};
use bbv_core::documents::{DocumentChange, Documents};
use bbv_core::fleet::Fleet;
use bbv_core::id::{AttemptId, NodeId, Vm};
use bbv_core::load::Load;
use bbv_core::operation::{SentAttempt, TicketOwner};
use bbv_core::reconciliation::{AttemptLog, Mark, Row, Side};
use bbv_core::ticket::Key;
use bbv_node::quic;
use bbv_trial::cluster::Cluster;
use bbv_trial::plan::Pool;
use bbv_wire::{
    Answer, Attempt, CallerRequest, PeerRequest, RequestEnvelope, decode_request, encode_request,
};
use eyre::Result;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const SIZES: [usize; 4] = [5_000, 10_000, 20_000, 40_000];
const TARGETS: [usize; 4] = [7, 70, 350, 700];
const ROUNDS: usize = 200_000;
const PAGE_BYTES: f64 = 4_096.0;

/// Runs the subcommand.
pub fn run(args: &[String]) -> ExitCode {
    if !args.is_empty() {
        return super::usage();
    }
    super::report(measure())
}

/// Resident memory of this process in bytes.
fn resident() -> Result<f64> {
    let text = std::fs::read_to_string("/proc/self/statm")?;
    let pages: f64 = text.split_whitespace().nth(1).unwrap_or("0").parse()?;
    Ok(pages * PAGE_BYTES)
}

/// Least-squares line through points; returns slope, intercept and largest residual.
fn fit(points: &[(f64, f64)]) -> (f64, f64, f64) {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let over: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
    let under: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    let slope = over / under;
    let intercept = mean_y - slope * mean_x;
    let residual = points.iter().map(|(x, y)| (y - slope * x - intercept).abs());
    (slope, intercept, residual.fold(0.0, f64::max))
}

fn print(what: &str, unit: &str, points: &[(f64, f64)]) {
    let (slope, intercept, residual) = fit(points);
    let shown: Vec<String> = points.iter().map(|(x, y)| format!("{x}:{y:.1}")).collect();
    println!(
        "what={what:?} unit={unit:?} slope={slope:.4} intercept={intercept:.1} \
         residual={residual:.1} points={}",
        shown.join(",")
    );
}

/// Memory of what `build` makes of each size.
fn memory<T>(what: &str, build: impl Fn(usize) -> T) -> Result<()> {
    let mut points = Vec::new();
    for size in SIZES {
        let before = resident()?;
        let held: Vec<T> = (0..COPIES).map(|_| build(size)).collect();
        points.push((size as f64, (resident()? - before) / COPIES as f64));
        // Kept, since freed pages would be used again and hide the next size.
        std::mem::forget(held);
    }
    print(what, "bytes", &points);
    Ok(())
}

const COPIES: usize = 4;

fn time(rounds: usize, mut act: impl FnMut(usize)) -> f64 {
    let start = Instant::now();
    (0..rounds).for_each(&mut act);
    start.elapsed().as_nanos() as f64 / rounds as f64
}

/// Documents in the proportion of the letter: one of 9 is an entry or service.
fn document(number: usize) -> DocumentChange {
    let revision = number as u64 + 1;
    let (key, value) = match number % 9 {
        0 => (
            format!("entry/e{number}"),
            format!(
                "{{\"name\":\"e{number}\",\"owner\":\"team-{}\",\"class\":\"interactive\",\
                 \"service\":\"s{number}\",\"idempotent\":true,\"deadline_ms\":800,\
                 \"share_pct\":50,\"body_limit_kb\":64}}",
                number % 300
            ),
        ),
        1 => (
            format!("service/s{number}"),
            format!(
                "{{\"name\":\"s{number}\",\"slots\":9,\"connections\":200,\"cold_slots\":2,\
                 \"warmup_ms\":4000,\"usual_ms\":9}}"
            ),
        ),
        _ => (
            format!("vm/{number}"),
            format!(
                "{{\"vm\":{number},\"addr\":\"10.{}.{}.1:9000\",\"zone\":\"region-1-a\",\
                 \"service\":\"s{}\",\"leaving\":false}}",
                number / 250 % 250,
                number % 250,
                number / 9
            ),
        ),
    };
    DocumentChange { revision, key, value: Some(value), published_ms: 1 }
}

struct Configuration {
    spread: Documents,
    catalogue: Catalogue,
    fleet: Fleet,
}

fn configuration(size: usize) -> Configuration {
    let docs: Vec<DocumentChange> = (0..size).map(document).collect();
    let (mut catalogue, mut fleet) = (Catalogue::default(), Fleet::default());
    let mut spread = Documents::new(4_096);
    spread.apply_snapshot(size as u64, &docs, check_document);
    docs.iter().for_each(|doc| catalogue.apply(doc));
    catalogue.vms.values().for_each(|listed| fleet.insert(listed.clone()));
    Configuration { spread, catalogue, fleet }
}

fn change_cost() {
    let mut points = Vec::new();
    for size in SIZES {
        let mut held = configuration(size);
        let cost = time(2_000, |round| {
            let mut change = document(round * 9 % size / 9 * 9);
            change.revision = (size + round + 1) as u64;
            for taken in held.spread.apply(&[change], check_document) {
                if let bbv_core::documents::ChangeOutcome::InForce(change) = taken {
                    held.catalogue.apply(&change);
                }
            }
        });
        black_box(&held.fleet);
        points.push((size as f64, cost / 1_000.0));
    }
    print("time to take one change, by documents held", "us", &points);
}

fn id(serial: usize) -> AttemptId {
    AttemptId { node: NodeId { vm: Vm(1), incarnation: 7 }, serial: serial as u64 }
}

fn answer(serial: usize) -> Answer {
    Answer { attempt: id(serial), status: 200, headers: vec![], body: vec![7; 200].into() }
}

fn operations(size: usize) -> TicketOwner<Answer> {
    let mut owner = TicketOwner::new(NodeId::default(), Key([1, 2]), size);
    for serial in 0..size {
        let ticket = owner.mint(0).expect("the table has room");
        owner.begin(0, &ticket, 1);
        owner.attempt_sent(ticket.serial, SentAttempt { id: id(serial), gate: NodeId::default() });
        owner.attempt_answered(ticket.serial, answer(serial));
    }
    owner
}

fn attempts(size: usize) -> Attempts<Answer> {
    let mut attempts = Attempts::new(size);
    for serial in 0..size {
        attempts.register(0, id(serial));
        attempts.mark_answered(id(serial), answer(serial));
    }
    attempts
}

fn tally(size: usize) -> AttemptLog {
    let mut tally = AttemptLog::new(NodeId::default(), size);
    for serial in 0..size {
        let row = Row {
            attempt: id(serial),
            gate: NodeId::default(),
            entry: "site-history".to_owned(),
            owner: "field-app".to_owned(),
            window: 1,
            mark: Mark::Answered,
        };
        tally.record(Side::Ingress, row);
    }
    tally
}

fn pick_cost() {
    let mut points = Vec::new();
    for size in TARGETS {
        let mut steer = Balancer::new(Vm(9_999), 9_000, 9);
        let all: Vec<Candidate> =
            (0..size).map(|vm| Candidate { vm: Vm(vm as u32), rtt: 0 }).collect();
        steer.set_candidates(&all);
        for target in all {
            let load = Load { running: 3, allowed: 9, service_us: 9_000, ..Load::default() };
            steer.record_sample(0, target.vm, load);
        }
        let mut rng = SmallRng::seed_from_u64(1);
        let cost = time(ROUNDS, |_| {
            black_box(steer.pick(5_000, &[], &mut rng));
        });
        points.push((size as f64, cost));
    }
    print("time of one pick, by targets", "ns", &points);
}

fn message_cost() {
    let request = CallerRequest {
        entry: "site-history".to_owned(),
        method: "GET".to_owned(),
        path: "/site-history/7".to_owned(),
        ..CallerRequest::default()
    };
    let ask = PeerRequest::Attempt(Attempt {
        id: id(1),
        expected_incarnation: None,
        ttl: 800_000,
        request,
    });
    let envelope =
        RequestEnvelope { from: NodeId::default(), revision: 9, stopping: false, request: ask };
    let cost = time(ROUNDS, |_| {
        let frame = encode_request(&envelope).expect("the message is encoded");
        black_box(decode_request(frame).expect("the message is decoded"));
    });
    println!("what=\"time to encode and decode one attempt\" unit=\"ns\" value={cost:.0}");
}

/// Processor time of this process in seconds.
fn processor() -> Result<f64> {
    let text = std::fs::read_to_string("/proc/self/stat")?;
    let fields: Vec<f64> = text.split_whitespace().map(|f| f.parse().unwrap_or(0.0)).collect();
    Ok((fields[13] + fields[14]) / TICKS_PER_S)
}

/// Bytes sent over the loopback interface since the machine started.
fn loopback() -> Result<f64> {
    let text = std::fs::read_to_string("/proc/net/dev")?;
    let line = text.lines().find_map(|line| line.trim().strip_prefix("lo:")).unwrap_or("0");
    Ok(line.split_whitespace().next().unwrap_or("0").parse()?)
}

const TICKS_PER_S: f64 = 100.0;
const CONNECTIONS: [usize; 4] = [100, 200, 400, 800];

/// Processor time of both ends of new connections that carry one message each.
async fn connection_cost() -> Result<()> {
    let catalogue = Catalogue::parse(CATALOGUE).map_err(|faults| eyre::eyre!("{faults}"))?;
    let service = "inspection-records".to_owned();
    let pools = [Pool { service, endpoints: 1, median: 1_000, sigma: 0.0 }];
    let cluster = Cluster::start(&catalogue, &pools, 1, true).await?;
    cluster.ready().await?;
    let identity = cluster.authority.issue()?;
    let endpoint = quic::bind(SocketAddr::from(([127, 0, 0, 1], 0)), &identity)?;
    let (mut points, mut bytes) = (Vec::new(), Vec::new());
    for count in CONNECTIONS {
        let (before, sent) = (processor()?, loopback()?);
        for _ in 0..count {
            let link = quic::port(endpoint.clone());
            let from = NodeId::default();
            let probe =
                RequestEnvelope { from, revision: 0, stopping: false, request: PeerRequest::Probe };
            link(cluster.members[0].peer, probe).await?;
        }
        points.push((count as f64, (processor()? - before) * 1e6));
        bytes.push((count as f64, loopback()? - sent));
    }
    print("processor time of both ends, by new connections", "us", &points);
    print("bytes in both directions, by new connections", "bytes", &bytes);
    cluster.stop();
    Ok(())
}

const CATALOGUE: &str = include_str!("../../../../examples/pararrayos.yaml");

fn measure() -> Result<()> {
    memory("configuration, by documents", configuration)?;
    memory("operation records with 200-byte answers", operations)?;
    memory("attempt records with 200-byte answers", attempts)?;
    memory("tally rows", tally)?;
    change_cost();
    pick_cost();
    message_cost();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(connection_cost())
}
