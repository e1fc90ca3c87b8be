//! The operators' catalogue: services, entries, links and what is out of service.

mod entry;
mod fault;
mod out;
mod reader;
mod service;

use std::collections::{BTreeMap, BTreeSet};

pub use entry::Entry;
pub use fault::{Fault, Faults};
pub use out::{Link, Links, Out};
pub use reader::{Reader, read};
pub use service::Service;

use crate::documents::DocumentChange;
use crate::fleet::ListedVm;
use crate::id::Vm;
use crate::units::{MS, Micros};

/// Everything that operators publish.
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
    /// Zones and VMs out of service.
    pub out: Out,
    /// Platform's list of VMs, which operators do not write.
    pub vms: BTreeMap<Vm, ListedVm>,
}

fn listed(text: &str) -> Result<ListedVm, serde_json::Error> {
    serde_json::from_str(text)
}

/// Round trip assumed between zones without a stated link.
const DEFAULT_RTT: Micros = 4 * MS;

impl Catalogue {
    /// Reads a whole catalogue file and checks it; names every fault.
    ///
    /// ```
    /// use bbv_core::catalogue::Catalogue;
    /// let faults = Catalogue::parse("zones: []\nservices: 3\nentries: []\n").unwrap_err();
    /// assert_eq!(faults.0[0].line, 2);
    /// ```
    pub fn parse(text: &str) -> Result<Self, Faults> {
        read(text, |root| {
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
            catalogue.out = root.optional_child("out", Out::read).unwrap_or_default();
            catalogue.check(root);
            catalogue
        })
    }

    fn check(&self, root: &mut Reader<'_>) {
        root.each("services", "name", |name, fault| {
            if name.duplicate {
                fault(format!("service {} is named twice", name.text));
            }
        });
        root.each("entries", "name", |name, fault| {
            if name.duplicate {
                fault(format!("entry {} is named twice", name.text));
            }
        });
        root.each("entries", "service", |name, fault| {
            if !self.services.contains_key(name.text) {
                fault(format!("service {} is not in the catalogue", name.text));
            }
        });
        for (service, total) in self.shares() {
            if total > 100 {
                let message = format!("shares of service {service} sum to {total}, above 100");
                root.fault("entries", message);
            }
        }
        for zone in self.out.zones.iter().filter(|zone| !self.zones.contains(*zone)) {
            root.fault("out", format!("zone {zone} is not in the catalogue"));
        }
        for link in &self.links.0 {
            for zone in link.between.iter().filter(|zone| !self.zones.contains(*zone)) {
                root.fault("links", format!("zone {zone} is not in the catalogue"));
            }
        }
    }

    /// Sum of the guaranteed shares of each service in percent, one share an owner.
    fn shares(&self) -> BTreeMap<&str, u64> {
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

    /// Documents as the platform publishes them, by key.
    ///
    /// ```
    /// use bbv_core::catalogue::Catalogue;
    /// assert!(Catalogue::default().documents().contains_key("out"));
    /// ```
    pub fn documents(&self) -> BTreeMap<String, String> {
        let mut docs = BTreeMap::new();
        docs.insert("out".to_owned(), json(&self.out));
        docs.insert("links".to_owned(), json(&self.links));
        for service in self.services.values() {
            docs.insert(format!("service/{}", service.name), json(service));
        }
        for entry in self.entries.values() {
            docs.insert(format!("entry/{}", entry.name), json(entry));
        }
        docs
    }

    /// Applies one change of a document that [`check_document`] accepts.
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
                _ => self.out = Out::default(),
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
        if let Some(Ok(listed)) = text.map(listed) {
            self.vms.insert(listed.vm, listed);
        } else if let Ok(number) = name.parse() {
            self.vms.remove(&Vm(number));
        }
    }

    /// Round trip between two zones.
    pub fn rtt(&self, from: &str, to: &str) -> Micros {
        if from == to {
            return 0;
        }
        self.links.rtt(from, to).unwrap_or(DEFAULT_RTT)
    }

    /// Differences to a newer catalogue, one line a changed document.
    ///
    /// ```
    /// use bbv_core::catalogue::Catalogue;
    /// assert!(Catalogue::default().diff(&Catalogue::default()).is_empty());
    /// ```
    pub fn diff(&self, newer: &Catalogue) -> Vec<DocChange> {
        let (old, new) = (self.documents(), newer.documents());
        let keys: BTreeSet<&String> = old.keys().chain(new.keys()).collect();
        let changed = keys.into_iter().filter(|key| old.get(*key) != new.get(*key));
        changed
            .map(|key| DocChange {
                key: key.clone(),
                old: old.get(key).cloned(),
                new: new.get(key).cloned(),
            })
            .collect()
    }
}

/// One document that differs between two catalogues.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize)]
pub struct DocChange {
    /// Name of the document.
    pub key: String,
    /// Former text.
    pub old: Option<String>,
    /// New text.
    pub new: Option<String>,
}

fn json(doc: &impl serde::Serialize) -> String {
    serde_json::to_string(doc).expect("catalogue documents have string keys")
}

#[derive(Clone, Debug)]
enum Document {
    Entry(Entry),
    Links(Links),
    Out(Out),
    Service(Service),
}

impl Document {
    fn parse(kind: &str, text: &str) -> Result<Self, Faults> {
        match kind {
            "entry" => read(text, Entry::read).map(Document::Entry),
            "links" => read(text, Links::read).map(Document::Links),
            "out" => read(text, Out::read).map(Document::Out),
            "service" => read(text, Service::read).map(Document::Service),
            _ => Err(Faults::one(0, kind, "unknown kind of document")),
        }
    }
}

/// Checks the document of a change by itself.
///
/// References to other documents are not checked, since documents arrive in any
/// order; a call of an entry whose service is missing is refused when it comes.
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
        let listed = listed(text).map_err(|e| format!("could not read {}: {e}", change.key))?;
        return if listed.vm.0.to_string() == name {
            Ok(())
        } else {
            Err(format!("could not accept {}: the document names {}", change.key, listed.vm))
        };
    }
    let document = Document::parse(kind, text).map_err(|faults| faults.to_string())?;
    let named = match &document {
        Document::Entry(entry) => entry.name.as_str(),
        Document::Service(service) => service.name.as_str(),
        Document::Links(_) | Document::Out(_) => "",
    };
    if named != name {
        return Err(format!("could not accept {}: the document names {named:?}", change.key));
    }
    Ok(())
}
