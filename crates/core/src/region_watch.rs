//! Detects that a region is out of reach, for bbv-mesh, as one event in place of many nodes that
//! each turn out not to respond.
//!
//! It matters when a region loses power or is cut off with requests on the way to it: sends there
//! would each pay the timeout of a connection.

use std::collections::{BTreeMap, BTreeSet};
use std::net::IpAddr;

use crate::route::Name;
use crate::units::{MS, Micros};

/// Change of a region.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RegionChange {
    /// It is out of reach.
    Lost,
    /// It is in reach again.
    Back,
}

/// What this node has sent to a region and not heard from it.
#[derive(Clone, Debug, Default)]
struct RegionState {
    /// Nodes that owe a message, with the time of the first request since the last message of the
    /// region.
    waiting: BTreeMap<IpAddr, Micros>,
    /// Nodes to which no connection could be made since the last message of the region.
    unreachable: BTreeSet<IpAddr>,
    /// Time of the latest questions since the last message of the region.
    asked_at: Option<Micros>,
    lost: bool,
}

/// Number of nodes whose silence shows that their region is out of reach.
const MIN_SILENT: usize = 3;
/// Time for which a node owes a message before it counts as silent; longer than most requests run.
const SILENCE_TIMEOUT: Micros = 800 * MS;
/// Time for which a node owes a message before it is asked for one, as its request may run for long.
const ASK_TIMEOUT: Micros = 400 * MS;
/// Interval of questions to a region. Two rounds fit between these two times, as one may be lost.
const ASK_INTERVAL: Micros = 200 * MS;

impl RegionState {
    fn silent_nodes(&self, now: Micros) -> usize {
        let overdue = self.waiting.iter().filter(|(_, since)| now >= **since + SILENCE_TIMEOUT);
        let overdue = overdue.filter(|(ip, _)| !self.unreachable.contains(*ip)).count();
        self.unreachable.len() + overdue
    }

    /// Returns the nodes that have owed a message for longest, if they have to be asked now.
    fn take_questions(&mut self, now: Micros) -> Vec<IpAddr> {
        if self.lost || self.asked_at.is_some_and(|at| now < at + ASK_INTERVAL) {
            return Vec::new();
        }
        let owing = self.waiting.iter().filter(|(_, since)| now >= **since + ASK_TIMEOUT);
        let mut owing: Vec<(Micros, IpAddr)> = owing.map(|(ip, since)| (*since, *ip)).collect();
        owing.sort_unstable();
        owing.truncate(MIN_SILENT);
        if !owing.is_empty() {
            self.asked_at = Some(now);
        }
        owing.into_iter().map(|(_, ip)| ip).collect()
    }
}

/// Reachability of the other regions, as seen by one node.
#[derive(Clone, Debug, Default)]
pub struct RegionWatch {
    regions: BTreeMap<Name, RegionState>,
}

impl RegionWatch {
    /// Records a request to the node at `ip` of `region`.
    ///
    /// ```
    /// let mut watch = bbv_core::region_watch::RegionWatch::default();
    /// watch.record_request(0, "north", ([127, 0, 0, 1]).into());
    /// assert!(!watch.is_lost("north"));
    /// ```
    pub fn record_request(&mut self, now: Micros, region: &str, ip: IpAddr) {
        self.state(region).waiting.entry(ip).or_insert(now);
    }

    /// Records that no connection could be made to the node at `ip` of `region`.
    ///
    /// ```
    /// let mut watch = bbv_core::region_watch::RegionWatch::default();
    /// watch.record_unreachable("north", ([127, 0, 0, 1]).into());
    /// assert!(!watch.is_lost("north"));
    /// ```
    pub fn record_unreachable(&mut self, region: &str, ip: IpAddr) {
        self.state(region).unreachable.insert(ip);
    }

    /// Records a message from `region`; returns whether that ends its loss.
    ///
    /// ```
    /// let mut watch = bbv_core::region_watch::RegionWatch::default();
    /// assert_eq!(watch.record_message("north"), None);
    /// ```
    pub fn record_message(&mut self, region: &str) -> Option<RegionChange> {
        let state = self.regions.get_mut(region)?;
        let was = std::mem::take(state);
        was.lost.then_some(RegionChange::Back)
    }

    /// Returns the regions in reach that have silent nodes.
    ///
    /// ```
    /// let mut watch = bbv_core::region_watch::RegionWatch::default();
    /// watch.record_unreachable("north", ([127, 0, 0, 1]).into());
    /// assert_eq!(watch.suspects(0).len(), 1);
    /// ```
    pub fn suspects(&self, now: Micros) -> Vec<Name> {
        let silent = self.regions.iter().filter(|(_, state)| state.silent_nodes(now) > 0);
        silent.filter(|(_, state)| !state.lost).map(|(region, _)| region.clone()).collect()
    }

    /// Returns the nodes of regions in reach to ask for a message now, since their requests have run for
    /// long: one answer shows that their region is in reach.
    ///
    /// ```
    /// let mut watch = bbv_core::region_watch::RegionWatch::default();
    /// let node = [127, 0, 0, 1].into();
    /// watch.record_request(0, "north", node);
    /// assert!(watch.take_questions(399_999).is_empty());
    /// assert_eq!(watch.take_questions(400_000), vec![node]);
    /// ```
    pub fn take_questions(&mut self, now: Micros) -> Vec<IpAddr> {
        self.regions.values_mut().flat_map(|state| state.take_questions(now)).collect()
    }

    /// Decides whether `region`, of which `nodes` nodes are known, is out of reach; returns the change.
    ///
    /// ```
    /// use bbv_core::region_watch::{RegionChange, RegionWatch};
    /// let mut watch = RegionWatch::default();
    /// watch.record_unreachable("north", ([127, 0, 0, 1]).into());
    /// assert_eq!(watch.decide(0, "north", 9), None);
    /// assert_eq!(watch.decide(0, "north", 1), Some(RegionChange::Lost));
    /// ```
    pub fn decide(&mut self, now: Micros, region: &str, nodes: usize) -> Option<RegionChange> {
        let state = self.regions.get_mut(region)?;
        let enough = state.silent_nodes(now) >= MIN_SILENT.min(nodes.max(1));
        if state.lost || !enough {
            return None;
        }
        state.lost = true;
        Some(RegionChange::Lost)
    }

    /// Records that this process was paused, so that messages may have arrived that it has not read.
    ///
    /// ```
    /// bbv_core::region_watch::RegionWatch::default().record_pause(0);
    /// ```
    pub fn record_pause(&mut self, now: Micros) {
        for state in self.regions.values_mut() {
            state.waiting.values_mut().for_each(|since| *since = now);
        }
    }

    /// Returns whether `region` is out of reach.
    ///
    /// ```
    /// assert!(!bbv_core::region_watch::RegionWatch::default().is_lost("north"));
    /// ```
    pub fn is_lost(&self, region: &str) -> bool {
        self.regions.get(region).is_some_and(|state| state.lost)
    }

    /// Iterates over the regions that are out of reach.
    ///
    /// ```
    /// assert_eq!(bbv_core::region_watch::RegionWatch::default().lost().count(), 0);
    /// ```
    pub fn lost(&self) -> impl Iterator<Item = &Name> {
        self.regions.iter().filter(|(_, state)| state.lost).map(|(region, _)| region)
    }

    fn state(&mut self, region: &str) -> &mut RegionState {
        if !self.regions.contains_key(region) {
            self.regions.insert(region.into(), RegionState::default());
        }
        self.regions.get_mut(region).expect("inserted above")
    }
}
