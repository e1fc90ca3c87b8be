//! Logging to standard output through a bounded queue, so that a slow reader never blocks the
//! process.

use std::io::{self, Write};
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::time::Duration;

use env_logger::{Builder, Env, Target};

/// Maximum lines queued for the writer; further lines are dropped and counted.
const QUEUE_LINES: usize = 1_024;
/// Time allowed for writing the queued lines when the process ends.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);
static SENDER: OnceLock<SyncSender<Message>> = OnceLock::new();

enum Message {
    Line(Vec<u8>),
    /// Asks the writer to confirm that all earlier lines are written.
    Flush(SyncSender<()>),
}

/// Queues lines for the writer thread.
struct QueueWriter(SyncSender<Message>);

impl Write for QueueWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if let Err(TrySendError::Full(_)) = self.0.try_send(Message::Line(line.to_vec())) {
            DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Starts logging; `RUST_LOG` sets the filter, `info` by default.
///
/// ```
/// bbv_mesh::logs::start();
/// log::info!("event=example");
/// bbv_mesh::logs::flush();
/// ```
pub fn start() {
    let (sender, messages) = sync_channel::<Message>(QUEUE_LINES);
    let thread = std::thread::Builder::new().name("logs".to_owned());
    if let Err(error) = thread.spawn(move || write_messages(&messages)) {
        eprintln!("level=ERROR event=log-writer-missing error={error:?}");
    }
    let started = Builder::from_env(Env::default().default_filter_or("info"))
        .format(|out, record| writeln!(out, "level={} {}", record.level(), record.args()))
        .target(Target::Pipe(Box::new(QueueWriter(sender.clone()))))
        .try_init();
    match started {
        Ok(()) => drop(SENDER.set(sender)),
        Err(error) => eprintln!("level=WARN event=log-started-twice error={error:?}"),
    }
}

fn write_messages(messages: &Receiver<Message>) {
    let mut out = io::stdout();
    for message in messages {
        // An error on standard output cannot be reported anywhere.
        let _ = match message {
            Message::Line(line) => out.write_all(&line),
            Message::Flush(done) => {
                let _ = done.try_send(());
                out.flush()
            }
        };
        let dropped = DROPPED_LINES.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            let _ = writeln!(out, "level=WARN event=log-dropped lines={dropped}");
        }
    }
}

/// Waits up to 200 ms until all lines so far are written; called before the process ends.
///
/// ```
/// bbv_mesh::logs::flush();
/// ```
pub fn flush() {
    let Some(sender) = SENDER.get() else { return };
    let (done, written) = sync_channel(1);
    if sender.try_send(Message::Flush(done)).is_ok() {
        // A reader that stopped reading must not keep the process from ending.
        let _ = written.recv_timeout(FLUSH_TIMEOUT);
    }
}
