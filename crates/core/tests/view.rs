//! Tests of the view of the fleet: which upstreams stay in use after an outage, and for how long.

use std::collections::BTreeMap;

use bbv_core::route::Name;
use bbv_core::units::{Micros, SEC};
use bbv_core::view::{
    Effect, PublishedUpstream, REGISTRATION_GRACE, Topic, Update, View, ViewChange,
};

fn upstream() -> PublishedUpstream {
    PublishedUpstream {
        service: "s".into(),
        addr: ([127, 0, 0, 1], 1).into(),
        zone: "z".into(),
        slots: 9,
        draining: false,
        born: None,
    }
}

/// Returns a view as of revision 5 with the upstreams `a` and `b`.
fn view() -> View {
    let mut view = View::default();
    let listing = ["a", "b"].map(|id| Update::Upstream(id.into(), Some(upstream())));
    view.replace(0, Topic::Upstreams, 5, listing.to_vec());
    view
}

/// Returns the view of a node that read the store at `now`, after an outage in which `a` had expired.
fn view_after_outage(now: Micros) -> View {
    let mut view = view();
    view.platform_recovered(now, now);
    view.replace(now, Topic::Upstreams, 8, vec![Update::Upstream("b".into(), Some(upstream()))]);
    view
}

fn names(view: &View) -> Vec<&str> {
    view.upstreams.keys().map(|id| &**id).collect()
}

/// A snapshot did not say which upstreams were only kept, so that its receiver used them for good.
#[test]
fn upstream_that_a_peer_only_keeps_expires_here_as_well() {
    let now = 7 * SEC;
    let sender = view_after_outage(now);
    let sent_at = now + SEC;
    let kept = sender.kept(sent_at);
    assert_eq!(kept, BTreeMap::from([(Name::from("a"), REGISTRATION_GRACE - SEC)]));
    let mut receiver = view();
    let effects = receiver.update_upstreams(sent_at, 8, sender.upstreams.clone(), &kept, true);
    assert_eq!(effects, [Effect::UpstreamExpired("a".into())]);
    assert_eq!(receiver.expire(now + REGISTRATION_GRACE - 1), Vec::<Name>::new());
    assert_eq!(names(&receiver), ["a", "b"]);
    assert_eq!(receiver.expire(now + REGISTRATION_GRACE), [Name::from("a")]);
    assert_eq!(names(&receiver), ["b"]);
}

/// The node that received a snapshot handed it on, and the limit was lost on the second way.
#[test]
fn limit_of_a_kept_upstream_is_handed_on_again() {
    let now = 7 * SEC;
    let sender = view_after_outage(now);
    let mut second = View::default();
    second.update_upstreams(now, 8, sender.upstreams.clone(), &sender.kept(now), true);
    let mut third = View::default();
    let later = now + 2 * SEC;
    third.update_upstreams(later, 8, second.upstreams.clone(), &second.kept(later), true);
    assert_eq!(third.expire(now + REGISTRATION_GRACE), [Name::from("a")]);
}

/// A peer that keeps an upstream must not make others drop it at once, nor longer than itself.
#[test]
fn removal_that_a_peer_waits_with_is_applied_when_its_time_is_over() {
    let removal = ViewChange { revision: 8, update: Update::Upstream("a".into(), None) };
    let mut receiver = view();
    let kept = BTreeMap::from([(Name::from("a"), SEC)]);
    receiver.apply_upstreams(0, 8, vec![removal.clone()], &kept, true);
    assert_eq!(names(&receiver), ["a", "b"]);
    assert_eq!(receiver.expire(SEC), [Name::from("a")]);
    let mut receiver = view();
    receiver.apply_upstreams(0, 8, vec![removal], &BTreeMap::new(), true);
    assert_eq!(names(&receiver), ["b"]);
}

/// An upstream that registers again while it is kept stays.
#[test]
fn kept_upstream_that_registers_again_stays() {
    let mut view = view_after_outage(SEC);
    view.apply(2 * SEC, Update::Upstream("a".into(), Some(upstream())));
    assert!(view.kept(2 * SEC).is_empty());
    assert_eq!(view.expire(9 * SEC), Vec::<Name>::new());
}

/// An upstream that left right after an outage had the time of those whose entries expired in it.
#[test]
fn upstream_that_leaves_after_the_first_complete_content_is_gone_at_once() {
    let mut view = view_after_outage(7 * SEC);
    assert_eq!(names(&view), ["a", "b"]);
    view.end_grace();
    let effect = view.apply(7 * SEC, Update::Upstream("b".into(), None));
    assert_eq!(effect, Effect::UpstreamRemoved("b".into()));
    assert_eq!(names(&view), ["a"], "the one that expired in the outage is still kept");
}

/// The time of missing upstreams was counted from the first answer alone, which may come long after the
/// end of the outage.
#[test]
fn missing_upstreams_are_kept_from_the_end_of_the_outage() {
    let now = 7 * SEC;
    let left = |ended: Micros| {
        let mut view = view();
        view.platform_recovered(now, ended);
        view.grace_left(now)
    };
    assert_eq!(left(now), REGISTRATION_GRACE);
    assert_eq!(left(now - SEC), 3 * SEC - SEC - 150_000);
    assert_eq!(left(now - 2 * SEC), 850_000);
}

/// The time for which a zone that was cut off keeps upstreams spread to nodes which had no outage.
#[test]
fn node_without_an_outage_drops_what_a_peer_only_keeps() {
    let now = 7 * SEC;
    let sender = view_after_outage(now);
    let kept = sender.kept(now);
    let mut receiver = view();
    receiver.update_upstreams(now, 8, sender.upstreams.clone(), &kept, false);
    assert_eq!(names(&receiver), ["b"]);
    let removal = ViewChange { revision: 8, update: Update::Upstream("a".into(), None) };
    let mut receiver = view();
    receiver.apply_upstreams(now, 8, vec![removal], &kept, false);
    assert_eq!(names(&receiver), ["b"]);
}
