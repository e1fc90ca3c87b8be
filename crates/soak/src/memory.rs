//! Holds processes to their memory: one that exceeds it is killed, as the platform does.

use std::fs;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use bbv_stand::process::{Signal, signal};

use crate::checker::Checker;

/// Memory of the smallest VM of a deployment, in megabytes.
pub const MEMORY_MB: u64 = 160;
/// Pause between two looks at a process.
const PAUSE: Duration = Duration::from_millis(5);
const BYTES_PER_KB: u64 = 1_024;

/// Returns the resident memory of process `id` in bytes, without pages of files; 0 if it has ended.
pub fn resident(id: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:"));
    let kb = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
    kb.unwrap_or(0) * BYTES_PER_KB
}

/// Monitor of the memory of one node's process.
pub struct MemoryMonitor {
    /// Id of the process.
    pub id: Arc<AtomicU32>,
    /// Memory that the process may take, in bytes.
    pub limit: u64,
    /// Largest resident memory that was seen, in bytes.
    pub peak: Arc<AtomicU64>,
    /// Set before the process is killed.
    pub killed: Arc<AtomicBool>,
    /// Whether to end.
    pub stop: Arc<AtomicBool>,
}

impl MemoryMonitor {
    /// Looks at the process until `stop` is set; kills it and records a violation if it takes more
    /// than it may.
    pub async fn run(self, name: String, checker: Arc<Checker>) {
        while !self.stop.load(Ordering::Relaxed) {
            tokio::time::sleep(PAUSE).await;
            if self.killed.load(Ordering::SeqCst) {
                continue;
            }
            let id = self.id.load(Ordering::SeqCst);
            let bytes = resident(id);
            self.peak.fetch_max(bytes, Ordering::Relaxed);
            if bytes <= self.limit {
                continue;
            }
            let limit = self.limit;
            checker.add_violation(format!("{name}: {bytes} bytes resident, {limit} allowed"));
            self.killed.store(true, Ordering::SeqCst);
            // An error means that the process has already ended.
            let _ = signal(id, Signal::Kill);
        }
    }
}
