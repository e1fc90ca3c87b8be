//! What an ingress of bbv-mesh knows of the quotas of the organisations that it serves: tokens that it
//! could not use, and granters that have none or are silent.
//!
//! It matters for an organisation far over its quota, whose requests would otherwise each ask every
//! granter, and while a granter that is still listed does not answer.

use std::collections::BTreeMap;
use std::net::IpAddr;

use crate::route::Name;
use crate::units::{MS, Micros, SEC};

/// Time after the grant of a token within which another request may use it.
pub const SPARE_TIME: Micros = 300 * MS;
/// Time for which a granter that did not answer is asked after the others.
const SILENT_TIME: Micros = SEC;
/// Longest time for which a granter without tokens is not asked.
const MAX_EMPTY_TIME: Micros = SEC;

/// Knowledge of one organisation.
#[derive(Clone, Debug, Default)]
struct Claim {
    /// Times at which unused tokens were granted.
    spare: Vec<Micros>,
    /// Granters without tokens, with the time until which that holds.
    empty: BTreeMap<IpAddr, Micros>,
}

/// Knowledge of all organisations that were served recently.
#[derive(Clone, Debug, Default)]
pub struct Claims {
    claims: BTreeMap<Name, Claim>,
    silent: BTreeMap<IpAddr, Micros>,
}

impl Claims {
    /// Takes a token that another request did not use; returns the time at which it was granted.
    ///
    /// ```
    /// assert_eq!(bbv_core::claims::Claims::default().take_spare(0, "o"), None);
    /// ```
    pub fn take_spare(&mut self, now: Micros, organisation: &str) -> Option<Micros> {
        let claim = self.claims.get_mut(organisation)?;
        claim.spare.retain(|granted| now < granted + SPARE_TIME);
        claim.spare.pop()
    }

    /// Keeps a token granted at `granted` that a request did not use.
    ///
    /// ```
    /// let mut claims = bbv_core::claims::Claims::default();
    /// claims.keep_spare("o".into(), 1);
    /// assert_eq!(claims.take_spare(300_001, "o"), None);
    /// claims.keep_spare("o".into(), 1);
    /// assert_eq!(claims.take_spare(300_000, "o"), Some(1));
    /// ```
    pub fn keep_spare(&mut self, organisation: Name, granted: Micros) {
        self.claims.entry(organisation).or_default().spare.push(granted);
    }

    /// Records that `granter` has no token of `organisation` for `wait`.
    ///
    /// ```
    /// let mut claims = bbv_core::claims::Claims::default();
    /// let granter = [10, 0, 0, 1].into();
    /// claims.record_empty(0, "o".into(), granter, 5);
    /// assert!(claims.order(4, "o", vec![granter]).is_empty());
    /// assert_eq!(claims.order(5, "o", vec![granter]), vec![granter]);
    /// ```
    pub fn record_empty(&mut self, now: Micros, organisation: Name, granter: IpAddr, wait: Micros) {
        let until = now + wait.min(MAX_EMPTY_TIME);
        self.claims.entry(organisation).or_default().empty.insert(granter, until);
    }

    /// Records whether `granter` has answered.
    ///
    /// ```
    /// let mut claims = bbv_core::claims::Claims::default();
    /// let granters = vec![[10, 0, 0, 1].into(), [10, 0, 0, 2].into()];
    /// claims.record_answer(0, granters[0], false);
    /// assert_eq!(claims.order(1, "o", granters.clone()), vec![granters[1], granters[0]]);
    /// ```
    pub fn record_answer(&mut self, now: Micros, granter: IpAddr, answered: bool) {
        if answered {
            self.silent.remove(&granter);
        } else {
            self.silent.insert(granter, now + SILENT_TIME);
        }
    }

    /// Returns the granters to ask for a token of `organisation`, in order: none that is known to be
    /// without tokens, silent ones last.
    ///
    /// ```
    /// assert!(bbv_core::claims::Claims::default().order(0, "o", Vec::new()).is_empty());
    /// ```
    pub fn order(&self, now: Micros, organisation: &str, granters: Vec<IpAddr>) -> Vec<IpAddr> {
        let empty = |ip: &IpAddr| {
            let until = self.claims.get(organisation).and_then(|claim| claim.empty.get(ip));
            until.is_some_and(|until| now < *until)
        };
        let mut order = granters;
        order.retain(|ip| !empty(ip));
        order.sort_by_key(|ip| self.silent.get(ip).is_some_and(|until| now < *until));
        order
    }

    /// Returns the time until a granter has a token again, if at least one said that it has none.
    ///
    /// ```
    /// assert_eq!(bbv_core::claims::Claims::default().wait(0, "o"), None);
    /// ```
    pub fn wait(&self, now: Micros, organisation: &str) -> Option<Micros> {
        let claim = self.claims.get(organisation)?;
        claim.empty.values().filter(|until| now < **until).min().map(|until| until - now)
    }

    /// Forgets what no longer holds.
    ///
    /// ```
    /// bbv_core::claims::Claims::default().forget_old(0);
    /// ```
    pub fn forget_old(&mut self, now: Micros) {
        self.silent.retain(|_, until| now < *until);
        for claim in self.claims.values_mut() {
            claim.spare.retain(|granted| now < granted + SPARE_TIME);
            claim.empty.retain(|_, until| now < *until);
        }
        self.claims.retain(|_, claim| !claim.spare.is_empty() || !claim.empty.is_empty());
    }
}
