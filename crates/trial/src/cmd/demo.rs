//! `bbv-trial demo` runs real nodes on loopback under load, with an embedded catalogue.

use std::io::Write;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bbv_core::catalogue::Catalogue;
use bbv_trial::cluster::Cluster;
use bbv_trial::load::{LoadGenerator, LoadMetrics, Target};
use bbv_trial::plan::Pool;
use eyre::{Result, eyre};
use getopts::{Matches, Options};
use serde::Serialize;

const CATALOGUE: &str = include_str!("../../../../examples/pararrayos.yaml");
const UPSTREAMS: u32 = 7;
const LOOKUPS_PER_S: f64 = 400.0;
const OPERATIONS_PER_S: f64 = 50.0;

#[derive(Serialize)]
struct Summary {
    seconds: u64,
    calls: u64,
    answered: u64,
    refused: u64,
    unknown: u64,
    p50_ms: f64,
    p99_ms: f64,
    p999_ms: f64,
    added_p50_ms: f64,
    added_p99_ms: f64,
    control_messages_per_node_s: f64,
    measure_messages: u64,
    double_runs: u64,
}

/// Runs the subcommand.
pub fn run(args: &[String]) -> ExitCode {
    let mut options = Options::new();
    options.optopt("", "seconds", "duration in seconds", "N");
    options.optopt("", "seed", "seed", "N");
    options.optflag("", "json", "print JSON");
    match super::PROGRAM.parse(&options, args) {
        Ok(matches) => super::PROGRAM.report(start(&matches)),
        Err(code) => code,
    }
}

fn start(matches: &Matches) -> Result<()> {
    let seconds = bbv_cli::number(matches, "seconds", 10)?.max(1);
    let seed = bbv_cli::number(matches, "seed", 1)?;
    let json = matches.opt_present("json");
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    let summary = runtime.block_on(demo(seconds, seed, json))?;
    if json {
        println!("{}", serde_json::to_string(&summary)?);
    } else {
        print(&summary)?;
    }
    Ok(())
}

fn target(cluster: &Cluster, path: &str, idempotent: bool) -> Target {
    let bases = cluster.nodes.iter().map(|node| format!("http://{}", node.caller_addr));
    Target { base_urls: bases.collect(), path: path.to_owned(), idempotent }
}

async fn demo(seconds: u64, seed: u64, json: bool) -> Result<Summary> {
    let catalogue = Catalogue::parse(CATALOGUE).map_err(|errors| eyre!("{errors}"))?;
    let service = "inspection-records".to_owned();
    let pools = [Pool { service, endpoints: UPSTREAMS, median: 5_000, sigma: 0.5 }];
    let cluster = Cluster::start(&catalogue, &pools, seed, true).await?;
    cluster.wait_ready().await?;
    let lookups = LoadGenerator::new(target(&cluster, "/site-history", true));
    let operations = LoadGenerator::new(target(&cluster, "/certificates", false));
    let duration = Duration::from_secs(seconds);
    let progress = tokio::spawn(progress(Arc::clone(&lookups.metrics), seconds, json));
    tokio::join!(
        lookups.run_open_loop(LOOKUPS_PER_S, duration, seed),
        operations.run_open_loop(OPERATIONS_PER_S, duration, seed + 1)
    );
    progress.abort();
    if !json {
        eprintln!();
    }
    let summary = summarize(&cluster, &lookups.metrics, &operations.metrics, seconds);
    cluster.stop();
    Ok(summary)
}

async fn progress(metrics: Arc<LoadMetrics>, seconds: u64, json: bool) {
    for second in 1..=seconds {
        tokio::time::sleep(Duration::from_secs(1)).await;
        if json {
            continue;
        }
        let (calls, p99) = (metrics.calls.load(Ordering::Relaxed), metrics.latency_ms(0.99));
        eprint!("\r{second}/{seconds} s  lookups {calls}  p99 {p99:.2} ms   ");
        let _ = std::io::stderr().flush();
    }
}

fn summarize(cluster: &Cluster, a: &LoadMetrics, b: &LoadMetrics, seconds: u64) -> Summary {
    let mut latency = a.latency.lock().clone();
    let mut added = a.added_latency.lock().clone();
    latency.add(&*b.latency.lock()).expect("histograms have the same bounds");
    added.add(&*b.added_latency.lock()).expect("histograms have the same bounds");
    let ms = |value: u64| value as f64 / 1_000.0;
    let all_metrics = cluster.nodes.iter().map(|node| node.node.metrics());
    let control_messages: u64 = all_metrics.clone().map(|metrics| metrics.control_sent.get()).sum();
    let sum = |read: fn(&LoadMetrics) -> u64| read(a) + read(b);
    Summary {
        seconds,
        calls: sum(|metrics| metrics.calls.load(Ordering::Relaxed)),
        answered: sum(|metrics| metrics.answered.load(Ordering::Relaxed)),
        refused: sum(|metrics| metrics.refused.load(Ordering::Relaxed)),
        unknown: sum(|metrics| metrics.unknown.load(Ordering::Relaxed)),
        p50_ms: ms(latency.value_at_quantile(0.5)),
        p99_ms: ms(latency.value_at_quantile(0.99)),
        p999_ms: ms(latency.value_at_quantile(0.999)),
        added_p50_ms: ms(added.value_at_quantile(0.5)),
        added_p99_ms: ms(added.value_at_quantile(0.99)),
        control_messages_per_node_s: control_messages as f64
            / cluster.nodes.len() as f64
            / seconds as f64,
        measure_messages: all_metrics.map(|metrics| metrics.measure_sent.get()).sum(),
        double_runs: cluster.observer.read(|metrics| metrics.double_runs()),
    }
}

fn print(summary: &Summary) -> Result<()> {
    let value = serde_json::to_value(summary)?;
    for (name, value) in value.as_object().into_iter().flatten() {
        println!("{name:<28} {value}");
    }
    Ok(())
}
