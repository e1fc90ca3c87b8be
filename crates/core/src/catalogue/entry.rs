//! Entries of the catalogue.

use serde::Serialize;

use super::reader::Reader;
use crate::queue::Class;

/// One kind of call.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Entry {
    /// Name, which is the first part of the call's path.
    pub name: String,
    /// Team whose calls these are.
    pub owner: String,
    /// Importance under overload.
    pub class: Class,
    /// Service that runs them.
    pub service: String,
    /// Whether a call may run more than once.
    pub idempotent: bool,
    /// Longest time to an answer in milliseconds.
    pub deadline_ms: u64,
    /// Share of the service that the owner may always use, in percent.
    pub share_pct: u64,
    /// Largest body of a request in kilobytes.
    pub body_limit_kb: u64,
}

const DEADLINE_MS_MAX: u64 = 120_000;
const BODY_KB_MAX: u64 = 1_024;

impl Entry {
    /// Reads an entry from a mapping.
    pub fn read(item: &mut Reader<'_>) -> Self {
        Entry {
            name: item.text("name"),
            owner: item.text("owner"),
            class: item.parsed("class", parse_class).unwrap_or(Class::Batch),
            service: item.text("service"),
            idempotent: item.boolean("idempotent"),
            deadline_ms: item.uint("deadline_ms", 1..=DEADLINE_MS_MAX),
            share_pct: item.uint("share_pct", 1..=100),
            body_limit_kb: item.uint("body_limit_kb", 1..=BODY_KB_MAX),
        }
    }
}

fn parse_class(text: &str) -> Result<Class, String> {
    match text {
        "batch" => Ok(Class::Batch),
        "interactive" => Ok(Class::Interactive),
        "critical" => Ok(Class::Critical),
        _ => Err(format!("{text} is not one of batch, interactive, critical")),
    }
}
