//! Replays announcements of changes that a node cannot fetch.

use bbv_core::lag::{LAG_LIMIT, Lag};
use bbv_core::units::{MS, Micros};

const NOTICE_INTERVAL: Micros = 50 * MS;

/// Announces `revision` from `from` until `to`; returns when the lag of a node at `through` was
/// first overdue.
fn overdue_at(
    lag: &mut Lag,
    from: Micros,
    to: Micros,
    revision: u64,
    through: u64,
) -> Option<Micros> {
    (from..to).step_by(NOTICE_INTERVAL as usize).find(|now| {
        lag.announce(*now, revision, through);
        lag.is_overdue(*now, through)
    })
}

#[test]
fn node_that_cannot_fetch_changes_is_overdue_after_the_limit() {
    let mut lag = Lag::default();
    assert_eq!(overdue_at(&mut lag, 0, 10 * LAG_LIMIT, 8, 7), Some(LAG_LIMIT));
}

#[test]
fn node_that_makes_progress_is_not_overdue() {
    let mut lag = Lag::default();
    // A storm of changes: others always know more, but this node applies a change each 300 ms.
    for step in 0..20 {
        let from = step * 300 * MS;
        assert_eq!(overdue_at(&mut lag, from, from + 300 * MS, 100, 7 + step), None, "{step}");
    }
    let from = 20 * 300 * MS;
    assert_eq!(overdue_at(&mut lag, from, from + 2 * LAG_LIMIT, 100, 26), Some(from + 700 * MS));
}

#[test]
fn node_that_knows_what_others_announce_is_not_overdue() {
    let mut lag = Lag::default();
    assert_eq!(overdue_at(&mut lag, 0, 900 * MS, 8, 7), None);
    assert_eq!(overdue_at(&mut lag, 900 * MS, 9 * LAG_LIMIT, 8, 8), None);
    let later = 9 * LAG_LIMIT;
    assert_eq!(overdue_at(&mut lag, later, 2 * later, 9, 8), Some(later + LAG_LIMIT));
}

#[test]
fn announcement_that_the_store_refutes_counts_once() {
    let mut lag = Lag::default();
    assert_eq!(overdue_at(&mut lag, 0, 2 * LAG_LIMIT, u64::MAX, 7), Some(LAG_LIMIT));
    lag.record_read(7);
    let later = 2 * LAG_LIMIT;
    assert_eq!(overdue_at(&mut lag, later, 5 * later, u64::MAX, 7), None);
    assert_eq!(overdue_at(&mut lag, 5 * later, 9 * later, 8, 7), Some(5 * later + LAG_LIMIT));
}

#[test]
fn store_that_delivers_what_was_announced_refutes_nothing() {
    let mut lag = Lag::new(5 * MS);
    assert_eq!(overdue_at(&mut lag, 0, 2 * LAG_LIMIT, 9, 7), Some(LAG_LIMIT + NOTICE_INTERVAL));
    lag.record_read(9);
    assert_eq!(overdue_at(&mut lag, 2 * LAG_LIMIT, 4 * LAG_LIMIT, 9, 9), None);
    let later = 4 * LAG_LIMIT;
    let expected = Some(later + LAG_LIMIT + NOTICE_INTERVAL);
    assert_eq!(overdue_at(&mut lag, later, 2 * later, 10, 9), expected);
}
