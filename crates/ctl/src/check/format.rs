//! Values of a configuration as text.

use std::collections::BTreeSet;
use std::time::Duration;

use bbv_core::homes::Homes;
use bbv_core::units::Micros;

/// Characters of a key that are shown.
const SHOWN_KEY_CHARS: usize = 4;
/// Shortest key of which any character is shown, so that most of it stays hidden.
const SHOWN_KEY_MIN: usize = 16;

/// Returns a time with its unit.
pub(super) fn time(micros: Micros) -> String {
    format!("{:?}", Duration::from_micros(micros))
}

/// Returns enough of a key to find it, and never all of it.
pub(super) fn key(key: &str) -> String {
    if key.chars().count() < SHOWN_KEY_MIN {
        return "a short key".to_owned();
    }
    let shown: String = key.chars().take(SHOWN_KEY_CHARS).collect();
    format!("key {shown}…")
}

/// Returns the number of keys and how many of them `others` lacks.
pub(super) fn keys(keys: &BTreeSet<String>, others: &BTreeSet<String>) -> String {
    let own = keys.difference(others).count();
    format!("{} ({own} only here)", keys.len())
}

/// Returns the regions in which requests may run.
pub(super) fn homes(homes: &Homes) -> String {
    if homes.is_any() {
        return "any".to_owned();
    }
    homes.iter().map(|region| region.to_string()).collect::<Vec<_>>().join(", ")
}

/// Returns a value, or what its absence means.
pub(super) fn optional(value: Option<impl ToString>, absent: &str) -> String {
    value.map_or_else(|| absent.to_owned(), |value| value.to_string())
}
