//! What a bbv-mesh node holds to after the platform's store has come back from an older copy.
//!
//! It matters for some seconds after such a return, until the writers have written again what the
//! store has lost: an upstream that had left must not be used again, nor a zone out of service.

use std::collections::BTreeMap;

use crate::route::Name;
use crate::units::{Micros, SEC};
use crate::view::{PublishedUpstream, Update};

/// Time for which an entry of the copy is not used whose upstream had left. An entry without its
/// upstream expires after three heartbeats.
pub const DOUBT_TIME: Micros = 5 * SEC;
/// Time for which a zone stays out of service that the copy lacks, unless an operator's change of it
/// arrives.
pub const ZONE_HOLD: Micros = 10 * SEC;
/// Time for which upstreams that left are remembered; a copy is some seconds old.
const DEPARTURE_TTL: Micros = 30 * SEC;

/// Upstream that left.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Departure {
    /// Start time of its process.
    born: u64,
    /// Time until which it is remembered.
    until: Micros,
}

/// Entry of the copy whose upstream had left.
#[derive(Clone, Debug, PartialEq)]
struct DoubtedEntry {
    upstream: PublishedUpstream,
    /// Time from which the entry is believed.
    until: Micros,
}

/// Knowledge from before the store's return that holds against the copy.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Restoration {
    departed: BTreeMap<Name, Departure>,
    doubted: BTreeMap<Name, DoubtedEntry>,
    /// Zones out of service that the copy lacks, with the time at which they return.
    zones: BTreeMap<Name, Micros>,
}

impl Restoration {
    /// Remembers that the upstream `id` has left, if its start time is known.
    pub(crate) fn record_departure(&mut self, now: Micros, id: Name, upstream: &PublishedUpstream) {
        if let Some(born) = upstream.born {
            self.departed.insert(id, Departure { born, until: now + DEPARTURE_TTL });
        }
    }

    /// Records that the entry of `id` was written.
    pub(crate) fn forget(&mut self, id: &str) {
        self.departed.remove(id);
        self.doubted.remove(id);
    }

    /// Records that the entry of `id` was removed; whether its upstream had left before is still known.
    pub(crate) fn remove_entry(&mut self, id: &str) {
        self.doubted.remove(id);
    }

    /// Returns `listing` without the entries that are in doubt. A listing that begins an era may
    /// show upstreams again that had left.
    pub(crate) fn filter(
        &mut self,
        now: Micros,
        begins_era: bool,
        listing: Vec<Update>,
    ) -> Vec<Update> {
        let mut doubted = BTreeMap::new();
        let mut believed = Vec::with_capacity(listing.len());
        for update in listing {
            match &update {
                Update::Upstream(id, Some(upstream)) => {
                    match self.doubt(now, begins_era, id, upstream) {
                        Some(entry) => drop(doubted.insert(id.clone(), entry)),
                        None => believed.push(update),
                    }
                }
                _ => believed.push(update),
            }
        }
        self.doubted = doubted;
        believed
    }

    fn doubt(
        &self,
        now: Micros,
        begins_era: bool,
        id: &Name,
        upstream: &PublishedUpstream,
    ) -> Option<DoubtedEntry> {
        let known = self.doubted.get(id).filter(|known| known.upstream == *upstream);
        let departed = self.departed.get(id);
        let left = departed.is_some_and(|departure| Some(departure.born) == upstream.born);
        let new = || DoubtedEntry { upstream: upstream.clone(), until: now + DOUBT_TIME };
        known.cloned().or_else(|| (begins_era && left).then(new))
    }

    /// Returns the entries that are in doubt.
    pub(crate) fn doubted(&self) -> impl Iterator<Item = (&Name, &PublishedUpstream)> {
        self.doubted.iter().map(|(id, entry)| (id, &entry.upstream))
    }

    /// Removes and returns the entries that are believed from now on.
    pub(crate) fn take_believed(&mut self, now: Micros) -> Vec<(Name, PublishedUpstream)> {
        self.departed.retain(|_, departure| now < departure.until);
        let due = self.doubted.iter().filter(|(_, entry)| entry.until <= now);
        let due: Vec<_> = due.map(|(id, entry)| (id.clone(), entry.upstream.clone())).collect();
        self.doubted.retain(|_, entry| now < entry.until);
        due
    }

    /// Keeps `zone` out of service for [`ZONE_HOLD`], or until the time known before.
    pub(crate) fn hold_zone(&mut self, now: Micros, zone: Name) {
        self.zones.entry(zone).or_insert(now + ZONE_HOLD);
    }

    /// Keeps `zone` out of service for `left` at most, as a peer does.
    pub(crate) fn limit_zone(&mut self, now: Micros, zone: Name, left: Micros) {
        let until = now + left.min(ZONE_HOLD);
        let known = self.zones.entry(zone).or_insert(until);
        *known = until.min(*known);
    }

    /// Returns whether `zone` only stays out of service since the copy lacks it.
    pub(crate) fn holds_zone(&self, zone: &str) -> bool {
        self.zones.contains_key(zone)
    }

    /// Records that an operator's change of `zone` has arrived.
    pub(crate) fn release_zone(&mut self, zone: &str) {
        self.zones.remove(zone);
    }

    /// Returns the zones that only stay out of service since the copy lacks them, with the time left.
    pub(crate) fn held_zones(&self, now: Micros) -> BTreeMap<Name, Micros> {
        let left = |until: &Micros| until.saturating_sub(now);
        self.zones.iter().map(|(zone, until)| (zone.clone(), left(until))).collect()
    }

    /// Removes and returns the zones that return to service now.
    pub(crate) fn take_returned(&mut self, now: Micros) -> Vec<Name> {
        let due = self.zones.iter().filter(|(_, until)| **until <= now);
        let due: Vec<Name> = due.map(|(zone, _)| zone.clone()).collect();
        self.zones.retain(|_, until| now < *until);
        due
    }
}
