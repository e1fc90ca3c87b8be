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

/// The settings template with its placeholders filled in parses as complete settings, and the
/// operations page documents all of its fields.
#[test]
fn template_is_complete_and_documented() {
    let page = read("docs/OPERATIONS.md");
    let mut text = String::new();
    for line in read("platform/settings.yaml").lines() {
        if line.starts_with('#') {
            continue;
        }
        if line.starts_with("  - ") {
            text += &format!("{}\n", line.replace("{{@}}", "name").replace("{{.|json}}", "name"));
            continue;
        }
        if let Some(key) = line.strip_suffix(':') {
            assert!(page.contains(&format!("| `{key}` |")), "{key}");
            text += &format!("{line}\n");
            continue;
        }
        let Some((key, value)) = line.split_once(": ") else { continue };
        assert!(page.contains(&format!("| `{key}` |")), "{key}");
        let example = match value {
            value if value.contains("_s|") || value.contains("budget") => "1",
            value if value.contains("listen") || value.contains("addr") => "10.0.0.1:80",
            value if value.contains("{{ip}}") => "10.0.0.1:80",
            _ => "name",
        };
        text += &format!("{key}: {example}\n");
    }
    let settings = Settings::parse(&text).expect("the template sets every required field");
    assert_eq!(settings.node, "name");
    assert_eq!(settings.region("name"), Some("name"));
    assert!(settings.metrics.is_some());
}
