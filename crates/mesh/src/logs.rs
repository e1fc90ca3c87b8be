//! Logs on standard output that never block the process.

use std::io::{self, Write};
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::time::Duration;

use env_logger::{Builder, Env, Target};

/// Lines that wait for the writer; more are dropped and counted.
const QUEUE: usize = 1_024;
/// Time in which the last lines are written when the process ends.
const FINISH: Duration = Duration::from_millis(200);

static DROPPED: AtomicU64 = AtomicU64::new(0);
static SENDER: OnceLock<SyncSender<Message>> = OnceLock::new();

enum Message {
    Line(Vec<u8>),
    /// Asks the writer to tell when all lines before this are written.
    Finish(SyncSender<()>),
}

/// Hands lines to the thread that writes them.
struct Lines(SyncSender<Message>);

impl Write for Lines {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if let Err(TrySendError::Full(_)) = self.0.try_send(Message::Line(line.to_vec())) {
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
/// bbv_mesh::logs::finish();
/// ```
pub fn start() {
    let (sender, messages) = sync_channel::<Message>(QUEUE);
    let thread = std::thread::Builder::new().name("logs".to_owned());
    if let Err(error) = thread.spawn(move || write_all(&messages)) {
        eprintln!("level=ERROR event=log-writer-missing error={error:?}");
    }
    let started = Builder::from_env(Env::default().default_filter_or("info"))
        .format(|out, record| writeln!(out, "level={} {}", record.level(), record.args()))
        .target(Target::Pipe(Box::new(Lines(sender.clone()))))
        .try_init();
    match started {
        Ok(()) => drop(SENDER.set(sender)),
        Err(error) => eprintln!("level=WARN event=log-started-twice error={error:?}"),
    }
}

fn write_all(messages: &Receiver<Message>) {
    let mut out = io::stdout();
    for message in messages {
        // Nobody is left to tell when standard output is gone.
        let _ = match message {
            Message::Line(line) => out.write_all(&line),
            Message::Finish(done) => {
                let _ = done.try_send(());
                out.flush()
            }
        };
        let dropped = DROPPED.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            let _ = writeln!(out, "level=WARN event=log-dropped lines={dropped}");
        }
    }
}

/// Waits a moment until the lines so far are written, for the end of the process.
///
/// ```
/// bbv_mesh::logs::finish();
/// ```
pub fn finish() {
    let Some(sender) = SENDER.get() else { return };
    let (done, written) = sync_channel(1);
    if sender.try_send(Message::Finish(done)).is_ok() {
        // A reader that stopped reading must not keep the process.
        let _ = written.recv_timeout(FINISH);
    }
}
