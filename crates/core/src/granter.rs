//! Granter of bbv-mesh: the buckets of the organisations whose quota a node grants in its zone.
//!
//! Two nodes may take themselves for the granter of one share for about a second, until both know the
//! listing. A bucket that a node takes over starts empty, and gets no tokens in that second.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::bucket::Bucket;
use crate::organisation::Quota;
use crate::route::Name;
use crate::units::Micros;

/// Answer of a granter to a request for one token.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Grant {
    /// One request may be sent.
    Token,
    /// There is no token for this time.
    Empty(Micros),
    /// The node does not grant this organisation's quota, or does not know that it still does.
    NotGranter,
}

/// Buckets that one node grants from.
#[derive(Clone, Debug, Default)]
pub struct Granter {
    buckets: BTreeMap<Name, Bucket>,
}

impl Granter {
    /// Replaces the quotas that this node grants, each in one of `shares` equal shares. Buckets of
    /// organisations that it granted before keep their tokens; others get tokens from `starts_at` on.
    ///
    /// ```
    /// use bbv_core::{granter::{Grant, Granter}, organisation::Quota};
    /// let mut granter = Granter::default();
    /// granter.assign(0, 0, vec![("o".into(), Quota { rate: 1.0, burst: 1.0 })], 1);
    /// assert_eq!(granter.grant(0, "o"), Grant::Empty(1_000_000));
    /// ```
    pub fn assign(
        &mut self,
        now: Micros,
        starts_at: Micros,
        quotas: Vec<(Name, Quota)>,
        shares: usize,
    ) {
        let mut former = std::mem::take(&mut self.buckets);
        for (name, quota) in quotas {
            let bucket = match former.remove(&name) {
                Some(mut bucket) => {
                    bucket.set_quota(now, quota, shares);
                    bucket
                }
                None => Bucket::new(starts_at, quota, shares),
            };
            self.buckets.insert(name, bucket);
        }
    }

    /// Takes a token of `organisation`.
    ///
    /// ```
    /// use bbv_core::granter::{Grant, Granter};
    /// assert_eq!(Granter::default().grant(0, "o"), Grant::NotGranter);
    /// ```
    pub fn grant(&mut self, now: Micros, organisation: &str) -> Grant {
        let Some(bucket) = self.buckets.get_mut(organisation) else { return Grant::NotGranter };
        if bucket.take(now) { Grant::Token } else { Grant::Empty(bucket.wait(now)) }
    }

    /// Returns the number of organisations whose quota this node grants.
    ///
    /// ```
    /// assert_eq!(bbv_core::granter::Granter::default().len(), 0);
    /// ```
    pub fn len(&self) -> usize {
        self.buckets.len()
    }

    /// Returns whether this node grants no quota.
    ///
    /// ```
    /// assert!(bbv_core::granter::Granter::default().is_empty());
    /// ```
    pub fn is_empty(&self) -> bool {
        self.buckets.is_empty()
    }
}
