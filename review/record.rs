//! Record of a run: what was sent, answered and run, in the order of time.

use std::fs;
use std::path::Path;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Request that an endpoint began to run.
#[derive(Clone)]
pub struct Run {
    pub at: Duration,
    pub instance: String,
    /// Number of the machine beside which the endpoint stands.
    pub machine: usize,
    pub attempt: String,
    pub path: String,
}

/// Request as its client saw it.
#[derive(Clone)]
pub struct Sent {
    pub at: Duration,
    pub answered: Duration,
    pub attempt: String,
    pub path: String,
    /// Status; 0 if the connection ended without an answer.
    pub status: u16,
}

pub struct Record {
    started: Instant,
    runs: Mutex<Vec<Run>>,
    sent: Mutex<Vec<Sent>>,
    notes: Mutex<Vec<(Duration, String)>>,
}

impl Record {
    pub fn new() -> Self {
        Record {
            started: Instant::now(),
            runs: Mutex::default(),
            sent: Mutex::default(),
            notes: Mutex::default(),
        }
    }

    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    pub fn add_run(&self, run: Run) {
        self.runs.lock().unwrap().push(run);
    }

    pub fn add_sent(&self, sent: Sent) {
        self.sent.lock().unwrap().push(sent);
    }

    /// Adds a line on what the script, the platform or an endpoint did; returns its time.
    pub fn note(&self, text: impl Into<String>) -> Duration {
        let now = self.now();
        self.notes.lock().unwrap().push((now, text.into()));
        now
    }

    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap().clone()
    }

    pub fn sent(&self) -> Vec<Sent> {
        self.sent.lock().unwrap().clone()
    }

    pub fn write(&self, path: &Path) {
        let mut lines = self.notes.lock().unwrap().clone();
        lines.extend(self.runs().into_iter().map(|run| {
            let Run { at, instance, machine, attempt, path } = run;
            (at, format!("run id={attempt} path={path} instance={instance} machine={machine}"))
        }));
        for Sent { at, answered, attempt, path, status } in self.sent() {
            lines.push((at, format!("sent id={attempt} path={path}")));
            lines.push((answered, format!("answered id={attempt} status={status}")));
        }
        lines.sort();
        let text: String = lines
            .into_iter()
            .map(|(at, line)| format!("{:9.3} {line}\n", at.as_secs_f64()))
            .collect();
        fs::write(path, text).expect("write the record");
    }
}
