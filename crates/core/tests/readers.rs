//! Tests of the choice of readers while the platform cannot be read.

use bbv_core::readers::Readers;
use bbv_core::units::{MS, Micros, SEC};

/// Length of the outage.
const OUTAGE: Micros = 8 * SEC;
/// Time from a failed call to the next one of the same node.
const BACKOFF: Micros = 150 * MS;

/// Node of a zone, with the time of its next call.
struct Member {
    id: u64,
    readers: Readers,
    calls_at: Micros,
}

fn zone(size: u64) -> Vec<Member> {
    let member = |id| {
        let mut readers = Readers::new(id, "z");
        readers.set_zone_size(size as usize);
        Member { id, readers, calls_at: 0 }
    };
    (1..=size).map(member).collect()
}

/// Returns the number of calls of a zone of `size` nodes in an outage, with two calls, one for each
/// topic, at a time.
fn calls_in_outage(size: u64) -> usize {
    let mut members = zone(size);
    let mut calls = 0;
    for now in (0..OUTAGE).step_by(10 * MS as usize) {
        let mut failed = Vec::new();
        for member in &mut members {
            if member.readers.decide(now) && now >= member.calls_at {
                member.calls_at = now + BACKOFF;
                let share = (member.id * 37 % 100) as f64 / 100.0;
                member.readers.record_failure(now, share);
                member.readers.record_failure(now, share);
                failed.push(member.id);
            }
        }
        calls += 2 * failed.len();
        for member in &mut members {
            let others = failed.iter().filter(|id| **id != member.id);
            others.for_each(|other| member.readers.record_peer_failure(now, *other));
        }
    }
    calls
}

/// Each node of a zone called a store that refused all of them, once a second and more.
#[test]
fn calls_in_an_outage_do_not_grow_with_the_zone() {
    let calls = [6, 20, 60].map(calls_in_outage);
    assert!(calls.iter().all(|calls| *calls <= 250), "{calls:?}");
    assert!(calls[2] <= 2 * calls[0], "{calls:?}");
    assert!(calls.iter().all(|calls| *calls >= 40), "too few calls notice the end: {calls:?}");
}

/// A node whose turn is far away reads soon once no failed call is heard of any more.
#[test]
fn turn_is_brought_forward_when_the_others_fall_silent() {
    for id in 1..=60 {
        let mut readers = Readers::new(id, "z");
        readers.set_zone_size(60);
        readers.record_peer_failure(0, 99);
        let starts = (0..4 * SEC).step_by(10 * MS as usize).find(|now| readers.decide(*now));
        assert!(starts.is_some_and(|at| at <= 2_500 * MS), "node {id}: {starts:?}");
    }
}

/// A reader that is heard of ends the turns.
#[test]
fn readers_that_get_answers_end_the_turns() {
    let mut readers = Readers::new(1, "z");
    readers.set_zone_size(60);
    readers.record_peer_failure(0, 2);
    readers.record_heartbeat(10 * MS, 3, true);
    assert!(!readers.decide(20 * MS) && !readers.is_failing(20 * MS));
}
