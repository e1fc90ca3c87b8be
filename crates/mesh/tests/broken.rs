//! Upstreams that end a response early: no caller gets a success, and the request counts as one
//! that may have run.

use bbv_stand::caller;
use bbv_stand::fleet::Fleet;
use bbv_stand::upstream::{Behaviour, Cut, Ending};

const CUTS: [Cut; 12] = [
    Cut::Status,
    Cut::StatusLine,
    Cut::Fields,
    Cut::Name,
    Cut::Value,
    Cut::Length,
    Cut::BlankLine,
    Cut::Head,
    Cut::Body,
    Cut::ChunkedHead,
    Cut::Chunk,
    Cut::LastChunk,
];
const ENDINGS: [Ending; 3] = [Ending::Closes, Ending::HalfCloses, Ending::Resets];

/// Returns every response that is not complete.
fn breaks() -> Vec<Behaviour> {
    let framed = CUTS.into_iter().flat_map(|cut| ENDINGS.map(|end| Behaviour::Breaks(cut, end)));
    // A body without a length is complete if its connection is closed, but not if it is reset.
    framed.chain([Behaviour::Breaks(Cut::Unframed, Ending::Resets)]).collect()
}

/// Checks that a request through node 0 to the only usable upstream, of member `target`, fails and
/// runs once.
async fn check_failure(fleet: &Fleet, target: usize) {
    let upstream = &fleet.members[target].upstream;
    for behaviour in breaks() {
        for (method, path) in [("POST", "/post/1"), ("GET", "/get/1")] {
            upstream.set_behaviour(behaviour);
            let before = fleet.runs();
            let text = caller::request(method, path, "id-1", 3_000, "");
            let response = caller::send(fleet.callers(0), &text).await;
            let found = (response.status, fleet.runs() - before);
            assert_eq!(found, (502, 1), "{behaviour:?} {method}: {response:?}");
        }
    }
    upstream.set_behaviour(Behaviour::Answers);
    assert!(fleet.get(0, "/get/1", "id-2").await.is_complete("id-2"));
}

/// An upstream stopped inside the head of its response, and callers got a 200 with an empty body.
#[tokio::test]
async fn response_that_ends_early_is_no_success() {
    let fleet = Fleet::start(&["z"]).await;
    check_failure(&fleet, 0).await;
}

/// The same behind the gate of another VM.
#[tokio::test]
async fn response_that_ends_early_at_another_vm_is_no_success() {
    let fleet = Fleet::start(&["a", "b"]).await;
    fleet.store.put("op/evacuate/a", &serde_json::json!({}));
    fleet.wait_until_applied().await;
    check_failure(&fleet, 1).await;
}

/// A request that may run twice gets the whole response of another upstream.
#[tokio::test]
async fn idempotent_request_is_retried_after_a_broken_response() {
    let fleet = Fleet::start(&["z", "z"]).await;
    for index in 0..20 {
        fleet.get(0, "/get/warm", &format!("warm-{index}")).await;
    }
    for (index, behaviour) in breaks().into_iter().enumerate() {
        fleet.members[index % 2].upstream.set_behaviour(behaviour);
        let before = fleet.runs();
        let id = format!("id-{index}");
        let response = fleet.get(0, "/get/1", &id).await;
        let runs = fleet.runs() - before;
        assert!(response.is_complete(&id) && runs <= 2, "{behaviour:?}: {runs} runs, {response:?}");
        fleet.members[index % 2].upstream.set_behaviour(Behaviour::Answers);
    }
}
