//! Pages in which nodes of bbv-mesh send each other a routing.
//!
//! A routing may be larger than a slow link carries within the time of one call. It is sent as
//! changes to a routing that the receiver has, in pages of limited size. Which changes a page holds
//! depends only on the two versions and the number of changes before it, so that the receiver can
//! get each page from another node. It starts again only if no node that it asks has the version.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::route::{CallerLimits, Name, Routing, ServiceLimits};
use crate::routing_change::RouteChange;
use crate::units::Revision;

/// Size of the changes in one page, which a link of 10 Mbit/s carries in 26 ms.
pub const PAGE_BYTES: usize = 32 * 1_024;
/// Number of routings kept, as bases of changes and for nodes that have received a part of one.
const KEPT_ROUTINGS: usize = 3;

/// Which page a node asks for.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PageRequest {
    /// Version of its own routing; 0 if it has none.
    pub have: u64,
    /// Version that the changes are to apply to; 0 for an empty routing.
    pub base: u64,
    /// Version that it has received a part of; 0 if there is none.
    pub version: u64,
    /// Number of changes that it has received of that version.
    pub offset: usize,
}

/// Some of the changes that turn one routing into another.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RoutingPage {
    /// Revision of the store that published the routing, or a later one at which it was in force.
    pub revision: Revision,
    /// Version of the routing.
    pub version: u64,
    /// Version that the changes apply to; 0 for an empty routing.
    pub base: u64,
    /// Number of changes in the pages before this one.
    pub offset: usize,
    /// Limits of callers.
    pub limits: CallerLimits,
    /// Services, only in the first page.
    pub services: BTreeMap<Name, ServiceLimits>,
    /// Changes of this page.
    pub changes: Vec<RouteChange>,
    /// Whether no page follows.
    pub last: bool,
}

/// Routing with the revision of the store that it is known from.
#[derive(Clone, Debug)]
struct Published {
    revision: Revision,
    routing: Arc<Routing>,
}

/// The newest routings of a node, from which it sends pages.
#[derive(Clone, Debug, Default)]
pub struct RecentRoutings {
    published: VecDeque<Published>,
    /// Version of the latest page sent, which is kept while other nodes may continue it.
    sent: u64,
}

impl RecentRoutings {
    /// Adds a routing that is newer than all others.
    ///
    /// ```
    /// use std::sync::Arc;
    /// use bbv_core::{route::{CallerLimits, Routing}, routing_page::RecentRoutings};
    /// let limits = CallerLimits { head: 1, body: 1, head_time: 1, idle: 1 };
    /// let mut recent = RecentRoutings::default();
    /// recent.push(8, Arc::new(Routing::new(3, limits, Default::default(), Vec::new())));
    /// assert!(recent.get(3).is_some());
    /// ```
    pub fn push(&mut self, revision: Revision, routing: Arc<Routing>) {
        self.published.push_back(Published { revision, routing });
        while self.published.len() > KEPT_ROUTINGS {
            let is_dropped = |old: &Published| old.routing.version != self.sent;
            let index = self.published.iter().position(is_dropped).unwrap_or(0);
            self.published.remove(index);
        }
    }

    fn find(&self, version: u64) -> Option<&Published> {
        self.published.iter().find(|published| published.routing.version == version)
    }

    /// Returns the routing of `version`, if it is one of the newest.
    ///
    /// ```
    /// assert!(bbv_core::routing_page::RecentRoutings::default().get(3).is_none());
    /// ```
    pub fn get(&self, version: u64) -> Option<&Arc<Routing>> {
        self.find(version).map(|published| &published.routing)
    }

    /// Returns the page that `request` asks for, or the first page of the newest routing if this
    /// node cannot continue what the other has received. Returns `None` if the other node's routing
    /// is not older.
    ///
    /// ```
    /// use bbv_core::routing_page::{PageRequest, RecentRoutings};
    /// assert_eq!(RecentRoutings::default().page(&PageRequest::default()), None);
    /// ```
    pub fn page(&mut self, request: &PageRequest) -> Option<RoutingPage> {
        let page = self.find_page(request)?;
        self.sent = page.version;
        Some(page)
    }

    fn find_page(&self, request: &PageRequest) -> Option<RoutingPage> {
        let newest =
            self.published.back().filter(|newest| newest.routing.version > request.have)?;
        let base = self.get(request.base);
        let continued = self
            .find(request.version)
            .filter(|_| request.version > request.have && (base.is_some() || request.base == 0));
        let (published, offset) = match continued {
            Some(published) => (published, request.offset),
            None => (newest, 0),
        };
        Some(published.page(base.map(|base| &**base), offset))
    }
}

impl Published {
    fn page(&self, base: Option<&Routing>, offset: usize) -> RoutingPage {
        let routing = &self.routing;
        let mut changes = routing.changes_from(base);
        let total = changes.len();
        let offset = offset.min(total);
        let mut size = 0;
        let mut page: Vec<RouteChange> = changes.drain(offset..).collect();
        let fits = |change: &RouteChange| {
            size += change.encoded_size();
            size <= PAGE_BYTES
        };
        let count = page.iter().map(fits).take_while(|fits| *fits).count();
        page.truncate(count.max(1));
        RoutingPage {
            revision: self.revision,
            version: routing.version,
            base: base.map_or(0, |base| base.version),
            offset,
            limits: routing.limits,
            services: if offset == 0 { routing.services.clone() } else { BTreeMap::new() },
            last: offset + page.len() == total,
            changes: page,
        }
    }
}

/// Routing that a node has received with its revision.
#[derive(Clone, Debug, PartialEq)]
pub struct ReceivedRouting {
    /// Revision of the store at which it was in force.
    pub revision: Revision,
    /// The routing.
    pub routing: Routing,
}

/// What a page was to the node that received it.
#[derive(Clone, Debug, PartialEq)]
pub enum PageResult {
    /// It does not belong to the routing that is being received.
    Ignored,
    /// It was added to the pages received.
    Added,
    /// It was the last one.
    Complete(ReceivedRouting),
}

/// Pages that a node has received of one routing.
#[derive(Clone, Debug, Default)]
pub struct RoutingTransfer {
    /// All changes received, as if they were one page.
    received: Option<RoutingPage>,
}

impl RoutingTransfer {
    /// Returns which page to ask for next by a node whose routing has version `have`.
    ///
    /// ```
    /// use bbv_core::routing_page::RoutingTransfer;
    /// assert_eq!(RoutingTransfer::default().request(7).base, 7);
    /// ```
    pub fn request(&self, have: u64) -> PageRequest {
        match self.received.as_ref().filter(|received| received.version > have) {
            Some(received) => PageRequest {
                have,
                base: received.base,
                version: received.version,
                offset: received.changes.len(),
            },
            None => PageRequest { have, base: have, ..PageRequest::default() },
        }
    }

    /// Adds a page that follows the ones received, or the first page of another routing that is not
    /// older. If a page of the same version does not fit, the pages received are dropped.
    ///
    /// ```
    /// use std::sync::Arc;
    /// use bbv_core::{
    ///     route::{CallerLimits, Routing},
    ///     routing_page::{PageResult, RecentRoutings, RoutingTransfer},
    /// };
    /// let limits = CallerLimits { head: 1, body: 1, head_time: 1, idle: 1 };
    /// let mut sender = RecentRoutings::default();
    /// sender.push(8, Arc::new(Routing::new(3, limits, Default::default(), Vec::new())));
    /// let mut transfer = RoutingTransfer::default();
    /// let page = sender.page(&transfer.request(0)).unwrap();
    /// let result = transfer.add(page, &RecentRoutings::default());
    /// assert!(matches!(result, PageResult::Complete(received) if received.revision == 8));
    /// ```
    pub fn add(&mut self, page: RoutingPage, known: &RecentRoutings) -> PageResult {
        let last = page.last;
        match &mut self.received {
            Some(received) if received.is_followed_by(&page) => {
                received.changes.extend(page.changes);
                received.revision = received.revision.max(page.revision);
            }
            Some(received) if page.version < received.version || received.holds(&page) => {
                return PageResult::Ignored;
            }
            _ if page.offset == 0 => self.received = Some(page),
            _ => {
                self.received = None;
                return PageResult::Ignored;
            }
        }
        if !last {
            return PageResult::Added;
        }
        self.complete(known).map_or(PageResult::Ignored, PageResult::Complete)
    }

    fn complete(&mut self, known: &RecentRoutings) -> Option<ReceivedRouting> {
        let RoutingPage { revision, version, base, limits, services, changes, .. } =
            self.received.take()?;
        let base = match base {
            0 => None,
            base => Some(known.get(base)?),
        };
        let base = base.map(|base| &**base);
        let routing = Routing::from_changes(base, version, limits, services, changes);
        Some(ReceivedRouting { revision, routing })
    }
}

impl RoutingPage {
    /// Returns whether the changes of `page` are among these.
    fn holds(&self, page: &RoutingPage) -> bool {
        let range = page.offset..page.offset + page.changes.len();
        (page.version, page.base) == (self.version, self.base)
            && !page.changes.is_empty()
            && self.changes.get(range).is_some_and(|held| held == page.changes)
    }

    fn is_followed_by(&self, page: &RoutingPage) -> bool {
        page.offset > 0
            && (page.version, page.base, page.offset)
                == (self.version, self.base, self.changes.len())
    }
}
