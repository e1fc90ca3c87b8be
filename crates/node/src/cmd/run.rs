//! `bbv-node run`: runs a node until SIGTERM or SIGINT.

use std::process::ExitCode;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use bbv_node::ports::Ports;
use bbv_node::quic::{self, Identity};
use bbv_node::settings::Settings;
use bbv_node::stop::STOP_TIMEOUT;
use bbv_node::timer::Timer;
use bbv_node::{Node, Options, platform, server, upstream};
use eyre::{Result, WrapErr};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::signal::unix::{SignalKind, signal};

/// Time from the start of a stop to the close of callers' connections.
const CONNECTION_TIMEOUT: Duration = Duration::from_micros(STOP_TIMEOUT);

/// Runs the subcommand.
pub fn run(args: &[String]) -> ExitCode {
    let [path] = args else { return super::PROGRAM.reject() };
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info"))
        .format(|out, record| {
            use std::io::Write;
            writeln!(out, "level={} {}", record.level(), record.args())
        })
        .init();
    super::PROGRAM.report(super::check::load(path).and_then(start))
}

fn start(settings: Settings) -> Result<()> {
    // A single thread: each call passes through several tasks, and waking another thread costs
    // more than the work itself.
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .wrap_err("could not start the runtime")?;
    runtime.block_on(run_node(settings))
}

fn read_file(path: &str) -> Result<String> {
    std::fs::read_to_string(path).wrap_err_with(|| format!("could not read {path}"))
}

fn node_options(settings: &Settings) -> Options {
    let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Options {
        vm: settings.vm,
        zone: settings.zone.clone(),
        service: settings.service.clone(),
        seed: SmallRng::from_os_rng().random(),
        tickets: settings.tickets,
        peers: settings.peers.clone(),
        wall_ms: Some(wall.as_millis() as u64),
        baseline: None,
    }
}

async fn run_node(settings: Settings) -> Result<()> {
    let tls = &settings.tls;
    let identity = Identity {
        ca: read_file(&tls.ca)?,
        cert: read_file(&tls.cert)?,
        key: read_file(&tls.key)?,
    };
    let endpoint = quic::bind(settings.peer, &identity)?;
    let ports = Ports {
        link: quic::port(endpoint.clone()),
        platform: platform::port(&settings.platform)?,
        upstream: upstream::port(&settings.upstream)?,
    };
    let node = Node::new(node_options(&settings), ports, Timer::real());
    let peers = tokio::spawn(quic::serve(endpoint.clone(), node.clone()));
    let tasks = node.start();
    let operators = server::serve_operators(settings.operators, node.clone()).await?;
    let callers = server::serve_callers(settings.callers, node.clone()).await?;
    log::info!(
        "event=started node={} callers={} operators={} peer={}",
        node.id(),
        callers.addr,
        operators.addr,
        settings.peer
    );
    wait_for_stop().await?;
    log::info!("event=stopping node={}", node.id());
    // Until the drain ends, new calls are still accepted and sent to other gates.
    let stopping = Instant::now();
    let drained = node.drain().await;
    callers.handle.stop_graceful(CONNECTION_TIMEOUT.saturating_sub(stopping.elapsed()));
    let _ = callers.task.await;
    let complete = node.finish().await && drained;
    for task in tasks {
        task.abort();
    }
    peers.abort();
    endpoint.close(0_u8.into(), b"stopped");
    endpoint.wait_idle().await;
    operators.handle.stop_forcible();
    log::info!("event=exit complete={complete}");
    Ok(())
}

async fn wait_for_stop() -> Result<()> {
    let mut term = signal(SignalKind::terminate()).wrap_err("could not wait for SIGTERM")?;
    let mut int = signal(SignalKind::interrupt()).wrap_err("could not wait for SIGINT")?;
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
    Ok(())
}
