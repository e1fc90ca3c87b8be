//! Tests that the operations page documents every event and every setting.

use std::fs;
use std::path::Path;

use bbv_mesh::event::EVENTS;
use bbv_mesh::settings::Settings;

fn read(path: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..").join(path);
    fs::read_to_string(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

#[test]
fn operations_page_documents_every_event() {
    let page = read("docs/OPERATIONS.md");
    for event in EVENTS {
        assert!(page.contains(&format!("`{}`", event.name())), "{}", event.name());
    }
}

/// Replaces each placeholder of a line by an example that fits its field.
fn fill(line: &str) -> String {
    let example = match line {
        line if line.contains("_mb|") => "160",
        line if line.contains("_s|") || line.contains("budget") => "1",
        line if line.contains("listen") || line.contains("addr") => "10.0.0.1:80",
        line if line.starts_with("notices") || line.starts_with("metrics") => return address(line),
        _ => "name",
    };
    let mut filled = String::new();
    let mut rest = line;
    while let Some((before, after)) = rest.split_once("{{") {
        let (_, after) = after.split_once("}}").expect("a placeholder ends on its line");
        filled += before;
        filled += example;
        rest = after;
    }
    filled + rest
}

fn address(line: &str) -> String {
    let (key, _) = line.split_once(": ").expect("an address stands behind its key");
    format!("{key}: 10.0.0.1:80")
}

/// The settings template with its placeholders filled in, and each section rendered once, parses as
/// complete settings, and the operations page documents all of its fields.
#[test]
fn template_is_complete_and_documented() {
    let page = read("docs/OPERATIONS.md");
    let mut text = String::new();
    for line in read("platform/settings.yaml").lines() {
        let is_section = line.starts_with("{{#") || line.starts_with("{{/");
        if line.starts_with('#') || is_section {
            continue;
        }
        let (key, _) = line.split_once(':').unwrap_or_else(|| panic!("{line} has no key"));
        if !line.starts_with(' ') {
            assert!(page.contains(&format!("| `{key}` |")), "{key}");
        }
        text += &(fill(line) + "\n");
    }
    let settings = Settings::parse(&text).expect("the template sets every required field");
    assert_eq!(settings.node, "name");
    assert_eq!(settings.region("name"), Some("name"));
    assert!(settings.metrics.is_some() && settings.revocation.is_some());
    assert_eq!(settings.request_memory, 40 << 20);
}
