//! Typed reading of YAML that collects every fault with its line.

use std::collections::BTreeSet;
use std::ops::RangeInclusive;

use marked_yaml::types::MarkedMappingNode;
use marked_yaml::{Node, Span};

use super::fault::{Fault, Faults};

/// Reads a YAML mapping and reports all faults, among them fields not asked for.
///
/// ```
/// use bbv_core::catalogue::read;
/// assert_eq!(read("size: 3", |root| root.uint("size", 1..=9)), Ok(3));
/// assert_eq!(read("size: 30", |root| root.uint("size", 1..=9)).unwrap_err().0[0].line, 1);
/// assert!(read("size: 3\nsise: 4", |root| root.uint("size", 1..=9)).is_err());
/// ```
pub fn read<T>(text: &str, parse: impl FnOnce(&mut Reader<'_>) -> T) -> Result<T, Faults> {
    let node = marked_yaml::parse_yaml(0, text)
        .map_err(|error| Faults::one(0, "file", format!("could not read YAML: {error}")))?;
    let Node::Mapping(map) = &node else {
        return Err(Faults::one(1, "file", "expected a mapping"));
    };
    let mut faults = Vec::new();
    let mut root = Reader {
        map: Some(map),
        node: &node,
        path: String::new(),
        asked: BTreeSet::new(),
        faults: &mut faults,
    };
    let value = parse(&mut root);
    root.finish();
    faults.sort();
    faults.dedup();
    if faults.is_empty() { Ok(value) } else { Err(Faults(faults)) }
}

/// A name in a list, with whether it came before.
#[derive(Clone, Copy, Debug)]
pub struct Named<'a> {
    /// The name.
    pub text: &'a str,
    /// Whether an earlier item has the same one.
    pub duplicate: bool,
}

/// Reader of one mapping.
pub struct Reader<'a> {
    map: Option<&'a MarkedMappingNode>,
    node: &'a Node,
    path: String,
    asked: BTreeSet<String>,
    faults: &'a mut Vec<Fault>,
}

fn line(span: &Span) -> usize {
    span.start().map_or(0, |marker| marker.line())
}

impl Reader<'_> {
    fn at(&self, key: &str) -> String {
        if self.path.is_empty() { key.to_owned() } else { format!("{}.{key}", self.path) }
    }

    fn get(&mut self, key: &str) -> Option<&Node> {
        self.asked.insert(key.to_owned());
        self.map?.get(key)
    }

    /// Records a fault at a field of this mapping.
    pub fn fault(&mut self, key: &str, message: impl Into<String>) {
        let node = self.map.and_then(|map| map.get(key)).unwrap_or(self.node);
        let fault = Fault { line: line(node.span()), path: self.at(key), message: message.into() };
        self.faults.push(fault);
    }

    fn missing(&mut self, key: &str) {
        self.fault(key, "is missing");
    }

    /// Reads the text of a scalar field.
    pub fn text(&mut self, key: &str) -> String {
        match self.get(key).map(|node| node.as_scalar().map(|s| s.as_str().to_owned())) {
            Some(Some(text)) if !text.is_empty() => return text,
            Some(_) => self.fault(key, "expected a text"),
            None => self.missing(key),
        }
        String::new()
    }

    /// Reads the text of a scalar field that may be absent.
    pub fn optional_text(&mut self, key: &str) -> Option<String> {
        self.get(key)?;
        Some(self.text(key))
    }

    /// Reads a whole number within `range`.
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

    /// Reads a whole number within `range` that may be absent.
    pub fn optional_uint(&mut self, key: &str, range: RangeInclusive<u64>) -> Option<u64> {
        let value = self.get(key)?.as_scalar().and_then(|s| s.as_str().parse::<u64>().ok());
        match value {
            Some(value) if range.contains(&value) => return Some(value),
            Some(value) => {
                let message = format!("{value} is not in {}..={}", range.start(), range.end());
                self.fault(key, message);
            }
            None => self.fault(key, "expected a whole number"),
        }
        None
    }

    /// Reads a number within `range` that may be absent.
    pub fn optional_float(&mut self, key: &str, range: RangeInclusive<f64>) -> Option<f64> {
        let value = self.get(key)?.as_scalar().and_then(|s| s.as_str().parse::<f64>().ok());
        match value {
            Some(value) if range.contains(&value) => return Some(value),
            Some(value) => {
                let message = format!("{value} is not in {}..={}", range.start(), range.end());
                self.fault(key, message);
            }
            None => self.fault(key, "expected a number"),
        }
        None
    }

    /// Reads `true` or `false`.
    pub fn boolean(&mut self, key: &str) -> bool {
        match self.get(key).map(|node| node.as_scalar().and_then(|s| s.as_bool())) {
            Some(Some(value)) => return value,
            Some(None) => self.fault(key, "expected true or false"),
            None => self.missing(key),
        }
        false
    }

    /// Reads a text that `parse` turns into a value.
    pub fn parsed<T>(&mut self, key: &str, parse: impl Fn(&str) -> Result<T, String>) -> Option<T> {
        let text = self.text(key);
        if text.is_empty() {
            return None;
        }
        match parse(&text) {
            Ok(value) => Some(value),
            Err(message) => {
                self.fault(key, message);
                None
            }
        }
    }

    /// Reads a list of mappings.
    pub fn list<T>(&mut self, key: &str, parse: impl Fn(&mut Reader<'_>) -> T) -> Vec<T> {
        if self.get(key).is_none() {
            self.missing(key);
        }
        self.optional_list(key, parse)
    }

    /// Reads a list of mappings or scalars that may be absent.
    pub fn optional_list<T>(&mut self, key: &str, parse: impl Fn(&mut Reader<'_>) -> T) -> Vec<T> {
        let path = self.at(key);
        self.asked.insert(key.to_owned());
        let Some(node) = self.map.and_then(|map| map.get(key)) else { return Vec::new() };
        let Node::Sequence(items) = node else {
            self.fault(key, "expected a list");
            return Vec::new();
        };
        let mut values = Vec::new();
        for (at, item) in items.iter().enumerate() {
            let mut reader = Reader {
                map: item.as_mapping(),
                node: item,
                path: format!("{path}[{at}]"),
                asked: BTreeSet::new(),
                faults: self.faults,
            };
            values.push(parse(&mut reader));
            reader.finish();
        }
        values
    }

    /// Reads a mapping that may be absent.
    pub fn optional_child<T>(
        &mut self,
        key: &str,
        parse: impl FnOnce(&mut Reader<'_>) -> T,
    ) -> Option<T> {
        let path = self.at(key);
        self.asked.insert(key.to_owned());
        let node = self.map?.get(key)?;
        let Node::Mapping(map) = node else {
            self.fault(key, "expected a mapping");
            return None;
        };
        let mut reader =
            Reader { map: Some(map), node, path, asked: BTreeSet::new(), faults: self.faults };
        let value = parse(&mut reader);
        reader.finish();
        Some(value)
    }

    /// Reads an item of a list that is a scalar.
    pub fn scalar(&mut self) -> String {
        match self.node.as_scalar() {
            Some(scalar) if !scalar.as_str().is_empty() => scalar.as_str().to_owned(),
            _ => {
                self.item_fault("expected a text");
                String::new()
            }
        }
    }

    /// Reads an item that is either a name or a mapping with a `name`.
    pub fn name(&mut self) -> String {
        if self.map.is_some() { self.text("name") } else { self.scalar() }
    }

    /// Records a fault at this item.
    pub fn item_fault(&mut self, message: impl Into<String>) {
        let fault = Fault {
            line: line(self.node.span()),
            path: self.path.clone(),
            message: message.into(),
        };
        self.faults.push(fault);
    }

    /// Visits one field of each mapping in a list, to check it against the others.
    pub fn each(
        &mut self,
        list: &str,
        key: &str,
        mut visit: impl FnMut(Named<'_>, &mut dyn FnMut(String)),
    ) {
        let Some(Node::Sequence(items)) = self.map.and_then(|map| map.get(list)) else { return };
        let mut seen = BTreeSet::new();
        for (at, item) in items.iter().enumerate() {
            let Some(node) = item.as_mapping().and_then(|map| map.get(key)) else { continue };
            let Some(scalar) = node.as_scalar() else { continue };
            let duplicate = !seen.insert(scalar.as_str());
            let path = format!("{list}[{at}].{key}");
            let faults = &mut *self.faults;
            visit(Named { text: scalar.as_str(), duplicate }, &mut |message| {
                faults.push(Fault { line: line(node.span()), path: path.clone(), message });
            });
        }
    }

    fn finish(&mut self) {
        let Some(map) = self.map else { return };
        for key in map.keys().filter(|key| !self.asked.contains(key.as_str())) {
            let path = self.at(key.as_str());
            let message = "is not a known field".to_owned();
            self.faults.push(Fault { line: line(key.span()), path, message });
        }
    }
}
