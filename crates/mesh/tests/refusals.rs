//! Upstreams that send a refusal once more on a kept connection: no caller is told that a request
//! did not run that has, and none runs twice.

use std::sync::atomic::Ordering;
use std::time::Duration;

use bbv_stand::fleet::{Fleet, wait_until};
use bbv_stand::upstream::Behaviour;

/// Number of requests whose next one meets a copy at various moments.
const ROUNDS: u64 = 24;

/// Starts nodes whose upstreams report that they are cold, so that a copy that passes as a health
/// response shows.
async fn start_cold(zones: &[&str]) -> Fleet {
    let fleet = Fleet::start(zones).await;
    for member in &fleet.members {
        member.upstream.cold_ms.store(60_000, Ordering::Relaxed);
    }
    wait_until("the health checks tell that the upstreams are cold", || is_cold(&fleet)).await;
    fleet
}

fn is_cold(fleet: &Fleet) -> bool {
    let running = fleet.members.iter().filter_map(|member| member.running.as_ref());
    running.map(|running| &running.node).all(|node| node.is_cold())
}

fn set_behaviour(fleet: &Fleet, behaviour: Behaviour) {
    fleet.members.iter().for_each(|member| member.upstream.set_behaviour(behaviour));
}

/// Returns how often the request with `id` ran.
fn runs_of(fleet: &Fleet, id: &str) -> usize {
    let runs = |upstream: &bbv_stand::upstream::Upstream| {
        upstream.requests.lock().iter().filter(|request| request.has_id(id)).count()
    };
    fleet.members.iter().map(|member| runs(&member.upstream)).sum()
}

/// Sends a request that must not run twice; if it is refused, it must not have run.
async fn check_post(fleet: &Fleet, id: &str) -> u16 {
    let before = runs_of(fleet, id);
    let response = fleet.post(0, "/post/1", id).await;
    let runs = runs_of(fleet, id) - before;
    match response.status {
        503 => assert_eq!(runs, 0, "{id}: refused and ran"),
        200 => assert!(runs == 1 && response.is_complete(id), "{id}: {runs} runs, {response:?}"),
        status => assert!(status == 502 && runs <= 1, "{id}: {runs} runs, status {status}"),
    }
    assert!(is_cold(fleet), "{id}: a copy passed as a health response");
    response.status
}

/// The copy arrives while the connection is idle, or just before, while or after the next request is
/// written on it.
#[tokio::test]
async fn late_copy_of_a_refusal_refuses_no_other_request() {
    for identified in [false, true] {
        let fleet = start_cold(&["z"]).await;
        let mut refused = 0;
        for round in 0..ROUNDS {
            set_behaviour(&fleet, Behaviour::RejectsTwice { identified });
            refused += usize::from(check_post(&fleet, &format!("first-{round}")).await == 503);
            set_behaviour(&fleet, Behaviour::Answers);
            tokio::time::sleep(Duration::from_micros(round * 250)).await;
            check_post(&fleet, &format!("next-{round}")).await;
        }
        assert!(refused > 0, "no request was refused");
    }
}

/// The copy arrives while the next request already runs.
#[tokio::test]
async fn copy_of_a_refusal_does_not_refuse_a_running_request() {
    for identified in [false, true] {
        let fleet = start_cold(&["z", "z"]).await;
        let mut refused = 0;
        for round in 0..ROUNDS {
            set_behaviour(&fleet, Behaviour::Rejects);
            refused += usize::from(check_post(&fleet, &format!("first-{round}")).await == 503);
            set_behaviour(&fleet, Behaviour::RepeatsRefusal { identified });
            check_post(&fleet, &format!("next-{round}")).await;
        }
        assert!(refused > 0, "no request was refused");
    }
}

/// Sends requests that are refused and come again with the same id while the upstream behaves in the
/// two ways; returns how many were refused.
async fn send_again(fleet: &Fleet, first: Behaviour, again: Behaviour) -> usize {
    let mut refused = 0;
    for round in 0..ROUNDS {
        let id = format!("id-{round}");
        set_behaviour(fleet, first);
        // A copy of the refusal of the round before may take the place of this one.
        refused += usize::from(check_post(fleet, &id).await == 503);
        set_behaviour(fleet, again);
        tokio::time::sleep(Duration::from_micros(round * 250)).await;
        check_post(fleet, &id).await;
    }
    refused
}

/// A request came again with the id that it had when it was refused. A copy of that refusal passed
/// for the word on the new request, which ran.
#[tokio::test]
async fn copy_of_a_refusal_with_the_same_id_does_not_refuse_a_running_request() {
    let fleet = start_cold(&["z"]).await;
    let again = Behaviour::RepeatsRefusal { identified: true };
    assert!(send_again(&fleet, Behaviour::Rejects, again).await > 0, "no request was refused");
}

/// The same, with the copy sent before the new request is read.
#[tokio::test]
async fn late_copy_of_a_refusal_with_the_same_id_does_not_refuse_a_running_request() {
    let fleet = start_cold(&["z"]).await;
    let first = Behaviour::RejectsTwice { identified: true };
    let refused = send_again(&fleet, first, Behaviour::Answers).await;
    assert!(refused > 0, "no request was refused");
}
