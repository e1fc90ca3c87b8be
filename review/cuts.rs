//! The store cuts the watches that wait, while an endpoint leaves.

use std::sync::Arc;
use std::time::Duration;

use crate::fleet::{DRAIN, Fleet};
use crate::record::Run;
use crate::{Verdict, client, is_disturbed};

/// With two machines in each zone every node reads the store itself.
const ZONES: [&str; 8] = ["a", "a", "b", "b", "c", "c", "d", "d"];
/// Machines whose endpoints leave, with the time in seconds from the first departure.
const LEAVING: [(usize, u64); 3] = [(1, 0), (6, 6), (3, 12)];
const WARM_UP: Duration = Duration::from_secs(6);
/// Time from the cut to the departure.
const GAP: Duration = Duration::from_millis(20);
/// Time for which an endpoint that leaves still serves: the bound and a little longer.
const SERVES_ON: Duration = Duration::from_millis(2_300);

/// Endpoint that has left.
pub struct Departure {
    pub instance: String,
    /// Time at which the store had acknowledged it.
    pub acked: Duration,
}

/// Removes the entry of the endpoint of machine `index`, which serves on.
pub fn leave(fleet: &Fleet, index: usize) -> Departure {
    let instance = format!("i-{index}-0");
    fleet.store.remove(&format!("servers/{instance}"));
    let acked = fleet.record.note(format!("store: servers/{instance} removed, machine={index}"));
    Departure { instance, acked }
}

/// Ends the endpoint of machine `index`; its node gets SIGTERM after it.
pub fn end(fleet: &Arc<Fleet>, index: usize) {
    fleet.machines[index].endpoint.end();
    fleet.record.note(format!("endpoint {index} has ended"));
    let fleet = Arc::clone(fleet);
    std::thread::spawn(move || fleet.stop_node(index));
}

/// Returns the requests that reached endpoints too late after their departure.
pub fn judge(fleet: &Fleet, left: &[Departure]) -> Verdict {
    let mut breaks = Vec::new();
    let runs = fleet.record.runs();
    for departure in left.iter().filter(|departure| fleet.is_stable(departure.acked)) {
        let is_late = |run: &&Run| {
            let ingress = client::machine_of(&run.attempt);
            run.instance == departure.instance
                && run.at > departure.acked + DRAIN
                && fleet.is_in_touch(run.machine, run.at)
                && ingress.is_some_and(|index| fleet.is_in_touch(index, run.at))
        };
        let late: Vec<&Run> = runs.iter().filter(is_late).collect();
        let (Some(first), Some(last)) = (late.first(), late.last()) else { continue };
        let after = |run: &Run| (run.at - departure.acked).as_secs_f64();
        breaks.push(format!(
            "DRAIN: {} requests reached {} from {:.3} s (id {}) to {:.3} s (id {}) after the store had acknowledged that it left",
            late.len(),
            departure.instance,
            after(first),
            first.attempt,
            after(last),
            last.attempt
        ));
    }
    let sent = fleet.record.sent();
    let count =
        |statuses: &[u16]| sent.iter().filter(|sent| statuses.contains(&sent.status)).count();
    let summary = format!(
        "{} requests sent, {} served, {} ended with 502 or without an answer, {} endpoints left",
        sent.len(),
        count(&[200]),
        count(&[0, 502]),
        left.len()
    );
    Verdict { breaks, summary }
}

pub fn run() -> (Arc<Fleet>, Verdict) {
    let fleet = Fleet::start(&ZONES, None);
    fleet.start_clients(4, Duration::from_millis(100));
    let first = fleet.record.now() + WARM_UP;
    let mut left = Vec::new();
    for (index, after) in LEAVING {
        fleet.wait_until(first + Duration::from_secs(after));
        if is_disturbed() {
            fleet.record.note("store: watches cut");
            fleet.store.cut_watches();
        }
        std::thread::sleep(GAP);
        left.push(leave(&fleet, index));
        fleet.wait_until(first + Duration::from_secs(after) + SERVES_ON);
        end(&fleet, index);
    }
    let verdict = judge(&fleet, &left);
    fleet.stop();
    (fleet, verdict)
}
