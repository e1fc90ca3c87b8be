//! Organisations whose callers bbv-mesh serves, and the keys by which it recognises them.
//!
//! Each request looks up one key, so the lookup matters under any load.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::homes::Homes;
use crate::route::Name;

/// Requests that one organisation may send, over all nodes together.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Quota {
    /// Requests per second.
    pub rate: f64,
    /// Requests beyond that rate, at most.
    pub burst: f64,
}

/// Organisation whose callers send requests with a key.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Organisation {
    /// Name, which upstreams get in place of the key.
    pub name: Name,
    /// Keys of its callers.
    pub keys: BTreeSet<String>,
    /// Rank of its requests in place of that of their route; 0 is served first.
    pub rank: Option<u8>,
    /// Limit on its requests; unlimited if there is none.
    pub quota: Option<Quota>,
    /// Regions in which its requests may run.
    pub homes: Homes,
}

/// Organisations of one routing, by name and by key.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Organisations {
    names: BTreeMap<Name, Arc<Organisation>>,
    keys: BTreeMap<String, Arc<Organisation>>,
}

impl Organisations {
    /// Creates the index; of two organisations with the same name or key the later one wins.
    ///
    /// ```
    /// use bbv_core::organisation::Organisations;
    /// assert!(Organisations::new(Vec::new()).is_empty());
    /// ```
    pub fn new(list: Vec<Arc<Organisation>>) -> Self {
        let mut names = BTreeMap::new();
        for organisation in list {
            names.insert(organisation.name.clone(), organisation);
        }
        let mut keys = BTreeMap::new();
        for organisation in names.values() {
            keys.extend(
                organisation.keys.iter().map(|key| (key.clone(), Arc::clone(organisation))),
            );
        }
        Organisations { names, keys }
    }

    /// Returns whether there is no organisation, so that requests need no key.
    ///
    /// ```
    /// assert!(bbv_core::organisation::Organisations::default().is_empty());
    /// ```
    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }

    /// Returns the organisation that holds `key`.
    ///
    /// ```
    /// assert_eq!(bbv_core::organisation::Organisations::default().find("k"), None);
    /// ```
    pub fn find(&self, key: &str) -> Option<&Arc<Organisation>> {
        self.keys.get(key)
    }

    /// Returns the organisation called `name`.
    ///
    /// ```
    /// assert_eq!(bbv_core::organisation::Organisations::default().get("o"), None);
    /// ```
    pub fn get(&self, name: &str) -> Option<&Arc<Organisation>> {
        self.names.get(name)
    }

    /// Iterates over the organisations by name.
    ///
    /// ```
    /// assert_eq!(bbv_core::organisation::Organisations::default().iter().count(), 0);
    /// ```
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Organisation>> {
        self.names.values()
    }
}
