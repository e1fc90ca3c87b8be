//! `bbv-mesh run`: runs a node until SIGTERM.

use std::process::ExitCode;

use bbv_mesh::event::{self, Event};
use bbv_mesh::settings::Settings;
use eyre::{Result, WrapErr};
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Signals handled by the process.
struct Signals {
    term: Signal,
    hup: Signal,
}

/// Runs the subcommand.
pub fn run(args: &[String]) -> ExitCode {
    let [path] = args else { return super::PROGRAM.reject() };
    let result = start(path);
    bbv_mesh::logs::flush();
    super::PROGRAM.report(result)
}

fn start(path: &str) -> Result<()> {
    // A single thread, since waking another one costs more than most of the work.
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .wrap_err("could not start the runtime")?;
    // Installs the handlers first: a signal that arrives before its handler ends the process.
    let signals = runtime.block_on(async { Signals::new() })?;
    bbv_mesh::logs::start();
    let settings = Settings::load(path)?;
    runtime.block_on(serve(path, settings, signals))
}

impl Signals {
    fn new() -> Result<Self> {
        let term =
            signal(SignalKind::terminate()).wrap_err("could not install the SIGTERM handler")?;
        let hup = signal(SignalKind::hangup()).wrap_err("could not install the SIGHUP handler")?;
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

/// Validates the settings file and logs whether it differs from `current`; a change takes effect
/// at the next start, since addresses cannot change while the process runs.
fn reload(path: &str, current: &Settings) {
    match Settings::load(path) {
        Ok(loaded) if loaded == *current => event::info(Event::Reloaded, &[("changed", &false)]),
        Ok(_) => event::warn(Event::Reloaded, &[("changed", &true), ("effect", &"after restart")]),
        Err(error) => event::warn(Event::Reloaded, &[("why", &format!("{error:#}"))]),
    }
}
