//! `bbv-mesh run`: runs a node until it is told to stop.

use std::process::ExitCode;

use bbv_mesh::event::{self, Event};
use bbv_mesh::settings::Settings;
use eyre::{Result, WrapErr};
use tokio::signal::unix::{SignalKind, signal};

/// Runs the subcommand.
pub fn run(args: &[String]) -> ExitCode {
    let [path] = args else { return super::usage() };
    bbv_mesh::logs::start();
    let result = Settings::load(path).and_then(|settings| start(path, settings));
    bbv_mesh::logs::finish();
    super::report(result)
}

fn start(path: &str, settings: Settings) -> Result<()> {
    // One thread: waking another one costs more than most of the work.
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .wrap_err("could not start the runtime")?;
    runtime.block_on(serve(path, settings))
}

async fn serve(path: &str, settings: Settings) -> Result<()> {
    let mut term = signal(SignalKind::terminate()).wrap_err("could not wait for SIGTERM")?;
    let mut hup = signal(SignalKind::hangup()).wrap_err("could not wait for SIGHUP")?;
    let running = bbv_mesh::start(settings.clone()).await?;
    loop {
        tokio::select! {
            _ = term.recv() => break,
            _ = hup.recv() => reload(path, &settings),
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
