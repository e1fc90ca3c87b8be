//! Entries of the catalogue that bbv-node loads: the kinds of call, each with its owner, class,
//! service and limits. The class and the share decide which calls an overloaded service admits.

use serde::Serialize;

use super::reader::YamlReader;
use crate::queue::Class;

/// One kind of call, with its owner and limits.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Entry {
    /// Name, which is the first segment of the path of its calls.
    pub name: String,
    /// Team that owns the calls.
    pub owner: String,
    /// Priority class under overload.
    pub class: Class,
    /// Service that executes the calls.
    pub service: String,
    /// Whether a call may be executed more than once.
    pub idempotent: bool,
    /// Maximum time until the response, in milliseconds.
    pub deadline_ms: u64,
    /// Share of the service that is guaranteed to the owner, in percent.
    pub share_pct: u64,
    /// Maximum size of a request body in kilobytes.
    pub body_limit_kb: u64,
}

const MAX_DEADLINE_MS: u64 = 120_000;
const MAX_BODY_KB: u64 = 1_024;

impl Entry {
    /// Reads an entry from a YAML mapping.
    pub fn read(item: &mut YamlReader<'_>) -> Self {
        Entry {
            name: item.text("name"),
            owner: item.text("owner"),
            class: item.parsed("class", parse_class).unwrap_or(Class::Batch),
            service: item.text("service"),
            idempotent: item.boolean("idempotent"),
            deadline_ms: item.uint("deadline_ms", 1..=MAX_DEADLINE_MS),
            share_pct: item.uint("share_pct", 1..=100),
            body_limit_kb: item.uint("body_limit_kb", 1..=MAX_BODY_KB),
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
