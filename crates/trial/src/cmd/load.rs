//! `bbv-trial load` sends calls through a node and, for comparison, directly to its upstream.

use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bbv_trial::load::{LoadGenerator, Target};
use eyre::{Result, eyre};
use getopts::{Matches, Options};
use serde::Serialize;

#[derive(Serialize)]
struct LoadSummary {
    what: &'static str,
    calls: u64,
    answered: u64,
    refused: u64,
    unknown: u64,
    calls_per_s: f64,
    p50_ms: f64,
    p99_ms: f64,
    p999_ms: f64,
}

/// Runs the subcommand.
pub fn run(args: &[String]) -> ExitCode {
    let mut options = Options::new();
    options.optopt("", "url", "base URL of a node", "URL");
    options.optopt("", "direct", "base URL of the upstream", "URL");
    options.optopt("", "path", "path of the calls", "PATH");
    options.optopt("", "rate", "calls per second", "N");
    options.optopt("", "open", "calls kept in flight, instead of a rate", "N");
    options.optopt("", "seconds", "duration in seconds", "N");
    options.optflag("", "once", "send calls that may run at most once");
    match super::PROGRAM.parse(&options, args) {
        Ok(matches) => super::PROGRAM.report(start(&matches)),
        Err(code) => code,
    }
}

fn start(matches: &Matches) -> Result<()> {
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    runtime.block_on(measure(matches))
}

async fn measure(matches: &Matches) -> Result<()> {
    let url = matches.opt_str("url").ok_or_else(|| eyre!("could not start: --url is missing"))?;
    let path = matches.opt_str("path").unwrap_or_else(|| "/site-history".to_owned());
    let seconds = bbv_cli::number(matches, "seconds", 10)?;
    let rate = bbv_cli::number(matches, "rate", 200)? as f64;
    let open = bbv_cli::number(matches, "open", 0)? as usize;
    let idempotent = !matches.opt_present("once");
    let new_generator = |base: String, idempotent| {
        LoadGenerator::new(Target { base_urls: vec![base], path: path.clone(), idempotent })
    };
    let through = new_generator(url, idempotent);
    let direct = matches.opt_str("direct").map(|base| new_generator(base, true));
    let duration = Duration::from_secs(seconds);
    if open > 0 {
        through.run_closed_loop(open, duration).await;
    } else if let Some(direct) = &direct {
        tokio::join!(
            through.run_open_loop(rate, duration, 1),
            direct.run_open_loop(rate, duration, 2)
        );
    } else {
        through.run_open_loop(rate, duration, 1).await;
    }
    print("through", &through, seconds)?;
    direct.iter().try_for_each(|direct| print("direct", direct, seconds))
}

fn print(what: &'static str, generator: &Arc<LoadGenerator>, seconds: u64) -> Result<()> {
    let metrics = &generator.metrics;
    let calls = metrics.calls.load(Ordering::Relaxed);
    let summary = LoadSummary {
        what,
        calls,
        answered: metrics.answered.load(Ordering::Relaxed),
        refused: metrics.refused.load(Ordering::Relaxed),
        unknown: metrics.unknown.load(Ordering::Relaxed),
        calls_per_s: calls as f64 / seconds.max(1) as f64,
        p50_ms: metrics.latency_ms(0.5),
        p99_ms: metrics.latency_ms(0.99),
        p999_ms: metrics.latency_ms(0.999),
    };
    println!("{}", serde_json::to_string(&summary)?);
    Ok(())
}
