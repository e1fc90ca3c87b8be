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

fn routing(organisations: Vec<Arc<Organisation>>) -> Routing {
    let limits = CallerLimits { head: 1, body: 1, head_time: 1, idle: 1 };
    Routing::new(1, limits, Default::default(), Vec::new()).with_organisations(organisations)
}

fn verdict(keyless: bool, sender: Sender<'_>, standing: Standing) -> Verdict {
    let route = Route {
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
    };
    judge(&routing(vec![organisation()]), &route, sender, standing)
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
