//! The operators' catalogue: services, entries, links between zones, and zones and VMs out of
//! service. bbv-node applies its documents as they change, and bbvctl checks and compares whole
//! files; calls under any load follow its limits.

mod entry;
mod error;
mod reader;
mod service;
mod topology;

use std::collections::{BTreeMap, BTreeSet};

pub use entry::Entry;
pub use error::{ConfigError, ConfigErrors};
pub use reader::{FieldValue, YamlReader, read_yaml};
pub use service::Service;
pub use topology::{Link, Links, OutOfService};

use crate::documents::DocumentChange;
use crate::fleet::ListedVm;
use crate::id::Vm;
use crate::units::{MS, Micros};

/// Configuration that operators publish, with the platform's list of VMs.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Catalogue {
    /// Availability zones by name.
    pub zones: BTreeSet<String>,
    /// Links between zones.
    pub links: Links,
    /// Services by name.
    pub services: BTreeMap<String, Service>,
    /// Entries by name.
    pub entries: BTreeMap<String, Entry>,
    /// Zones and VMs that are out of service.
    pub out: OutOfService,
    /// The platform's list of VMs, which operators do not write.
    pub vms: BTreeMap<Vm, ListedVm>,
}

fn parse_vm(text: &str) -> Result<ListedVm, serde_json::Error> {
    serde_json::from_str(text)
}

/// Round-trip time assumed between zones for which no link is defined.
const DEFAULT_RTT: Micros = 4 * MS;

impl Catalogue {
    /// Parses and validates a whole catalogue file; reports all errors.
    ///
    /// ```
    /// use bbv_core::catalogue::Catalogue;
    /// let errors = Catalogue::parse("zones: []\nservices: 3\nentries: []\n").unwrap_err();
    /// assert_eq!(errors.0[0].line, 2);
    /// ```
    pub fn parse(text: &str) -> Result<Self, ConfigErrors> {
        read_yaml(text, |root| {
            let mut catalogue = Catalogue::default();
            root.optional_uint("revision", 0..=u64::MAX);
            catalogue.zones = root.list("zones", |item| item.name()).into_iter().collect();
            catalogue.links = Links(root.optional_list("links", Link::read));
            for service in root.list("services", Service::read) {
                catalogue.services.insert(service.name.clone(), service);
            }
            for entry in root.list("entries", Entry::read) {
                catalogue.entries.insert(entry.name.clone(), entry);
            }
            catalogue.out = root.optional_child("out", OutOfService::read).unwrap_or_default();
            catalogue.validate(root);
            catalogue
        })
    }

    fn validate(&self, root: &mut YamlReader<'_>) {
        root.for_each_field("services", "name", |field, error| {
            if field.duplicate {
                error(format!("service {} is defined twice", field.text));
            }
        });
        root.for_each_field("entries", "name", |field, error| {
            if field.duplicate {
                error(format!("entry {} is defined twice", field.text));
            }
        });
        root.for_each_field("entries", "service", |field, error| {
            if !self.services.contains_key(field.text) {
                error(format!("service {} is not in the catalogue", field.text));
            }
        });
        for (service, total) in self.share_sums() {
            if total > 100 {
                let message = format!("shares of service {service} sum to {total}, above 100");
                root.error("entries", message);
            }
        }
        for zone in self.out.zones.iter().filter(|zone| !self.zones.contains(*zone)) {
            root.error("out", format!("zone {zone} is not in the catalogue"));
        }
        for link in &self.links.0 {
            for zone in link.between.iter().filter(|zone| !self.zones.contains(*zone)) {
                root.error("links", format!("zone {zone} is not in the catalogue"));
            }
        }
    }

    /// Returns the sum of the guaranteed shares of each service in percent; an owner counts once
    /// per service, with its largest share.
    fn share_sums(&self) -> BTreeMap<&str, u64> {
        let mut owners: BTreeMap<(&str, &str), u64> = BTreeMap::new();
        for entry in self.entries.values() {
            let share = owners.entry((&entry.service, &entry.owner)).or_default();
            *share = (*share).max(entry.share_pct);
        }
        let mut sums = BTreeMap::new();
        for ((service, _), share) in owners {
            *sums.entry(service).or_insert(0) += share;
        }
        sums
    }

    /// Returns the documents by key, as the platform publishes them.
    ///
    /// ```
    /// use bbv_core::catalogue::Catalogue;
    /// assert!(Catalogue::default().documents().contains_key("out"));
    /// ```
    pub fn documents(&self) -> BTreeMap<String, String> {
        let mut documents = BTreeMap::new();
        documents.insert("out".to_owned(), json(&self.out));
        documents.insert("links".to_owned(), json(&self.links));
        for service in self.services.values() {
            documents.insert(format!("service/{}", service.name), json(service));
        }
        for entry in self.entries.values() {
            documents.insert(format!("entry/{}", entry.name), json(entry));
        }
        documents
    }

    /// Applies a change of one document that [`check_document`] accepts.
    ///
    /// ```
    /// use bbv_core::{catalogue::Catalogue, documents::DocumentChange};
    /// let mut catalogue = Catalogue::default();
    /// let value = Some("{zones: [a], vms: []}".to_owned());
    /// catalogue.apply(&DocumentChange { revision: 1, key: "out".into(), value, published_ms: 0 });
    /// assert!(catalogue.out.zones.contains("a"));
    /// ```
    pub fn apply(&mut self, change: &DocumentChange) {
        let (kind, name) = change.key.split_once('/').unwrap_or((&change.key, ""));
        if kind == "vm" {
            return self.apply_vm(name, change.value.as_deref());
        }
        let Some(text) = change.value.as_deref() else {
            match kind {
                "entry" => drop(self.entries.remove(name)),
                "service" => drop(self.services.remove(name)),
                "links" => self.links = Links::default(),
                _ => self.out = OutOfService::default(),
            }
            return;
        };
        match Document::parse(kind, text) {
            Ok(Document::Entry(entry)) => drop(self.entries.insert(name.to_owned(), entry)),
            Ok(Document::Links(links)) => self.links = links,
            Ok(Document::Out(out)) => self.out = out,
            Ok(Document::Service(service)) => drop(self.services.insert(name.to_owned(), service)),
            Err(_) => {}
        }
    }

    fn apply_vm(&mut self, name: &str, text: Option<&str>) {
        if let Some(Ok(listed)) = text.map(parse_vm) {
            self.vms.insert(listed.vm, listed);
        } else if let Ok(number) = name.parse() {
            self.vms.remove(&Vm(number));
        }
    }

    /// Returns the round-trip time between two zones.
    pub fn rtt(&self, from: &str, to: &str) -> Micros {
        if from == to {
            return 0;
        }
        self.links.rtt(from, to).unwrap_or(DEFAULT_RTT)
    }

    /// Returns the documents that differ in a newer catalogue.
    ///
    /// ```
    /// use bbv_core::catalogue::Catalogue;
    /// assert!(Catalogue::default().diff(&Catalogue::default()).is_empty());
    /// ```
    pub fn diff(&self, newer: &Catalogue) -> Vec<DocumentDiff> {
        let (old, new) = (self.documents(), newer.documents());
        let keys: BTreeSet<&String> = old.keys().chain(new.keys()).collect();
        let changed = keys.into_iter().filter(|key| old.get(*key) != new.get(*key));
        changed
            .map(|key| DocumentDiff {
                key: key.clone(),
                old: old.get(key).cloned(),
                new: new.get(key).cloned(),
            })
            .collect()
    }
}

/// One document that differs between two catalogues.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize)]
pub struct DocumentDiff {
    /// Key of the document.
    pub key: String,
    /// Text in the older catalogue, if it has the document.
    pub old: Option<String>,
    /// Text in the newer catalogue, if it has the document.
    pub new: Option<String>,
}

fn json(doc: &impl serde::Serialize) -> String {
    serde_json::to_string(doc).expect("catalogue documents have string keys")
}

#[derive(Clone, Debug)]
enum Document {
    Entry(Entry),
    Links(Links),
    Out(OutOfService),
    Service(Service),
}

impl Document {
    fn parse(kind: &str, text: &str) -> Result<Self, ConfigErrors> {
        match kind {
            "entry" => read_yaml(text, Entry::read).map(Document::Entry),
            "links" => read_yaml(text, Links::read).map(Document::Links),
            "out" => read_yaml(text, OutOfService::read).map(Document::Out),
            "service" => read_yaml(text, Service::read).map(Document::Service),
            _ => Err(ConfigErrors::one(0, kind, "unknown document kind")),
        }
    }
}

/// Validates the document of a change on its own.
///
/// References to other documents are not checked, since documents arrive in any order; a
/// call of an entry whose service is missing is refused when it arrives.
///
/// ```
/// use bbv_core::{catalogue::check_document, documents::DocumentChange};
/// let value = Some("{zones: 3}".to_owned());
/// let change = DocumentChange { revision: 1, key: "out".into(), value, published_ms: 0 };
/// assert!(check_document(&change).is_err());
/// ```
pub fn check_document(change: &DocumentChange) -> Result<(), String> {
    let (kind, name) = change.key.split_once('/').unwrap_or((&change.key, ""));
    let Some(text) = change.value.as_deref() else { return Ok(()) };
    if kind == "vm" {
        let listed = parse_vm(text).map_err(|e| format!("could not read {}: {e}", change.key))?;
        return if listed.vm.0.to_string() == name {
            Ok(())
        } else {
            Err(format!("could not accept {}: the document is for {}", change.key, listed.vm))
        };
    }
    let document = Document::parse(kind, text).map_err(|errors| errors.to_string())?;
    let document_name = match &document {
        Document::Entry(entry) => entry.name.as_str(),
        Document::Service(service) => service.name.as_str(),
        Document::Links(_) | Document::Out(_) => "",
    };
    if document_name != name {
        return Err(format!(
            "could not accept {}: the document is for {document_name:?}",
            change.key
        ));
    }
    Ok(())
}
