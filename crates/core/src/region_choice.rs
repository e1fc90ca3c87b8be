//! What an upstream of another zone or region costs a request besides its latency, for bbv-mesh.
//!
//! It matters when demand rises in one region while another has room: requests leave their region
//! only when callers would be worse off there.

use crate::distance::Distance;
use crate::units::Micros;

/// Losses that a kilobyte is worth, as shares of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct KbCosts {
    /// Between zones of a region.
    pub zone: f64,
    /// Between regions.
    pub region: f64,
}

/// Request and response of a call, and how it has fared.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Carriage {
    /// Kilobytes of the request.
    pub request_kb: f64,
    /// Expected kilobytes of the response.
    pub response_kb: f64,
    /// Number of refusals for lack of room.
    pub refusals: usize,
}

/// Largest loss that bytes between regions are worth: an answer that is more likely late than in
/// time is worth them.
const MAX_REGION_LOSS: f64 = 0.5;
/// Number of refusals after which the bytes to another region no longer count.
const MAX_NEAR_REFUSALS: usize = 2;

/// Returns the loss that the bytes of a call at `distance` are worth.
///
/// ```
/// use bbv_core::distance::Distance;
/// use bbv_core::region_choice::{Carriage, KbCosts, bytes_loss};
/// let (costs, call) = (KbCosts { zone: 0.1, region: 0.2 }, Carriage::default());
/// assert_eq!(bytes_loss(Distance::Remote, costs, call), 0.0);
/// ```
pub fn bytes_loss(distance: Distance, costs: KbCosts, call: Carriage) -> f64 {
    match distance {
        Distance::Zone => 0.0,
        Distance::Region => costs.zone * call.response_kb,
        Distance::Remote if call.refusals >= MAX_NEAR_REFUSALS => 0.0,
        Distance::Remote => {
            let bytes_loss = costs.region * (call.request_kb + call.response_kb);
            bytes_loss.min(MAX_REGION_LOSS)
        }
    }
}

/// Share of the service time by which a request takes longer if all slots of its upstream are used.
const FULL_USE_SHARE: f64 = 0.4;

/// Returns the latency to add to that of an upstream at `distance` whose load is not known.
///
/// Upstreams of other regions send no notices, so one that got no request lately counts as fully
/// used: a surge does not run to a region of which nothing is known.
///
/// ```
/// use bbv_core::distance::Distance;
/// use bbv_core::region_choice::unknown_cost;
/// assert!(unknown_cost(Distance::Remote, 10_000) > unknown_cost(Distance::Region, 10_000));
/// ```
pub fn unknown_cost(distance: Distance, service_time: Micros) -> Micros {
    match distance {
        Distance::Zone | Distance::Region => 0,
        Distance::Remote => (service_time as f64 * FULL_USE_SHARE) as Micros,
    }
}
