//! Replays a peer that freezes or is cut off with a request on its way.

use bbv_core::peer::Peer;
use bbv_core::units::MS;

#[test]
fn peer_that_stays_silent_after_a_request_is_unresponsive() {
    let mut peer = Peer::default();
    peer.record_message();
    assert!(!peer.is_unresponsive(60_000 * MS, true), "nothing was asked of it");
    peer.record_request(100 * MS);
    peer.record_request(700 * MS);
    assert!(!peer.is_unresponsive(790 * MS, true));
    assert!(peer.is_unresponsive(810 * MS, true), "measured from the first request");
    assert!(!peer.is_unresponsive(810 * MS, false), "notices from other zones are rarer");
    assert!(peer.is_unresponsive(3_200 * MS, false));
    peer.record_message();
    assert!(!peer.is_unresponsive(9_000 * MS, true));
}
