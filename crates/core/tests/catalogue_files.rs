//! Every catalogue file beside this test and every example, by snapshot.

use std::path::Path;

use bbv_core::catalogue::{Catalogue, check_document};
use bbv_core::documents::DocumentChange;

type Outcome = datatest_stable::Result<()>;

fn name(path: &Path) -> String {
    path.file_stem().map(|stem| stem.to_string_lossy().into_owned()).unwrap_or_default()
}

fn faults(path: &Path) -> Outcome {
    let faults = Catalogue::parse(&std::fs::read_to_string(path)?).expect_err("the file is faulty");
    let lines: Vec<String> = faults.0.iter().map(|fault| fault.to_string()).collect();
    insta::assert_snapshot!(name(path), lines.join("\n"));
    Ok(())
}

fn example(path: &Path) -> Outcome {
    let catalogue = Catalogue::parse(&std::fs::read_to_string(path)?)?;
    let docs = catalogue.documents();
    let lines: Vec<String> = docs.iter().map(|(key, text)| format!("{key} {text}")).collect();
    insta::assert_snapshot!(name(path), lines.join("\n"));
    // Documents rebuild the catalogue, whatever order they come in.
    let mut rebuilt = Catalogue { zones: catalogue.zones.clone(), ..Catalogue::default() };
    for (key, text) in docs.into_iter().rev() {
        let change = DocumentChange { revision: 1, key, value: Some(text), published_ms: 0 };
        check_document(&change)?;
        rebuilt.apply(&change);
    }
    assert_eq!(rebuilt, catalogue);
    Ok(())
}

datatest_stable::harness! {
    { test = faults, root = "tests/catalogues", pattern = r"\.yaml$" },
    { test = example, root = "../../examples", pattern = r"\.yaml$" },
}
