//! Memory that this process takes.

use std::fs;

/// Memory of this process, as the kernel reports it.
const STATUS_PATH: &str = "/proc/self/status";
const BYTES_PER_KB: u64 = 1_024;

/// Returns the resident memory of this process in bytes, if the kernel tells it.
pub(crate) fn bytes() -> Option<u64> {
    let status = fs::read_to_string(STATUS_PATH).ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    Some(line.split_whitespace().next()?.parse::<u64>().ok()? * BYTES_PER_KB)
}
