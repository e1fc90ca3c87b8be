//! Typed reader of YAML mappings that collects all errors with their lines.
//!
//! bbv-node and bbv-mesh read their settings with it, and bbv-node its catalogue. It runs when a
//! file or document is loaded, not per request.

use std::collections::BTreeSet;
use std::ops::RangeInclusive;

use marked_yaml::types::MarkedMappingNode;
use marked_yaml::{Node, Span};

use super::error::{ConfigError, ConfigErrors};

/// Reads a YAML mapping and reports all errors, including fields that `parse` did not read.
///
/// ```
/// use bbv_core::catalogue::read_yaml;
/// assert_eq!(read_yaml("size: 3", |root| root.uint("size", 1..=9)), Ok(3));
/// assert_eq!(read_yaml("size: 30", |root| root.uint("size", 1..=9)).unwrap_err().0[0].line, 1);
/// assert!(read_yaml("size: 3\nsise: 4", |root| root.uint("size", 1..=9)).is_err());
/// ```
pub fn read_yaml<T>(
    text: &str,
    parse: impl FnOnce(&mut YamlReader<'_>) -> T,
) -> Result<T, ConfigErrors> {
    let node = marked_yaml::parse_yaml(0, text)
        .map_err(|error| ConfigErrors::one(0, "file", format!("could not read YAML: {error}")))?;
    let Node::Mapping(map) = &node else {
        return Err(ConfigErrors::one(1, "file", "expected a mapping"));
    };
    let mut errors = Vec::new();
    let mut root = YamlReader {
        map: Some(map),
        node: &node,
        path: String::new(),
        read_keys: BTreeSet::new(),
        errors: &mut errors,
    };
    let value = parse(&mut root);
    root.finish();
    errors.sort();
    errors.dedup();
    if errors.is_empty() { Ok(value) } else { Err(ConfigErrors(errors)) }
}

/// Scalar field of a list item, and whether an earlier item has the same value.
#[derive(Clone, Copy, Debug)]
pub struct FieldValue<'a> {
    /// Value of the field.
    pub text: &'a str,
    /// Whether an earlier item has the same value.
    pub duplicate: bool,
}

/// Reader of one YAML mapping, or of one scalar in a list.
pub struct YamlReader<'a> {
    map: Option<&'a MarkedMappingNode>,
    node: &'a Node,
    path: String,
    read_keys: BTreeSet<String>,
    errors: &'a mut Vec<ConfigError>,
}

fn line(span: &Span) -> usize {
    span.start().map_or(0, |marker| marker.line())
}

impl YamlReader<'_> {
    fn path_of(&self, key: &str) -> String {
        if self.path.is_empty() { key.to_owned() } else { format!("{}.{key}", self.path) }
    }

    fn get(&mut self, key: &str) -> Option<&Node> {
        self.read_keys.insert(key.to_owned());
        self.map?.get(key)
    }

    /// Records an error at a field of this mapping.
    pub fn error(&mut self, key: &str, message: impl Into<String>) {
        let node = self.map.and_then(|map| map.get(key)).unwrap_or(self.node);
        let error = ConfigError {
            line: line(node.span()),
            path: self.path_of(key),
            message: message.into(),
        };
        self.errors.push(error);
    }

    fn missing(&mut self, key: &str) {
        self.error(key, "is missing");
    }

    /// Reads a field with a non-empty string.
    pub fn text(&mut self, key: &str) -> String {
        match self.get(key).map(|node| node.as_scalar().map(|s| s.as_str().to_owned())) {
            Some(Some(text)) if !text.is_empty() => return text,
            Some(_) => self.error(key, "expected a string"),
            None => self.missing(key),
        }
        String::new()
    }

    /// Reads a field with a non-empty string, which may be absent.
    pub fn optional_text(&mut self, key: &str) -> Option<String> {
        self.get(key)?;
        Some(self.text(key))
    }

    /// Reads a field with a whole number within `range`.
    pub fn uint(&mut self, key: &str, range: RangeInclusive<u64>) -> u64 {
        match self.optional_uint(key, range) {
            Some(value) => value,
            None => {
                if self.map.is_none_or(|map| map.get(key).is_none()) {
                    self.missing(key);
                }
                0
            }
        }
    }

    /// Reads a field with a whole number within `range`, which may be absent.
    pub fn optional_uint(&mut self, key: &str, range: RangeInclusive<u64>) -> Option<u64> {
        let value = self.get(key)?.as_scalar().and_then(|s| s.as_str().parse::<u64>().ok());
        match value {
            Some(value) if range.contains(&value) => return Some(value),
            Some(value) => {
                let message = format!("{value} is not in {}..={}", range.start(), range.end());
                self.error(key, message);
            }
            None => self.error(key, "expected a whole number"),
        }
        None
    }

    /// Reads a field with a number within `range`, which may be absent.
    pub fn optional_float(&mut self, key: &str, range: RangeInclusive<f64>) -> Option<f64> {
        let value = self.get(key)?.as_scalar().and_then(|s| s.as_str().parse::<f64>().ok());
        match value {
            Some(value) if range.contains(&value) => return Some(value),
            Some(value) => {
                let message = format!("{value} is not in {}..={}", range.start(), range.end());
                self.error(key, message);
            }
            None => self.error(key, "expected a number"),
        }
        None
    }

    /// Reads a field that is `true` or `false`.
    pub fn boolean(&mut self, key: &str) -> bool {
        match self.get(key).map(|node| node.as_scalar().and_then(|s| s.as_bool())) {
            Some(Some(value)) => return value,
            Some(None) => self.error(key, "expected true or false"),
            None => self.missing(key),
        }
        false
    }

    /// Reads a field that is `true` or `false`, which may be absent.
    pub fn optional_boolean(&mut self, key: &str) -> Option<bool> {
        let value = self.get(key)?.as_scalar().and_then(|s| s.as_bool());
        if value.is_none() {
            self.error(key, "expected true or false");
        }
        value
    }

    /// Reads a field with a string that `parse` converts to a value.
    pub fn parsed<T>(&mut self, key: &str, parse: impl Fn(&str) -> Result<T, String>) -> Option<T> {
        let text = self.text(key);
        if text.is_empty() {
            return None;
        }
        match parse(&text) {
            Ok(value) => Some(value),
            Err(message) => {
                self.error(key, message);
                None
            }
        }
    }

    /// Reads a field with a list of mappings or scalars.
    pub fn list<T>(&mut self, key: &str, parse: impl Fn(&mut YamlReader<'_>) -> T) -> Vec<T> {
        if self.get(key).is_none() {
            self.missing(key);
        }
        self.optional_list(key, parse)
    }

    /// Reads a field with a list of mappings or scalars, which may be absent.
    pub fn optional_list<T>(
        &mut self,
        key: &str,
        parse: impl Fn(&mut YamlReader<'_>) -> T,
    ) -> Vec<T> {
        let path = self.path_of(key);
        self.read_keys.insert(key.to_owned());
        let Some(node) = self.map.and_then(|map| map.get(key)) else { return Vec::new() };
        let Node::Sequence(items) = node else {
            self.error(key, "expected a list");
            return Vec::new();
        };
        let mut values = Vec::new();
        for (i, item) in items.iter().enumerate() {
            let mut reader = YamlReader {
                map: item.as_mapping(),
                node: item,
                path: format!("{path}[{i}]"),
                read_keys: BTreeSet::new(),
                errors: self.errors,
            };
            values.push(parse(&mut reader));
            reader.finish();
        }
        values
    }

    /// Reads a field with a mapping, which may be absent.
    pub fn optional_child<T>(
        &mut self,
        key: &str,
        parse: impl FnOnce(&mut YamlReader<'_>) -> T,
    ) -> Option<T> {
        let path = self.path_of(key);
        self.read_keys.insert(key.to_owned());
        let node = self.map?.get(key)?;
        let Node::Mapping(map) = node else {
            self.error(key, "expected a mapping");
            return None;
        };
        let mut reader = YamlReader {
            map: Some(map),
            node,
            path,
            read_keys: BTreeSet::new(),
            errors: self.errors,
        };
        let value = parse(&mut reader);
        reader.finish();
        Some(value)
    }

    /// Reads a list item that is a non-empty scalar.
    pub fn scalar(&mut self) -> String {
        match self.node.as_scalar() {
            Some(scalar) if !scalar.as_str().is_empty() => scalar.as_str().to_owned(),
            _ => {
                self.item_error("expected a string");
                String::new()
            }
        }
    }

    /// Reads a list item that is either a name or a mapping with a field `name`.
    pub fn name(&mut self) -> String {
        if self.map.is_some() { self.text("name") } else { self.scalar() }
    }

    /// Records an error at this list item.
    pub fn item_error(&mut self, message: impl Into<String>) {
        let error = ConfigError {
            line: line(self.node.span()),
            path: self.path.clone(),
            message: message.into(),
        };
        self.errors.push(error);
    }

    /// Calls `visit` with the field `key` of each mapping in a list, and a function that records
    /// an error at that field.
    pub fn for_each_field(
        &mut self,
        list: &str,
        key: &str,
        mut visit: impl FnMut(FieldValue<'_>, &mut dyn FnMut(String)),
    ) {
        let Some(Node::Sequence(items)) = self.map.and_then(|map| map.get(list)) else { return };
        let mut seen = BTreeSet::new();
        for (i, item) in items.iter().enumerate() {
            let Some(node) = item.as_mapping().and_then(|map| map.get(key)) else { continue };
            let Some(scalar) = node.as_scalar() else { continue };
            let duplicate = !seen.insert(scalar.as_str());
            let path = format!("{list}[{i}].{key}");
            let errors = &mut *self.errors;
            visit(FieldValue { text: scalar.as_str(), duplicate }, &mut |message| {
                errors.push(ConfigError { line: line(node.span()), path: path.clone(), message });
            });
        }
    }

    fn finish(&mut self) {
        let Some(map) = self.map else { return };
        for key in map.keys().filter(|key| !self.read_keys.contains(key.as_str())) {
            let path = self.path_of(key.as_str());
            let message = "is not a known field".to_owned();
            self.errors.push(ConfigError { line: line(key.span()), path, message });
        }
    }
}
