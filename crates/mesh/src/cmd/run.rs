//! `bbv-mesh run`: runs a node until it is told to stop.

use std::process::ExitCode;

use bbv_mesh::event::{self, Event};
use bbv_mesh::settings::Settings;
use eyre::{Result, WrapErr};
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Signals that the process handles.
struct Signals {
    term: Signal,
    hup: Signal,
}

/// Runs the subcommand.
pub fn run(args: &[String]) -> ExitCode {
    let [path] = args else { return super::usage() };
    let result = start(path);
    bbv_mesh::logs::finish();
    super::report(result)
}

fn start(path: &str) -> Result<()> {
    // One thread: waking another one costs more than most of the work.
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .wrap_err("could not start the runtime")?;
    // Signals first: one that comes before it is handled ends the process.
    let signals = runtime.block_on(async { Signals::new() })?;
    bbv_mesh::logs::start();
    let settings = Settings::load(path)?;
    runtime.block_on(serve(path, settings, signals))
}

impl Signals {
    fn new() -> Result<Self> {
        let term = signal(SignalKind::terminate()).wrap_err("could not wait for SIGTERM")?;
        let hup = signal(SignalKind::hangup()).wrap_err("could not wait for SIGHUP")?;
        Ok(Signals { term, hup })
    }
}

async fn serve(path: &str, settings: Settings, mut signals: Signals) -> Result<()> {
    let running = bbv_mesh::start(settings.clone()).await?;
    loop {
        tokio::select! {
            _ = signals.term.recv() => break,
            _ = signals.hup.recv() => reload(path, &settings),
        }
    }
    running.stop().await;
    Ok(())
}

/// Reads changed settings; addresses cannot change while the process runs.
fn reload(path: &str, held: &Settings) {
    match Settings::load(path) {
        Ok(read) if read == *held => event::info(Event::Reloaded, &[("changed", &false)]),
        Ok(_) => event::warn(Event::Reloaded, &[("changed", &true), ("effect", &"after restart")]),
        Err(error) => event::warn(Event::Reloaded, &[("why", &format!("{error:#}"))]),
    }
}
