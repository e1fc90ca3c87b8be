//! Distances to other nodes, and which regions are out of reach. Few nodes speak to other regions, so
//! that what passes between regions does not grow with the fleet.

use std::collections::BTreeSet;
use std::net::IpAddr;

use bbv_core::distance::Distance;
use bbv_core::region_watch::RegionChange;
use bbv_core::units::Micros;
use rand::Rng;
use rand::rngs::SmallRng;
use rand::seq::IteratorRandom;

use crate::event::{self, Event};
use crate::node::Node;
use crate::settings::Settings;
use crate::state::State;

/// Expected number of nodes of a region that speak to another region in one round.
const SPEAKERS: f64 = 4.0;
/// Number of silent nodes of other regions that are asked for a notice in one round.
const ASKED_NODES: usize = 2;

/// Logs the change of `region`.
fn log_change(region: &str, change: RegionChange) {
    match change {
        RegionChange::Lost => event::warn(Event::RegionLost, &[("region", &region)]),
        RegionChange::Back => event::info(Event::RegionBack, &[("region", &region)]),
    }
}

impl Settings {
    /// Returns how far `zone` is from the node's own zone.
    ///
    /// ```
    /// use bbv_core::distance::Distance;
    /// assert_eq!(bbv_mesh::settings::Settings::default().distance("z"), Distance::Region);
    /// ```
    pub fn distance(&self, zone: &str) -> Distance {
        let own = (self.zone.as_str(), self.region(&self.zone));
        Distance::between(own, (zone, self.region(zone)))
    }
}

impl State {
    /// Returns how far the VM at `ip` is, if its zone is known.
    pub fn distance(&self, settings: &Settings, ip: IpAddr) -> Option<Distance> {
        self.index.zone(ip).map(|zone| settings.distance(zone))
    }

    /// Returns the region of the VM at `ip`, if that is another one than the own.
    fn remote_region<'a>(&self, settings: &'a Settings, ip: IpAddr) -> Option<&'a str> {
        let zone = self.index.zone(ip)?;
        let remote = settings.distance(zone) == Distance::Remote;
        settings.region(zone).filter(|_| remote)
    }

    /// Returns the number of known nodes of `region`.
    fn region_size(&self, settings: &Settings, region: &str) -> usize {
        self.index.vms().filter(|(_, zone)| settings.region(zone) == Some(region)).count()
    }

    /// Returns whether `region` is out of reach.
    pub fn is_region_lost(&self, region: Option<&str>) -> bool {
        region.is_some_and(|region| self.region_watch.is_lost(region))
    }

    /// Records a request to the node at `ip`.
    pub fn record_region_request(&mut self, settings: &Settings, now: Micros, ip: IpAddr) {
        if let Some(region) = self.remote_region(settings, ip) {
            self.region_watch.record_request(now, region, ip);
        }
    }

    /// Records that no connection could be made to the node at `ip`.
    pub fn record_region_failure(&mut self, settings: &Settings, now: Micros, ip: IpAddr) {
        let Some(region) = self.remote_region(settings, ip) else { return };
        self.region_watch.record_unreachable(region, ip);
        self.decide_region(settings, now, region);
    }

    /// Records a message of the node at `ip`.
    pub fn record_region_message(&mut self, settings: &Settings, ip: IpAddr) {
        let Some(region) = self.remote_region(settings, ip) else { return };
        if let Some(change) = self.region_watch.record_message(region) {
            log_change(region, change);
        }
    }

    fn decide_region(&mut self, settings: &Settings, now: Micros, region: &str) {
        let nodes = self.region_size(settings, region);
        if let Some(change) = self.region_watch.decide(now, region, nodes) {
            log_change(region, change);
        }
    }

    /// Decides which regions are out of reach.
    pub fn decide_regions(&mut self, settings: &Settings, now: Micros, paused: bool) {
        if paused {
            self.region_watch.record_pause(now);
        }
        let suspects = self.region_watch.suspects(now);
        suspects.iter().for_each(|region| self.decide_region(settings, now, region));
    }

    /// Returns whether the node at `ip`, of another region, does not respond.
    fn is_silent(&self, settings: &Settings, now: Micros, ip: IpAddr) -> bool {
        let Some(region) = self.remote_region(settings, ip) else { return false };
        let unresponsive = self.peers.get(&ip).is_some_and(|peer| peer.is_unresponsive(now, false));
        unresponsive || self.region_watch.is_lost(region)
    }

    /// Draws the nodes of other regions to which this node speaks in one round: of each region one
    /// node, for [`SPEAKERS`] of the own region's nodes on average.
    fn draw_remote_nodes(&self, settings: &Settings, rng: &mut SmallRng) -> Vec<IpAddr> {
        let Some(own) = settings.region(&settings.zone) else { return Vec::new() };
        let share = SPEAKERS / self.region_size(settings, own).max(1) as f64;
        let regions: BTreeSet<&str> = settings.regions.values().map(String::as_str).collect();
        let drawn = regions.into_iter().filter(|region| *region != own);
        let drawn: Vec<&str> = drawn.filter(|_| rng.random_bool(share.min(1.0))).collect();
        let node_of = |region: &str, rng: &mut SmallRng| {
            let nodes = self.index.vms().filter(|(_, zone)| settings.region(zone) == Some(region));
            nodes.map(|(ip, _)| ip).choose(rng)
        };
        drawn.into_iter().filter_map(|region| node_of(region, rng)).collect()
    }
}

impl Node {
    /// Returns the nodes of other regions to which this node speaks in one round.
    pub(crate) fn remote_region_peers(&self) -> Vec<IpAddr> {
        let mut state = self.lock();
        let mut rng = state.rng.clone();
        let nodes = state.draw_remote_nodes(&self.settings, &mut rng);
        state.rng = rng;
        nodes
    }

    /// Returns silent nodes of other regions that are asked for a notice in one round.
    pub(crate) fn silent_peers(&self, now: Micros) -> Vec<IpAddr> {
        let mut state = self.lock();
        let silent = state.index.vms().map(|(ip, _)| ip);
        let silent: Vec<IpAddr> =
            silent.filter(|ip| state.is_silent(&self.settings, now, *ip)).collect();
        silent.into_iter().choose_multiple(&mut state.rng, ASKED_NODES)
    }
}
