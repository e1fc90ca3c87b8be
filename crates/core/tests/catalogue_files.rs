//! Compares the errors of invalid catalogue files and the documents of the example catalogues
//! with snapshots.

use std::path::Path;

use bbv_core::catalogue::{Catalogue, check_document};
use bbv_core::documents::DocumentChange;

type TestResult = datatest_stable::Result<()>;

fn snapshot_name(path: &Path) -> String {
    path.file_stem().map(|stem| stem.to_string_lossy().into_owned()).unwrap_or_default()
}

fn invalid_file(path: &Path) -> TestResult {
    let errors =
        Catalogue::parse(&std::fs::read_to_string(path)?).expect_err("the file is invalid");
    let lines: Vec<String> = errors.0.iter().map(|error| error.to_string()).collect();
    insta::assert_snapshot!(snapshot_name(path), lines.join("\n"));
    Ok(())
}

fn example_file(path: &Path) -> TestResult {
    let catalogue = Catalogue::parse(&std::fs::read_to_string(path)?)?;
    let documents = catalogue.documents();
    let lines: Vec<String> = documents.iter().map(|(key, text)| format!("{key} {text}")).collect();
    insta::assert_snapshot!(snapshot_name(path), lines.join("\n"));
    // Applying the documents in another order must yield the same catalogue.
    let mut rebuilt = Catalogue { zones: catalogue.zones.clone(), ..Catalogue::default() };
    for (key, text) in documents.into_iter().rev() {
        let change = DocumentChange { revision: 1, key, value: Some(text), published_ms: 0 };
        check_document(&change)?;
        rebuilt.apply(&change);
    }
    assert_eq!(rebuilt, catalogue);
    Ok(())
}

datatest_stable::harness! {
    { test = invalid_file, root = "tests/catalogues", pattern = r"\.yaml$" },
    { test = example_file, root = "../../examples", pattern = r"\.yaml$" },
}
