//! Spread of documents: any order gives the same result and nothing goes back.

use bbv_core::spread::{Change, Since, Spread, Taken};
use proptest::prelude::*;

fn change(revision: u64, key: u8, valid: bool) -> Change {
    let value = Some(if valid { format!("v{revision}") } else { "bad".to_owned() });
    Change { revision, key: format!("k{key}"), value, published_ms: 0 }
}

fn check(change: &Change) -> Result<(), String> {
    match change.value.as_deref() {
        Some("bad") => Err("is bad".to_owned()),
        _ => Ok(()),
    }
}

fn history(keys: &[(u8, bool)]) -> Vec<Change> {
    let numbered = keys.iter().enumerate();
    numbered.map(|(at, (key, valid))| change(at as u64 + 1, *key, *valid)).collect()
}

#[test]
fn invalid_document_leaves_the_former_one_in_force() {
    let mut spread = Spread::new(99);
    spread.offer(&history(&[(1, true)]), check);
    let taken = spread.offer(&[change(2, 1, false)], check);
    assert!(matches!(taken[..], [Taken::Refused(..)]));
    assert_eq!(spread.docs()["k1"].revision, 1);
    assert_eq!(spread.through(), 2);
}

#[test]
fn platform_that_goes_back_changes_nothing() {
    let mut spread = Spread::new(99);
    spread.offer(&history(&[(1, true), (1, true), (2, true)]), check);
    spread.snapshot(1, &[change(1, 1, true)], check);
    assert_eq!(spread.docs()["k1"].revision, 2);
    assert_eq!(spread.through(), 3);
}

#[test]
fn peer_too_far_behind_gets_everything() {
    let mut spread = Spread::new(2);
    spread.offer(&history(&[(1, true), (2, true), (3, true), (1, true)]), check);
    assert!(matches!(spread.since(3), Since::Changes(changes) if changes.len() == 1));
    let Since::Snapshot(through, docs) = spread.since(0) else { panic!("expected a snapshot") };
    assert_eq!((through, docs.len()), (4, 3));
    let mut other = Spread::new(2);
    other.snapshot(through, &docs, check);
    assert_eq!(other.docs(), spread.docs());
}

proptest! {
    #[test]
    fn any_order_with_repeats_gives_the_same(
        keys in prop::collection::vec((0_u8..4, prop::bool::weighted(0.8)), 1..30),
        order in prop::collection::vec((any::<prop::sample::Index>(), 1_usize..4), 0..60),
    ) {
        let history = history(&keys);
        let mut straight = Spread::new(99);
        straight.offer(&history, check);
        let mut mixed = Spread::new(99);
        let mut last = std::collections::BTreeMap::new();
        for (at, count) in order {
            let from = at.index(history.len());
            let part = &history[from..(from + count).min(history.len())];
            let before = mixed.through();
            mixed.offer(part, check);
            prop_assert!(mixed.through() >= before);
            for (key, doc) in mixed.docs() {
                let known = last.entry(key.clone()).or_insert(0);
                prop_assert!(doc.revision >= *known, "{key} went back");
                *known = doc.revision;
            }
        }
        mixed.offer(&history, check);
        prop_assert_eq!(mixed.through(), history.len() as u64);
        prop_assert_eq!(mixed.docs(), straight.docs());
    }
}
