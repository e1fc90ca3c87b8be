//! Tests of the view after the platform's store has come back from an older copy: what the copy lacks
//! or shows again must not change what nodes do until its writers have written again.

use std::collections::BTreeMap;

use bbv_core::history::History;
use bbv_core::index::Index;
use bbv_core::restoration::{DOUBT_TIME, ZONE_HOLD};
use bbv_core::revision::position;
use bbv_core::route::Name;
use bbv_core::units::{Micros, Revision, SEC};
use bbv_core::view::{
    Effect, PublishedUpstream, REGISTRATION_GRACE, Topic, Update, View, ViewChange,
};

const BORN: u64 = 1_700_000_000_000;

fn at(era: u16, number: u64) -> Revision {
    position(era, number).expect("number is too large")
}

fn upstream(zone: &str) -> PublishedUpstream {
    PublishedUpstream {
        service: "s".into(),
        addr: ([127, 0, 0, 1], 1).into(),
        zone: zone.into(),
        slots: 9,
        draining: false,
        born: Some(BORN),
    }
}

fn draining() -> PublishedUpstream {
    PublishedUpstream { draining: true, ..upstream("z") }
}

fn listing(ids: &[&str]) -> Vec<Update> {
    ids.iter().map(|id| Update::Upstream((*id).into(), Some(upstream("z")))).collect()
}

/// Returns a view as of number 9 of era 1 with the upstreams `a`, `b` and `c`.
fn view() -> View {
    let mut view = View::default();
    view.replace(0, Topic::Upstreams, at(1, 9), listing(&["a", "b", "c"]));
    view
}

fn usable(view: &View) -> Vec<Name> {
    Index::new(view).usable("s").iter().map(|(id, _)| id.clone()).collect()
}

fn out(view: &View) -> Vec<Name> {
    view.out.iter().cloned().collect()
}

/// The copy lacks an upstream that registered in the lost seconds: its node dropped it at once, since
/// the return was shorter than an outage in which entries expire.
#[test]
fn upstream_that_the_copy_lacks_is_kept_until_it_has_had_time_to_register_again() {
    let now = 7 * SEC;
    let mut view = view();
    let effects = view.replace(now, Topic::Upstreams, at(2, 4), listing(&["a", "b"]));
    assert_eq!(effects, [Effect::UpstreamExpired("c".into())]);
    assert_eq!((view.through, usable(&view).len()), (at(2, 4), 3));
    assert!(view.expire(now + REGISTRATION_GRACE - 1).is_empty());
    assert_eq!(view.expire(now + REGISTRATION_GRACE), [Name::from("c")]);
}

/// In the same era, an upstream that a listing lacks is gone at once.
#[test]
fn listing_of_the_same_era_begins_no_grace() {
    let mut view = view();
    let effects = view.replace(7 * SEC, Topic::Upstreams, at(1, 12), listing(&["a", "b"]));
    assert_eq!(effects, [Effect::UpstreamRemoved("c".into())]);
}

/// A node that starts after the return knows nothing that the copy could lack.
#[test]
fn first_listing_begins_no_grace() {
    let mut view = View::default();
    view.replace(0, Topic::Upstreams, at(3, 4), listing(&["a"]));
    assert_eq!(view.grace_left(0), 0);
}

/// The copy shows an upstream as ready that was shutting down.
#[test]
fn draining_upstream_that_the_copy_shows_as_ready_stays_draining() {
    let mut view = view();
    view.apply(SEC, Update::Upstream("a".into(), Some(draining())));
    view.replace(2 * SEC, Topic::Upstreams, at(2, 4), listing(&["a", "b", "c"]));
    assert_eq!(usable(&view), ["b", "c"].map(Name::from));
    // Another start under the same name is another upstream.
    let addr = ([127, 0, 0, 1], 2).into();
    let restarted = PublishedUpstream { addr, born: Some(BORN + 1), ..upstream("z") };
    view.apply(3 * SEC, Update::Upstream("a".into(), Some(restarted)));
    assert_eq!(usable(&view), ["a", "b", "c"].map(Name::from));
}

/// The copy shows an upstream again that had left, until its entry expires.
#[test]
fn upstream_that_had_left_is_not_used_when_the_copy_shows_it_again() {
    let now = 7 * SEC;
    let mut view = view();
    view.apply(now, Update::Upstream("a".into(), None));
    view.replace(now, Topic::Upstreams, at(2, 4), listing(&["a", "b", "c"]));
    view.replace(now + SEC, Topic::Upstreams, at(2, 5), listing(&["a", "b", "c"]));
    assert_eq!(usable(&view), ["b", "c"].map(Name::from));
    assert!(view.listed().contains_key("a"), "peers that did not know of its leaving are told");
    assert!(view.end_holds(now + DOUBT_TIME - 1).is_empty());
    // Its entry has not expired, so that the upstream writes it.
    assert_eq!(view.end_holds(now + DOUBT_TIME), [Effect::UpstreamUpdated("a".into())]);
    assert_eq!(usable(&view).len(), 3);
}

/// The removal of an upstream is told twice, as by a listing and the changes after its earliest page. The
/// second word dropped the memory of the first.
#[test]
fn upstream_whose_removal_is_told_twice_stays_gone_when_the_copy_shows_it_again() {
    let mut view = view();
    view.replace(0, Topic::Upstreams, at(1, 12), listing(&["b", "c"]));
    let change = ViewChange { revision: at(1, 13), update: Update::Upstream("a".into(), None) };
    view.apply_changes(0, Topic::Upstreams, at(1, 13), vec![change]);
    view.replace(SEC, Topic::Upstreams, at(2, 4), listing(&["a", "b", "c"]));
    assert_eq!(usable(&view), ["b", "c"].map(Name::from));
}

/// An upstream that had left by an expired entry and registers again is used at once.
#[test]
fn upstream_that_registers_again_after_the_return_is_used() {
    let mut view = view();
    view.apply(0, Update::Upstream("a".into(), None));
    view.replace(0, Topic::Upstreams, at(2, 4), listing(&["a", "b", "c"]));
    let update = Update::Upstream("a".into(), Some(upstream("z")));
    let change = ViewChange { revision: at(2, 5), update };
    view.apply_changes(SEC, Topic::Upstreams, at(2, 5), vec![change]);
    assert_eq!(usable(&view).len(), 3);
    assert!(view.end_holds(9 * SEC).is_empty());
}

/// An entry that is in doubt and expires is gone.
#[test]
fn entry_in_doubt_that_expires_does_not_return() {
    let mut view = view();
    view.apply(0, Update::Upstream("a".into(), None));
    view.replace(0, Topic::Upstreams, at(2, 4), listing(&["a", "b", "c"]));
    view.apply(SEC, Update::Upstream("a".into(), None));
    assert!(view.end_holds(9 * SEC).is_empty());
    assert_eq!(usable(&view), ["b", "c"].map(Name::from));
}

/// Returns a view as of number 9 of era 1 in which zone `z` is out of service.
fn view_without_zone() -> View {
    let mut view = view();
    view.replace(0, Topic::Control, at(1, 9), vec![Update::Zone("z".into(), true)]);
    view
}

/// The copy lacks that a zone was taken out of service, and requests reached it until that was written
/// again.
#[test]
fn zone_that_the_copy_lacks_stays_out_of_service() {
    let now = 7 * SEC;
    let mut view = view_without_zone();
    assert!(view.replace(now, Topic::Control, at(2, 4), Vec::new()).is_empty());
    assert!(view.replace(now + SEC, Topic::Control, at(2, 5), Vec::new()).is_empty());
    assert_eq!(out(&view), [Name::from("z")]);
    // Written again, it stays out until it is taken back.
    view.apply(now + SEC, Update::Zone("z".into(), true));
    assert!(view.end_holds(now + 2 * ZONE_HOLD).is_empty());
    view.apply(now + SEC, Update::Zone("z".into(), false));
    assert!(view.out.is_empty());
}

/// A zone that was taken out and back in the lost seconds is not written again.
#[test]
fn zone_that_nobody_takes_out_again_returns() {
    let mut view = view_without_zone();
    view.replace(0, Topic::Control, at(2, 4), Vec::new());
    assert!(view.end_holds(ZONE_HOLD - 1).is_empty());
    assert_eq!(view.end_holds(ZONE_HOLD), [Effect::Zone("z".into(), false)]);
}

/// A zone that the copy still has out of service is out until that is taken back again.
#[test]
fn zone_that_the_copy_has_out_of_service_is_out() {
    let mut view = view();
    view.replace(0, Topic::Control, at(1, 9), Vec::new());
    view.replace(0, Topic::Control, at(2, 4), vec![Update::Zone("z".into(), true)]);
    assert_eq!(out(&view), [Name::from("z")]);
}

/// A peer holds a zone for a limited time, and so does a node that hears of it there, also one that did
/// not know that the zone was out.
#[test]
fn zone_that_a_peer_only_holds_returns_at_the_same_time() {
    let mut sender = view_without_zone();
    sender.replace(0, Topic::Control, at(2, 4), Vec::new());
    let sent_at: Micros = 4 * SEC;
    let held = sender.held_zones(sent_at);
    assert_eq!(held, BTreeMap::from([(Name::from("z"), ZONE_HOLD - 4 * SEC)]));
    for mut receiver in [view_without_zone(), view(), View::default()] {
        receiver.update_zones(sent_at, at(2, 4), sender.out.clone(), &held);
        assert_eq!(out(&receiver), [Name::from("z")]);
        assert!(receiver.end_holds(ZONE_HOLD - 1).is_empty());
        assert_eq!(receiver.end_holds(ZONE_HOLD), [Effect::Zone("z".into(), false)]);
    }
}

/// A listing of the new era that a peer hands on begins the same grace, also if the peer started after
/// the return and tells of none.
#[test]
fn snapshot_of_a_peer_begins_the_grace_of_its_era() {
    let mut sender = View::default();
    sender.replace(SEC, Topic::Upstreams, at(2, 4), listing(&["a", "b"]));
    let mut receiver = view();
    receiver.update_upstreams(SEC, sender.through, sender.listed(), &sender.kept(SEC), true);
    assert_eq!(usable(&receiver).len(), 3);
    assert_eq!(receiver.expire(SEC + REGISTRATION_GRACE), [Name::from("c")]);
}

/// An answer of the older era that arrives late changes nothing.
#[test]
fn older_era_is_ignored_once_a_newer_one_is_known() {
    let mut view = view();
    view.replace(0, Topic::Upstreams, at(2, 4), listing(&["a", "b", "c"]));
    let known = view.clone();
    let effects = view.update_upstreams(0, at(1, 900), BTreeMap::new(), &BTreeMap::new(), true);
    assert!(
        effects.is_empty()
            && view.update_zones(0, 0, ["z".into()].into(), &BTreeMap::new()).is_empty()
    );
    view.advance(Topic::Upstreams, at(1, 900));
    assert_eq!(view, known);
}

/// A peer of the older era gets everything, since the changes after its number are of another history.
#[test]
fn history_of_an_era_has_no_changes_for_a_position_before_it() {
    let mut history = History::default();
    history.reset(at(2, 4));
    history.extend(&[ViewChange { revision: at(2, 5), update: Update::Zone("z".into(), true) }]);
    assert_eq!(history.since(at(1, 900)), None);
    assert_eq!(history.since(at(2, 4)).map(|changes| changes.len()), Some(1));
}
