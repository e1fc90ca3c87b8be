//! Order, bounds and close of the requests of one connection.

use bbv_core::pipeline::{Pipeline, Step};
use proptest::prelude::*;

const MAX_STARTED: usize = 3;

#[test]
fn requests_start_up_to_the_bound_and_go_on_with_each_turn() {
    let mut pipeline = Pipeline::new(MAX_STARTED);
    pipeline.begin(true);
    let steps: Vec<Step> = (1..=4).map(|turn| pipeline.step(turn, true)).collect();
    assert_eq!(steps, [Step::Start, Step::Start, Step::Start, Step::Wait]);
    assert_eq!(pipeline.step(2, true), Step::Pass, "a request starts once");
    assert_eq!(pipeline.begin(true), (1, true));
    assert_eq!(pipeline.step(4, true), Step::Start);
    assert_eq!(pipeline.step(5, true), Step::Wait);
}

#[test]
fn dependent_request_holds_back_what_follows_until_it_is_complete() {
    let mut pipeline = Pipeline::new(MAX_STARTED);
    pipeline.begin(true);
    assert_eq!(pipeline.step(1, false), Step::Wait);
    assert_eq!(pipeline.begin(false), (1, false));
    assert_eq!(pipeline.step(1, false), Step::Wait);
    pipeline.complete();
    assert_eq!(pipeline.step(1, false), Step::Pass);
    assert_eq!(pipeline.step(2, true), Step::Start);
}

#[test]
fn close_waits_for_what_has_started_and_lets_nothing_start() {
    let mut pipeline = Pipeline::new(MAX_STARTED);
    pipeline.begin(true);
    assert_eq!(pipeline.step(1, true), Step::Start);
    assert!(!pipeline.closes(true));
    assert_eq!(pipeline.step(2, true), Step::Wait);
    pipeline.begin(true);
    assert!(pipeline.closes(false));
}

#[derive(Clone, Debug)]
enum Action {
    Begin(bool),
    Complete,
    Look(bool),
    Close,
}

fn actions() -> impl Strategy<Value = Vec<Action>> {
    let action = prop_oneof![
        3 => any::<bool>().prop_map(Action::Begin),
        2 => Just(Action::Complete),
        6 => prop::bool::weighted(0.8).prop_map(Action::Look),
        1 => Just(Action::Close),
    ];
    prop::collection::vec(action, 1..60)
}

proptest! {
    /// Whatever the order of events, a request starts at most once, before its turn and within the
    /// bound, and the connection is not closed before it is answered.
    #[test]
    fn each_request_starts_once_within_bounds(actions in actions()) {
        let mut pipeline = Pipeline::new(MAX_STARTED);
        let (mut read, mut open, mut closing) = (0, Vec::new(), false);
        for action in actions {
            match action {
                Action::Begin(complete) => {
                    let (turn, started) = pipeline.begin(complete);
                    prop_assert_eq!(started, open.contains(&turn));
                    open.retain(|other| *other != turn);
                }
                Action::Complete => pipeline.complete(),
                Action::Look(independent) => match pipeline.step(read, independent) {
                    Step::Pass => read += 1,
                    Step::Start => {
                        prop_assert!(independent && !closing && read >= pipeline.next_turn());
                        open.push(read);
                        read += 1;
                    }
                    Step::Wait => {}
                },
                Action::Close => {
                    closing = true;
                    prop_assert_eq!(pipeline.closes(true), open.is_empty());
                }
            }
            prop_assert!(open.len() <= MAX_STARTED);
            prop_assert_eq!(pipeline.has_started(), !open.is_empty());
        }
    }
}
