//! `bbv-trial capacity` measures memory and time at several sizes and fits a line through each
//! series.

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
        return super::PROGRAM.reject();
    }
    super::PROGRAM.report(measure_all())
}

/// Returns the resident memory of this process in bytes.
fn resident_bytes() -> Result<f64> {
    let text = std::fs::read_to_string("/proc/self/statm")?;
    let pages: f64 = text.split_whitespace().nth(1).unwrap_or("0").parse()?;
    Ok(pages * PAGE_BYTES)
}

/// Fits a least-squares line; returns its slope, intercept and largest residual.
fn fit(points: &[(f64, f64)]) -> (f64, f64, f64) {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let covariance: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
    let variance: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    let slope = covariance / variance;
    let intercept = mean_y - slope * mean_x;
    let residual = points.iter().map(|(x, y)| (y - slope * x - intercept).abs());
    (slope, intercept, residual.fold(0.0, f64::max))
}

fn print_fit(what: &str, unit: &str, points: &[(f64, f64)]) {
    let (slope, intercept, residual) = fit(points);
    let pairs: Vec<String> = points.iter().map(|(x, y)| format!("{x}:{y:.1}")).collect();
    println!(
        "what={what:?} unit={unit:?} slope={slope:.4} intercept={intercept:.1} \
         residual={residual:.1} points={}",
        pairs.join(",")
    );
}

/// Measures the memory of the values that `build` creates for each size.
fn measure_memory<T>(what: &str, build: impl Fn(usize) -> T) -> Result<()> {
    let mut points = Vec::new();
    for size in SIZES {
        let before = resident_bytes()?;
        let copies: Vec<T> = (0..COPIES).map(|_| build(size)).collect();
        points.push((size as f64, (resident_bytes()? - before) / COPIES as f64));
        // Never freed, since the next size would reuse the pages and appear smaller.
        std::mem::forget(copies);
    }
    print_fit(what, "bytes", &points);
    Ok(())
}

const COPIES: usize = 4;

fn mean_ns(rounds: usize, mut work: impl FnMut(usize)) -> f64 {
    let start = Instant::now();
    (0..rounds).for_each(&mut work);
    start.elapsed().as_nanos() as f64 / rounds as f64
}

/// Returns document `number`. Of nine documents, one is an entry, one a service and seven are VMs,
/// as the requirements assume.
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
    documents: Documents,
    catalogue: Catalogue,
    fleet: Fleet,
}

fn configuration(size: usize) -> Configuration {
    let docs: Vec<DocumentChange> = (0..size).map(document).collect();
    let (mut catalogue, mut fleet) = (Catalogue::default(), Fleet::default());
    let mut documents = Documents::new(4_096);
    documents.apply_snapshot(size as u64, &docs, check_document);
    docs.iter().for_each(|doc| catalogue.apply(doc));
    catalogue.vms.values().for_each(|listed| fleet.insert(listed.clone()));
    Configuration { documents, catalogue, fleet }
}

fn measure_change() {
    let mut points = Vec::new();
    for size in SIZES {
        let mut loaded = configuration(size);
        let mean = mean_ns(2_000, |round| {
            let mut change = document(round * 9 % size / 9 * 9);
            change.revision = (size + round + 1) as u64;
            for outcome in loaded.documents.apply(&[change], check_document) {
                if let bbv_core::documents::ChangeOutcome::InForce(change) = outcome {
                    loaded.catalogue.apply(&change);
                }
            }
        });
        black_box(&loaded.fleet);
        points.push((size as f64, mean / 1_000.0));
    }
    print_fit("time to take one change, by documents held", "us", &points);
}

fn id(serial: usize) -> AttemptId {
    AttemptId { node: NodeId { vm: Vm(1), incarnation: 7 }, serial: serial as u64 }
}

fn answer(serial: usize) -> Answer {
    Answer { attempt: id(serial), status: 200, headers: vec![], body: vec![7; 200].into() }
}

fn ticket_owner(size: usize) -> TicketOwner<Answer> {
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

fn attempt_log(size: usize) -> AttemptLog {
    let mut log = AttemptLog::new(NodeId::default(), size);
    for serial in 0..size {
        let row = Row {
            attempt: id(serial),
            gate: NodeId::default(),
            entry: "site-history".to_owned(),
            owner: "field-app".to_owned(),
            window: 1,
            mark: Mark::Answered,
        };
        log.record(Side::Ingress, row);
    }
    log
}

fn measure_pick() {
    let mut points = Vec::new();
    for size in TARGETS {
        let mut balancer = Balancer::new(Vm(9_999), 9_000, 9);
        let candidates: Vec<Candidate> =
            (0..size).map(|vm| Candidate { vm: Vm(vm as u32), rtt: 0 }).collect();
        balancer.set_candidates(&candidates);
        for target in candidates {
            let load = Load { running: 3, allowed: 9, service_us: 9_000, ..Load::default() };
            balancer.record_sample(0, target.vm, load);
        }
        let mut rng = SmallRng::seed_from_u64(1);
        let mean = mean_ns(ROUNDS, |_| {
            black_box(balancer.pick(5_000, &[], &mut rng));
        });
        points.push((size as f64, mean));
    }
    print_fit("time of one pick, by targets", "ns", &points);
}

fn measure_message() {
    let request = CallerRequest {
        entry: "site-history".to_owned(),
        method: "GET".to_owned(),
        path: "/site-history/7".to_owned(),
        ..CallerRequest::default()
    };
    let attempt = PeerRequest::Attempt(Attempt {
        id: id(1),
        expected_incarnation: None,
        ttl: 800_000,
        request,
    });
    let envelope =
        RequestEnvelope { from: NodeId::default(), revision: 9, stopping: false, request: attempt };
    let mean = mean_ns(ROUNDS, |_| {
        let frame = encode_request(&envelope).expect("the message can be encoded");
        black_box(decode_request(frame).expect("the message can be decoded"));
    });
    println!("what=\"time to encode and decode one attempt\" unit=\"ns\" value={mean:.0}");
}

/// Returns the processor time of this process in seconds.
fn cpu_seconds() -> Result<f64> {
    let text = std::fs::read_to_string("/proc/self/stat")?;
    let fields: Vec<f64> = text.split_whitespace().map(|f| f.parse().unwrap_or(0.0)).collect();
    Ok((fields[13] + fields[14]) / CLOCK_TICKS_PER_S)
}

/// Returns the bytes received on the loopback interface since the machine started.
fn loopback_bytes() -> Result<f64> {
    let text = std::fs::read_to_string("/proc/net/dev")?;
    let line = text.lines().find_map(|line| line.trim().strip_prefix("lo:")).unwrap_or("0");
    Ok(line.split_whitespace().next().unwrap_or("0").parse()?)
}

const CLOCK_TICKS_PER_S: f64 = 100.0;
const CONNECTIONS: [usize; 4] = [100, 200, 400, 800];

/// Measures the processor time and bytes of new connections that carry one message each. Both
/// ends run in this process.
async fn measure_connections() -> Result<()> {
    let catalogue = Catalogue::parse(CATALOGUE).map_err(|errors| eyre::eyre!("{errors}"))?;
    let service = "inspection-records".to_owned();
    let pools = [Pool { service, endpoints: 1, median: 1_000, sigma: 0.0 }];
    let cluster = Cluster::start(&catalogue, &pools, 1, true).await?;
    cluster.wait_ready().await?;
    let identity = cluster.authority.issue()?;
    let endpoint = quic::bind(SocketAddr::from(([127, 0, 0, 1], 0)), &identity)?;
    let (mut points, mut bytes) = (Vec::new(), Vec::new());
    for count in CONNECTIONS {
        let (cpu_before, bytes_before) = (cpu_seconds()?, loopback_bytes()?);
        for _ in 0..count {
            let link = quic::port(endpoint.clone());
            let from = NodeId::default();
            let probe =
                RequestEnvelope { from, revision: 0, stopping: false, request: PeerRequest::Probe };
            link(cluster.nodes[0].peer_addr, probe).await?;
        }
        points.push((count as f64, (cpu_seconds()? - cpu_before) * 1e6));
        bytes.push((count as f64, loopback_bytes()? - bytes_before));
    }
    print_fit("processor time of both ends, by new connections", "us", &points);
    print_fit("bytes in both directions, by new connections", "bytes", &bytes);
    cluster.stop();
    Ok(())
}

const CATALOGUE: &str = include_str!("../../../../examples/pararrayos.yaml");

fn measure_all() -> Result<()> {
    measure_memory("configuration, by documents", configuration)?;
    measure_memory("operation records with 200-byte answers", ticket_owner)?;
    measure_memory("attempt records with 200-byte answers", attempts)?;
    measure_memory("tally rows", attempt_log)?;
    measure_change();
    measure_pick();
    measure_message();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(measure_connections())
}
