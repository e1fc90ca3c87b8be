//! The store forgets its history just after an endpoint has left, while watches wait.

use std::sync::Arc;
use std::time::Duration;

use crate::fleet::Fleet;
use crate::{Verdict, cuts, is_disturbed};

const ZONES: [&str; 12] = ["a", "a", "a", "a", "a", "a", "a", "a", "a", "a", "b", "b"];
/// Machines whose endpoints leave, the first one a tenth of a second before the others. Two nodes
/// of the zone read the store, so that at least one of the others is beside a node that does not.
const FIRST: usize = 1;
const LEAVING: [usize; 3] = [3, 5, 7];
const WARM_UP: Duration = Duration::from_secs(6);
/// Time for which watches hear nothing before the history is discarded.
const SILENCE: Duration = Duration::from_secs(1);
/// Time for which the endpoints that leave still serve.
const SERVES_ON: Duration = Duration::from_secs(15);
/// Time from their end to the end of the run.
const LAST: Duration = Duration::from_secs(2);

pub fn run() -> (Arc<Fleet>, Verdict) {
    let fleet = Fleet::start(&ZONES, None);
    fleet.start_clients(4, Duration::from_millis(100));
    let leaves_at = fleet.record.now() + WARM_UP;
    fleet.wait_until(leaves_at);
    cuts::leave(&fleet, FIRST);
    fleet.wait_until(leaves_at + Duration::from_millis(100));
    let left: Vec<_> = LEAVING.iter().map(|index| cuts::leave(&fleet, *index)).collect();
    fleet.wait_until(leaves_at + Duration::from_millis(150));
    let start = fleet.record.now();
    if is_disturbed() {
        fleet.record.note("store: watches hear nothing");
        fleet.store.silence_watches();
    }
    std::thread::sleep(SILENCE);
    if is_disturbed() {
        fleet.store.discard_history();
        fleet.store.cut_watches();
        fleet.record.note("store: history discarded, watches cut");
    }
    // Without the disruption the same time is left out of the check.
    fleet.add_disruption(None, start, fleet.record.now());
    fleet.wait_until(leaves_at + SERVES_ON);
    for index in LEAVING {
        cuts::end(&fleet, index);
    }
    fleet.wait_until(leaves_at + SERVES_ON + LAST);
    let verdict = cuts::judge(&fleet, &left);
    fleet.stop();
    (fleet, verdict)
}
