//! Tests of what counts as an outage of the store: when one ends, and that it ends once.

use bbv_core::outage::{Outage, shortest_outage};
use bbv_core::units::{MS, SEC};

const HEARTBEAT: u64 = SEC + SEC / 2;

/// Calls of other nodes that had begun before the end failed later; each word of them began the outage anew
/// with its old beginning, and the next answer ended it again.
#[test]
fn late_failures_of_others_begin_no_outage_that_is_over() {
    let shortest = shortest_outage(HEARTBEAT);
    let mut outage = Outage::default();
    outage.record_failure(10 * SEC);
    assert!(outage.record_answer(16 * SEC, 16 * SEC, shortest).is_some());
    for late in [300 * MS, 700 * MS, 1_500 * MS] {
        let now = 16 * SEC + late;
        outage.record_failure(10 * SEC);
        assert_eq!(outage.record_answer(now, now, shortest), None, "{late} us after the end");
    }
}

/// A node that fails to reach the store, while others do, takes what is missing for an expired entry.
#[test]
fn no_outage_while_other_nodes_get_answers() {
    let shortest = shortest_outage(HEARTBEAT);
    let mut outage = Outage::default();
    for tenth in 0..60 {
        let now = 10 * SEC + tenth * 100 * MS;
        outage.record_failure(10 * SEC);
        if tenth % 7 == 0 {
            assert_eq!(outage.record_answer(now, now, shortest), None);
        }
        assert!(!outage.spares(now, shortest));
    }
}

/// Word of an answer from before the outage does not end it.
#[test]
fn older_answer_ends_no_outage() {
    let mut outage = Outage::default();
    outage.record_failure(10 * SEC);
    assert_eq!(outage.record_answer(9 * SEC, 9 * SEC, SEC), None);
    assert_eq!(outage.lasted(14 * SEC), Some(4 * SEC));
    assert!(outage.spares(14 * SEC, SEC));
}

/// The earliest end is the start of the last call that failed, unless the node has not tried since.
#[test]
fn outage_ends_after_the_last_call_that_failed() {
    for (tried, ended) in [(14 * SEC, 14 * SEC), (11 * SEC, 14 * SEC - 450 * MS)] {
        let mut outage = Outage::default();
        outage.record_failure(10 * SEC);
        outage.record_attempt(tried);
        assert_eq!(outage.record_answer(15 * SEC, 15 * SEC, SEC), Some(ended));
    }
}
