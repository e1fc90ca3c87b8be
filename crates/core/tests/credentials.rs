//! Tests of the decision about keys. A denial is final for a caller, so a node that may lack a key must
//! not deny it, and one that may lack the word that a key was taken away must not accept it.

use std::sync::Arc;

use bbv_core::credential::{Sender, Standing, Verdict, judge};
use bbv_core::homes::Homes;
use bbv_core::organisation::Organisation;
use bbv_core::route::{CallerLimits, Route, Routing};

const SOUND: Standing = Standing { behind: false, proven: true };

fn organisation() -> Arc<Organisation> {
    Arc::new(Organisation {
        name: "o".into(),
        keys: ["k".to_owned()].into(),
        rank: None,
        quota: None,
        homes: Homes::default(),
    })
}

const LIMITS: CallerLimits = CallerLimits { head: 1, body: 1, head_time: 1, idle: 1 };

fn routing(organisations: Vec<Arc<Organisation>>) -> Routing {
    Routing::new(1, LIMITS, Default::default(), Vec::new()).with_organisations(organisations)
}

fn route(keyless: bool) -> Route {
    Route {
        name: "r".into(),
        host: "h".into(),
        prefix: "/".into(),
        parts: Vec::new(),
        idempotent: true,
        timeout: 1,
        target: 1,
        attempts: 1,
        rank: 0,
        homes: Homes::default(),
        keyless,
    }
}

fn verdict(keyless: bool, sender: Sender<'_>, standing: Standing) -> Verdict {
    judge(&routing(vec![organisation()]), &route(keyless), sender, standing)
}

#[test]
fn key_names_its_organisation() {
    let held = Verdict::Held(organisation());
    assert_eq!(verdict(false, Sender::Caller(Some("k")), SOUND), held);
    assert_eq!(verdict(false, Sender::Caller(Some("x")), SOUND), Verdict::Unknown);
    assert_eq!(verdict(false, Sender::Caller(None), SOUND), Verdict::Unknown);
    assert_eq!(verdict(true, Sender::Caller(None), SOUND), Verdict::Unneeded);
}

#[test]
fn calls_of_running_requests_need_no_key() {
    let unproven = Standing { behind: true, proven: false };
    assert_eq!(verdict(false, Sender::RunningRequest, unproven), Verdict::Unneeded);
    assert_eq!(verdict(false, Sender::EndedRequest, SOUND), Verdict::Orphaned);
}

#[test]
fn node_that_is_behind_denies_no_key() {
    let behind = Standing { behind: true, proven: true };
    assert_eq!(verdict(false, Sender::Caller(Some("x")), behind), Verdict::Behind);
    assert_eq!(verdict(false, Sender::Caller(Some("k")), behind), Verdict::Held(organisation()));
}

#[test]
fn node_without_proof_neither_accepts_nor_denies_a_key() {
    let unproven = Standing { behind: false, proven: false };
    for key in ["k", "x"] {
        assert_eq!(verdict(false, Sender::Caller(Some(key)), unproven), Verdict::Unproven);
    }
}

/// Under overload the requests of organisations of equal rank would all wait alike, whatever their
/// routes ask for, if the rank of the organisation replaced that of the route altogether.
#[test]
fn rank_of_the_organisation_goes_before_that_of_the_route() {
    let route = |rank: u8| Route { rank, prefix: format!("/{rank}/"), ..self::route(false) };
    let with_rank = |rank| Organisation { rank, ..Organisation::clone(&organisation()) };
    let routes = vec![route(0), route(2)];
    let plain = Routing::new(1, LIMITS, Default::default(), routes.clone());
    assert_eq!(plain.rank(&route(2), None), 2);
    let keyed = plain.with_organisations(vec![organisation()]);
    let rank = |first, of_route| keyed.rank(&route(of_route), Some(&with_rank(first)));
    assert!(rank(Some(0), 0) < rank(Some(0), 2));
    assert!(rank(Some(0), 2) < rank(Some(1), 0));
    assert_eq!(rank(None, 2), rank(Some(2), 2));
    assert_eq!(keyed.rank(&route(0), None), 0);
    assert_eq!(rank(Some(255), 2), 255);
}
