//! Reconciliation finds agreement, differences and gaps between the statements of two nodes.

use bbv_core::id::{AttemptId, NodeId, Vm};
use bbv_core::reconciliation::{
    AttemptLog, Difference, Gap, Mark, Row, Side, Statement, reconcile,
};

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

/// Statements of nodes 1 and 2 after node 1 sent the attempts `(serial, ingress mark, gate mark)`
/// to node 2.
fn statements(rows: &[(u64, Option<Mark>, Option<Mark>)]) -> (Statement, Statement) {
    let (mut ingress, mut gate) = (AttemptLog::new(node(1), 99), AttemptLog::new(node(2), 99));
    for (serial, ingress_mark, gate_mark) in rows {
        ingress.next_serial();
        if let Some(mark) = ingress_mark {
            ingress.record(Side::Ingress, row(1, *serial, 2, *mark));
        }
        if let Some(mark) = gate_mark {
            gate.record(Side::Gate, row(1, *serial, 2, *mark));
        }
    }
    (ingress.statement(), gate.statement())
}

#[test]
fn equal_marks_agree() {
    let answered = Some(Mark::Answered);
    let (a, b) =
        statements(&[(1, answered, answered), (2, Some(Mark::Refused), Some(Mark::Refused))]);
    let result = reconcile(&[a, b]);
    assert_eq!((result.agreed, result.settled), (2, 0));
    assert_eq!((result.differing, result.gaps), (vec![], vec![]));
    assert_eq!(result.counts[0].count.answered, 1);
    assert_eq!(result.counts[0].count.refused, 1);
}

#[test]
fn lost_answer_is_settled_by_the_gate() {
    let (a, b) = statements(&[(1, Some(Mark::Unknown), Some(Mark::Answered))]);
    let result = reconcile(&[a, b]);
    assert_eq!((result.agreed, result.settled), (0, 1));
    assert!(result.differing.is_empty());
}

#[test]
fn each_differing_attempt_is_listed() {
    let (answered, refused) = (Some(Mark::Answered), Some(Mark::Refused));
    let (a, b) =
        statements(&[(1, answered, refused), (2, answered, None), (3, answered, answered)]);
    let result = reconcile(&[a, b]);
    let difference = |serial, gate| Difference {
        attempt: AttemptId { node: node(1), serial },
        entry: "site-history".to_owned(),
        ingress: answered,
        gate,
    };
    assert_eq!(result.differing, vec![difference(1, refused), difference(2, None)]);
    assert_eq!(result.agreed, 1);
}

#[test]
fn missing_sender_statement_leaves_a_gap() {
    let answered = Some(Mark::Answered);
    let (_, b) =
        statements(&[(1, answered, answered), (2, answered, None), (3, answered, answered)]);
    let result = reconcile(&[b]);
    assert_eq!(result.agreed, 0);
    // The gate has no row for attempt 2 either: only the missing serial number reveals it.
    assert_eq!(result.gaps, vec![Gap { node: node(1), one_sided: 2, no_rows: 1 }]);
}

#[test]
fn dropped_rows_leave_a_gap() {
    let answered = Some(Mark::Answered);
    let (a, mut b) = statements(&[(1, answered, answered), (2, answered, answered)]);
    b.gate.remove(0);
    b.dropped = 1;
    let result = reconcile(&[a, b]);
    assert_eq!(result.agreed, 1);
    assert!(result.differing.is_empty());
    assert_eq!(result.gaps, vec![Gap { node: node(2), one_sided: 1, no_rows: 0 }]);
}
