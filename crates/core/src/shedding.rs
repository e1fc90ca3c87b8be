//! Decides at an ingress of bbv-mesh whether a request is refused at once because the services that
//! it needs lack room for its rank, before it takes room anywhere.
//!
//! It answers loads beyond the room of a service whose upstreams run requests of several ranks, or
//! calls of such requests.

use crate::room::Room;
use crate::units::{MS, Micros};

/// Share of requests that are let through in any case, which shows that there is room again.
const PROBE_SHARE: f64 = 1.0 / 32.0;
/// Room of a service for a share of the requests to it from which all of them are let through, and below
/// it as many more than the share. A gate refuses a request that has not run at no cost, by exact
/// counts, so that only what has hardly any room is refused before.
const AMPLE_SHARE: f64 = 0.2;
/// Chance from which all requests are let through.
const FULL_SHARE: f64 = 0.95;
/// Shortest time after which a refused request may be retried.
const MIN_RETRY_AFTER: Micros = 100 * MS;
/// Spread of the times after which refused requests may be retried, as a share of the time.
const RETRY_SPREAD: f64 = 0.5;

/// Room of the upstreams of one service for one rank, as known to an ingress.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServiceRoom {
    /// Share of the requests that there is room for.
    pub share: f64,
    /// Time until more room is expected.
    pub lack: Micros,
}

impl ServiceRoom {
    /// Combines the reports of the upstreams of a service; `None` if there is none.
    ///
    /// ```
    /// use bbv_core::room::Room;
    /// use bbv_core::shedding::ServiceRoom;
    /// let rooms = [Room { level_pct: 0, lack_ms: 900 }, Room::default()];
    /// let room = ServiceRoom::new(rooms.into_iter(), 0).unwrap();
    /// assert_eq!((room.share, room.lack), (0.5, 900_000));
    /// ```
    pub fn new(rooms: impl Iterator<Item = Room>, rank: u8) -> Option<Self> {
        let (mut count, mut shares, mut lack) = (0, 0.0, 0);
        for room in rooms {
            count += 1;
            shares += room.share(rank);
            lack = lack.max(Micros::from(room.lack_ms) * MS);
        }
        (count > 0).then(|| ServiceRoom { share: shares / f64::from(count), lack })
    }
}

/// Decision about a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    /// The request is sent, and stands for `weight` requests.
    Admit {
        /// Inverse of the share of requests that are let through.
        weight: f64,
    },
    /// The request is refused.
    Refuse {
        /// Time after which room is expected.
        retry_after: Micros,
    },
}

/// Chance that a request makes all of its calls to a service with room for `share` of them. With fewer
/// calls than requests, the others need no room there.
fn call_chance(share: f64, calls: f64) -> f64 {
    if calls < 1.0 { 1.0 - calls * (1.0 - share) } else { share.powf(calls) }
}

/// Decides about a request of a caller.
///
/// `service` is the room of the service that it is sent to, and `calls` the room of each service
/// that it calls, with the mean number of calls. `slack` is the time for which the request can wait and
/// still meet its target: a lack that ends within it is none. `draw` and `spread` are random, from 0 to 1.
///
/// ```
/// use bbv_core::shedding::{ServiceRoom, Verdict, decide};
/// let none = ServiceRoom { share: 0.0, lack: 2_000_000 };
/// assert_eq!(decide(None, [], 0, 0.5, 0.5), Verdict::Admit { weight: 1.0 });
/// assert!(matches!(decide(None, [(none, 1.4)], 0, 0.5, 0.5), Verdict::Refuse { .. }));
/// ```
pub fn decide(
    service: Option<ServiceRoom>,
    calls: impl IntoIterator<Item = (ServiceRoom, f64)>,
    slack: Micros,
    draw: f64,
    spread: f64,
) -> Verdict {
    let own = service.map(|room| ((room.share / AMPLE_SHARE).min(1.0), room));
    let called = calls.into_iter().map(|(room, calls)| (call_chance(room.share, calls), room));
    let (mut share, mut lack): (f64, Micros) = (1.0, 0);
    let lacks = own.into_iter().chain(called).filter(|(_, room)| room.lack > slack);
    for (room_share, room) in lacks {
        share = share.min(room_share);
        if room_share < FULL_SHARE {
            lack = lack.max(room.lack);
        }
    }
    if share >= FULL_SHARE {
        return Verdict::Admit { weight: 1.0 };
    }
    let chance = share.max(PROBE_SHARE);
    if draw < chance {
        return Verdict::Admit { weight: 1.0 / chance };
    }
    // With a larger share, one of the next tries passes before the lack has ended.
    let wait = (lack as f64 * (1.0 - share)).max(MIN_RETRY_AFTER as f64);
    Verdict::Refuse { retry_after: (wait * (1.0 + RETRY_SPREAD * spread)) as Micros }
}
