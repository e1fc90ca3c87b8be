//! What an upstream of another zone or region costs a request besides its latency, for bbv-mesh.
//!
//! It matters when demand rises in one region while another has room: requests leave their region
//! only when callers would be worse off there.

use crate::distance::Distance;

/// Losses that a kilobyte is worth, as shares of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct KbCosts {
    /// Between zones of a region.
    pub zone: f64,
    /// Between regions.
    pub region: f64,
}

/// Sizes of a call.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Carriage {
    /// Kilobytes of the request.
    pub request_kb: f64,
    /// Expected kilobytes of the response.
    pub response_kb: f64,
}

/// Largest loss that bytes between regions are worth: an answer that is more likely late than in
/// time is worth them.
const MAX_REGION_LOSS: f64 = 0.5;

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
        Distance::Remote => {
            let bytes_loss = costs.region * (call.request_kb + call.response_kb);
            bytes_loss.min(MAX_REGION_LOSS)
        }
    }
}
