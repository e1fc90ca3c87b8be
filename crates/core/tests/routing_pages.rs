//! Replays transfers of routings in pages in unusual orders.

use std::collections::BTreeMap;
use std::sync::Arc;

use bbv_core::homes::Homes;
use bbv_core::organisation::Organisation;
use bbv_core::route::{CallerLimits, Route, Routing, WeightedService};
use bbv_core::routing_page::{PageResult, RecentRoutings, RoutingTransfer};
use bbv_core::view::{Topic, Update, View, ViewChange};

const LIMITS: CallerLimits = CallerLimits { head: 1, body: 1, head_time: 1, idle: 1 };

fn route(number: usize, attempts: u32) -> Route {
    Route {
        name: format!("added-route-with-a-name-of-usual-length-{number:05}").into(),
        host: "host.example".into(),
        prefix: format!("/added-route-with-a-name-of-usual-length-{number:05}/"),
        parts: vec![WeightedService { service: "s".into(), weight: 1 }],
        idempotent: true,
        timeout: 1,
        target: 1,
        attempts,
        rank: 0,
        homes: Homes::default(),
        keyless: false,
    }
}

fn routing(version: u64, count: usize) -> Arc<Routing> {
    let routes = (0..count).map(|number| route(number, 1)).collect();
    Arc::new(Routing::new(version, LIMITS, BTreeMap::new(), routes))
}

fn is_last(result: PageResult) -> bool {
    matches!(result, PageResult::Complete(_))
}

fn sender(versions: &[(u64, usize)]) -> RecentRoutings {
    let mut recent = RecentRoutings::default();
    for (version, count) in versions {
        recent.push(*version, routing(*version, *count));
    }
    recent
}

/// A node whose start listing was older than the zones it had from a peer served an evacuated zone
/// for as long as nothing else changed.
#[test]
fn older_listing_does_not_undo_a_newer_evacuation() {
    let mut view = View::default();
    view.update_zones(0, 120, ["z".into()].into(), &BTreeMap::new());
    view.replace(0, Topic::Control, 110, Vec::new());
    view.update_zones(0, 120, ["z".into()].into(), &BTreeMap::new());
    view.advance(Topic::Control, 120);
    assert!(view.out.contains("z"), "zones as of 120 are known, and z is out as of 120");
}

/// The same by a watch whose response was on its way while a peer's zones arrived.
#[test]
fn older_watch_does_not_undo_a_newer_evacuation() {
    let mut view = View::default();
    view.advance(Topic::Control, 100);
    view.update_zones(0, 120, ["z".into()].into(), &BTreeMap::new());
    let restored = ViewChange { revision: 105, update: Update::Zone("z".into(), false) };
    view.apply_changes(0, Topic::Control, 110, vec![restored]);
    view.update_zones(0, 120, ["z".into()].into(), &BTreeMap::new());
    assert!(view.out.contains("z"));
}

/// Two pulls at once ask for the same first page; the later reply threw the pages away.
#[test]
fn first_page_that_arrives_again_keeps_the_pages_received() {
    let mut sender = sender(&[(12, 1_400)]);
    let mut transfer = RoutingTransfer::default();
    let first = sender.page(&transfer.request(0)).expect("a page");
    transfer.add(first.clone(), &RecentRoutings::default());
    let second = sender.page(&transfer.request(0)).expect("a page");
    transfer.add(second, &RecentRoutings::default());
    let before = transfer.request(0).offset;
    transfer.add(first, &RecentRoutings::default());
    assert_eq!(transfer.request(0).offset, before);
}

/// A peer that is behind made a node throw away its part of a newer routing.
#[test]
fn page_of_an_older_version_keeps_the_pages_received() {
    let (mut newer, mut older) = (sender(&[(14, 1_400)]), sender(&[(12, 1_400)]));
    let mut transfer = RoutingTransfer::default();
    for _ in 0..3 {
        let page = newer.page(&transfer.request(0)).expect("a page");
        transfer.add(page, &RecentRoutings::default());
    }
    let before = transfer.request(0);
    if let Some(page) = older.page(&before) {
        transfer.add(page, &RecentRoutings::default());
    }
    assert_eq!(transfer.request(0), before);
}

/// Two peers with one version each, pages cut off in turn: the node never gets on.
#[test]
fn transfer_ends_with_peers_of_different_versions_in_turn() {
    let mut peers = [sender(&[(12, 1_400)]), sender(&[(14, 1_400)])];
    let mut transfer = RoutingTransfer::default();
    let done = (0..100).any(|step| {
        let page = peers[step % 2].page(&transfer.request(0));
        page.is_some_and(|page| is_last(transfer.add(page, &RecentRoutings::default())))
    });
    assert!(done, "no routing after 100 pages");
}

/// While versions follow each other, a node that starts never got any.
#[test]
fn transfer_ends_while_versions_follow_each_other() {
    for pages_per_version in [1, 5, 8] {
        let mut sender = sender(&[(10, 4_200)]);
        let mut transfer = RoutingTransfer::default();
        let mut version = 10;
        let done = (1..=400).any(|step| {
            if step % pages_per_version == 0 {
                version += 1;
                sender.push(version, routing(version, 4_200));
            }
            let page = sender.page(&transfer.request(0)).expect("a page");
            is_last(transfer.add(page, &RecentRoutings::default()))
        });
        assert!(done, "no routing after 400 pages, {pages_per_version} a version");
    }
}

/// Same version with other routes: the transfer neither ends nor starts again.
#[test]
fn transfer_ends_with_peers_that_differ_in_one_version() {
    let (mut one, mut other) = (sender(&[(12, 1_400)]), sender(&[(12, 100)]));
    let mut transfer = RoutingTransfer::default();
    for _ in 0..2 {
        let page = one.page(&transfer.request(0)).expect("a page");
        transfer.add(page, &RecentRoutings::default());
    }
    let done = (0..256).any(|_| {
        let page = other.page(&transfer.request(0));
        page.is_some_and(|page| is_last(transfer.add(page, &RecentRoutings::default())))
    });
    assert!(done, "no routing after 256 pages");
}

fn organisation(number: usize, key: &str) -> Arc<Organisation> {
    Arc::new(Organisation {
        name: format!("organisation-{number}").into(),
        keys: [key.to_owned()].into(),
        rank: None,
        quota: None,
        homes: Homes::default(),
    })
}

#[test]
fn organisations_spread_as_changes_and_revoked_keys_are_gone() {
    let list =
        |key: &str, count| (0..count).map(|n| organisation(n, &format!("{key}{n}"))).collect();
    let old = Routing::new(3, LIMITS, BTreeMap::new(), Vec::new());
    let old = Arc::new(old.with_organisations(list("a", 3)));
    let mut changed: Vec<Arc<Organisation>> = list("a", 2);
    changed[1] = organisation(1, "b");
    let new = Routing::new(4, LIMITS, BTreeMap::new(), Vec::new()).with_organisations(changed);
    let changes = new.changes_from(Some(&old));
    assert_eq!(changes.len(), 2, "one organisation changed and one was removed: {changes:?}");
    let received = Routing::from_changes(Some(&old), 4, LIMITS, BTreeMap::new(), changes);
    assert_eq!(received, new);
    assert!(
        received.organisations.find("a1").is_none() && received.organisations.find("a2").is_none()
    );
    assert!(
        received.organisations.find("b").is_some() && received.organisations.find("a0").is_some()
    );
}
