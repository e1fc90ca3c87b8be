//! Replays regions that lose power, are cut off or only lose some nodes, in virtual time.

use std::net::IpAddr;

use bbv_core::region_watch::{RegionChange, RegionWatch};
use bbv_core::units::{MS, Micros};

/// Nodes of the region.
const NODES: usize = 30;

fn node(number: u8) -> IpAddr {
    ([10, 0, 0, number]).into()
}

/// Sends a request to each of `nodes` every 100 ms from `start` to `end`, and returns the changes.
fn send(
    watch: &mut RegionWatch,
    nodes: &[u8],
    start: Micros,
    end: Micros,
) -> Vec<(Micros, RegionChange)> {
    let mut changes = Vec::new();
    for now in (start..end).step_by(100 * MS as usize) {
        nodes.iter().for_each(|number| watch.record_request(now, "north", node(*number)));
        changes.extend(watch.decide(now, "north", NODES).map(|change| (now, change)));
    }
    changes
}

#[test]
fn region_that_is_cut_off_is_lost_once_and_the_first_message_ends_that() {
    let mut watch = RegionWatch::default();
    let changes = send(&mut watch, &[1, 2, 3, 4], 0, 5_000 * MS);
    assert_eq!(changes, [(800 * MS, RegionChange::Lost)]);
    assert!(watch.is_lost("north") && !watch.is_lost("east"));
    assert_eq!(watch.record_message("north"), Some(RegionChange::Back));
    assert_eq!(watch.record_message("north"), None, "one event");
    assert!(!watch.is_lost("north"));
    assert_eq!(send(&mut watch, &[1, 2, 3, 4], 5_000 * MS, 5_700 * MS), []);
}

#[test]
fn nodes_that_refuse_connections_lose_their_region_at_once() {
    let mut watch = RegionWatch::default();
    for number in [1, 2, 2, 1] {
        watch.record_unreachable("north", node(number));
        assert_eq!(watch.decide(0, "north", NODES), None, "two nodes are no region");
    }
    watch.record_unreachable("north", node(3));
    assert_eq!(watch.decide(0, "north", NODES), Some(RegionChange::Lost));
}

#[test]
fn region_that_still_speaks_is_not_lost() {
    let mut watch = RegionWatch::default();
    for now in (0..10_000 * MS).step_by(500 * MS as usize) {
        let changes = send(&mut watch, &[1, 2, 3, 4, 5], now, now + 500 * MS);
        assert_eq!(changes, [], "one node answers every 500 ms");
        watch.record_message("north");
    }
}

#[test]
fn two_silent_nodes_are_no_lost_region() {
    let mut watch = RegionWatch::default();
    assert_eq!(send(&mut watch, &[1, 2], 0, 9_000 * MS), []);
}

#[test]
fn region_of_one_node_is_lost_with_it() {
    let mut watch = RegionWatch::default();
    watch.record_unreachable("north", node(1));
    assert_eq!(watch.decide(0, "north", 1), Some(RegionChange::Lost));
}

/// After a pause of the process, answers wait to be read.
#[test]
fn pause_of_the_own_process_loses_no_region() {
    let mut watch = RegionWatch::default();
    send(&mut watch, &[1, 2, 3], 0, 300 * MS);
    watch.record_pause(3_000 * MS);
    assert_eq!(watch.decide(3_000 * MS, "north", NODES), None);
    assert_eq!(watch.decide(3_800 * MS, "north", NODES), Some(RegionChange::Lost));
}

/// Requests that run for long leave their nodes silent; asked in time, one of them shows that it is in reach.
#[test]
fn region_whose_requests_run_long_is_asked_twice_before_it_is_lost() {
    let mut watch = RegionWatch::default();
    (1..=5).for_each(|number| watch.record_request(0, "north", node(number)));
    let mut rounds = Vec::new();
    for now in (0..800 * MS).step_by(10 * MS as usize) {
        let asked = watch.take_questions(now);
        if !asked.is_empty() {
            rounds.push((now, asked.len()));
        }
        assert_eq!(watch.decide(now, "north", NODES), None);
    }
    assert_eq!(rounds, [(400 * MS, 3), (600 * MS, 3)]);
    watch.record_message("north");
    assert_eq!(watch.decide(5_000 * MS, "north", NODES), None);
    assert!(watch.take_questions(5_000 * MS).is_empty());
}
