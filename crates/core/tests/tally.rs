//! Reconciliation of statements: agreement, differences and gaps.

use bbv_core::id::{AttemptId, NodeId, Vm};
use bbv_core::tally::{Difference, Gap, Mark, Row, Side, Statement, Tally, reconcile};

fn node(vm: u32) -> NodeId {
    NodeId { vm: Vm(vm), incarnation: u64::from(vm) + 100 }
}

fn row(sender: u32, serial: u64, gate: u32, mark: Mark) -> Row {
    Row {
        attempt: AttemptId { node: node(sender), serial },
        gate: node(gate),
        entry: "site-history".to_owned(),
        owner: "field-app".to_owned(),
        window: 3,
        mark,
    }
}

/// Statements of nodes 1 and 2 after the attempts `(serial, ingress, gate)` from 1 to 2.
fn pair(rows: &[(u64, Option<Mark>, Option<Mark>)]) -> (Statement, Statement) {
    let (mut sender, mut gate) = (Tally::new(node(1), 99), Tally::new(node(2), 99));
    for (serial, ingress, received) in rows {
        sender.next_serial();
        if let Some(mark) = ingress {
            sender.write(Side::Ingress, row(1, *serial, 2, *mark));
        }
        if let Some(mark) = received {
            gate.write(Side::Gate, row(1, *serial, 2, *mark));
        }
    }
    (sender.statement(), gate.statement())
}

#[test]
fn equal_books_agree() {
    let answered = Some(Mark::Answered);
    let (a, b) = pair(&[(1, answered, answered), (2, Some(Mark::Refused), Some(Mark::Refused))]);
    let report = reconcile(&[a, b]);
    assert_eq!((report.agreed, report.settled), (2, 0));
    assert_eq!((report.differing, report.gaps), (vec![], vec![]));
    assert_eq!(report.counts[0].count.answered, 1);
    assert_eq!(report.counts[0].count.refused, 1);
}

#[test]
fn lost_answer_is_settled_by_the_gate() {
    let (a, b) = pair(&[(1, Some(Mark::Unknown), Some(Mark::Answered))]);
    let report = reconcile(&[a, b]);
    assert_eq!((report.agreed, report.settled), (0, 1));
    assert!(report.differing.is_empty());
}

#[test]
fn each_differing_attempt_is_named() {
    let (answered, refused) = (Some(Mark::Answered), Some(Mark::Refused));
    let (a, b) = pair(&[(1, answered, refused), (2, answered, None), (3, answered, answered)]);
    let report = reconcile(&[a, b]);
    let difference = |serial, gate| Difference {
        attempt: AttemptId { node: node(1), serial },
        entry: "site-history".to_owned(),
        ingress: answered,
        gate,
    };
    assert_eq!(report.differing, vec![difference(1, refused), difference(2, None)]);
    assert_eq!(report.agreed, 1);
}

#[test]
fn dead_sender_leaves_a_gap_and_not_an_agreement() {
    let answered = Some(Mark::Answered);
    let (_, b) = pair(&[(1, answered, answered), (2, answered, None), (3, answered, answered)]);
    let report = reconcile(&[b]);
    assert_eq!(report.agreed, 0);
    // Attempt 2 went to a gate that is dead too: only the hole in the serials shows it.
    assert_eq!(report.gaps, vec![Gap { node: node(1), one_sided: 2, no_rows: 1 }]);
}

#[test]
fn rows_that_were_dropped_make_a_gap() {
    let answered = Some(Mark::Answered);
    let (a, mut b) = pair(&[(1, answered, answered), (2, answered, answered)]);
    b.gate.remove(0);
    b.dropped = 1;
    let report = reconcile(&[a, b]);
    assert_eq!(report.agreed, 1);
    assert!(report.differing.is_empty());
    assert_eq!(report.gaps, vec![Gap { node: node(2), one_sided: 1, no_rows: 0 }]);
}
