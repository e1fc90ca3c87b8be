//! Applying document changes in any order gives the same documents, and no revision goes back.

use bbv_core::documents::{CatchUp, ChangeOutcome, DocumentChange, Documents};
use proptest::prelude::*;

fn change(revision: u64, key: u8, valid: bool) -> DocumentChange {
    let value = Some(if valid { format!("v{revision}") } else { "bad".to_owned() });
    DocumentChange { revision, key: format!("k{key}"), value, published_ms: 0 }
}

fn check(change: &DocumentChange) -> Result<(), String> {
    match change.value.as_deref() {
        Some("bad") => Err("is bad".to_owned()),
        _ => Ok(()),
    }
}

fn history(keys: &[(u8, bool)]) -> Vec<DocumentChange> {
    let numbered = keys.iter().enumerate();
    numbered.map(|(index, (key, valid))| change(index as u64 + 1, *key, *valid)).collect()
}

#[test]
fn invalid_document_leaves_the_previous_version_in_force() {
    let mut documents = Documents::new(99);
    documents.apply(&history(&[(1, true)]), check);
    let outcomes = documents.apply(&[change(2, 1, false)], check);
    assert!(matches!(outcomes[..], [ChangeOutcome::Refused(..)]));
    assert_eq!(documents.docs()["k1"].revision, 1);
    assert_eq!(documents.through(), 2);
}

#[test]
fn older_snapshot_changes_nothing() {
    let mut documents = Documents::new(99);
    documents.apply(&history(&[(1, true), (1, true), (2, true)]), check);
    documents.apply_snapshot(1, &[change(1, 1, true)], check);
    assert_eq!(documents.docs()["k1"].revision, 2);
    assert_eq!(documents.through(), 3);
}

#[test]
fn peer_too_far_behind_gets_a_snapshot() {
    let mut documents = Documents::new(2);
    documents.apply(&history(&[(1, true), (2, true), (3, true), (1, true)]), check);
    assert!(matches!(documents.catch_up(3), CatchUp::Changes(changes) if changes.len() == 1));
    let CatchUp::Snapshot(through, docs) = documents.catch_up(0) else {
        panic!("expected a snapshot")
    };
    assert_eq!((through, docs.len()), (4, 3));
    let mut peer = Documents::new(2);
    peer.apply_snapshot(through, &docs, check);
    assert_eq!(peer.docs(), documents.docs());
}

proptest! {
    #[test]
    fn any_order_with_duplicates_gives_the_same_documents(
        keys in prop::collection::vec((0_u8..4, prop::bool::weighted(0.8)), 1..30),
        order in prop::collection::vec((any::<prop::sample::Index>(), 1_usize..4), 0..60),
    ) {
        let history = history(&keys);
        let mut in_order = Documents::new(99);
        in_order.apply(&history, check);
        let mut shuffled = Documents::new(99);
        let mut revisions = std::collections::BTreeMap::new();
        for (start, count) in order {
            let from = start.index(history.len());
            let part = &history[from..(from + count).min(history.len())];
            let before = shuffled.through();
            shuffled.apply(part, check);
            prop_assert!(shuffled.through() >= before);
            for (key, doc) in shuffled.docs() {
                let known = revisions.entry(key.clone()).or_insert(0);
                prop_assert!(doc.revision >= *known, "{key} went back");
                *known = doc.revision;
            }
        }
        shuffled.apply(&history, check);
        prop_assert_eq!(shuffled.through(), history.len() as u64);
        prop_assert_eq!(shuffled.docs(), in_order.docs());
    }
}
