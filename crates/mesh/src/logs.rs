//! Logs on standard output that never block the process.

use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{SyncSender, TrySendError, sync_channel};

use env_logger::{Builder, Env, Target};

/// Lines that wait for the writer; more are dropped and counted.
const QUEUE: usize = 1_024;

static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Hands lines to the thread that writes them.
struct Lines(SyncSender<Vec<u8>>);

impl Write for Lines {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if let Err(TrySendError::Full(_)) = self.0.try_send(line.to_vec()) {
            DROPPED.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Starts logging; `RUST_LOG` chooses what is logged.
///
/// ```
/// bbv_mesh::logs::start();
/// log::info!("event=example");
/// ```
pub fn start() {
    let (sender, lines) = sync_channel::<Vec<u8>>(QUEUE);
    let writer = move || {
        let mut out = io::stdout();
        for line in lines {
            // Nobody is left to tell when standard output is gone.
            let _ = out.write_all(&line);
            let dropped = DROPPED.swap(0, Ordering::Relaxed);
            if dropped > 0 {
                let _ = writeln!(out, "level=WARN event=log-dropped lines={dropped}");
            }
        }
    };
    if std::thread::Builder::new().name("logs".to_owned()).spawn(writer).is_err() {
        eprintln!("level=ERROR event=log-writer-missing");
    }
    let started = Builder::from_env(Env::default().default_filter_or("info"))
        .format(|out, record| writeln!(out, "level={} {}", record.level(), record.args()))
        .target(Target::Pipe(Box::new(Lines(sender))))
        .try_init();
    if let Err(error) = started {
        eprintln!("level=WARN event=log-started-twice error={error:?}");
    }
}
