//! The open connections to the store go silent, and a route is dropped some seconds later.

use std::sync::Arc;
use std::time::Duration;

use crate::fleet::Fleet;
use crate::record::Run;
use crate::{Verdict, client, is_disturbed};

const ZONES: [&str; 6] = ["a", "a", "a", "b", "b", "b"];
const DROPPED: &str = "/issue/";
const WARM_UP: Duration = Duration::from_secs(6);
/// Time from the silence to the change of the configuration, longer than `stable_s`.
const CHANGE_AFTER: Duration = Duration::from_secs(5);
/// Time from the change to the end.
const END_AFTER: Duration = Duration::from_secs(30);
/// Bound `config_apply_s`.
const CONFIG_APPLY: Duration = Duration::from_secs(2);

pub fn run() -> (Arc<Fleet>, Verdict) {
    let fleet = Fleet::start(&ZONES, None);
    fleet.start_clients(3, Duration::from_millis(100));
    let silent_at = fleet.record.now() + WARM_UP;
    fleet.wait_until(silent_at);
    if is_disturbed() {
        let now = fleet.record.note("store: open connections go silent");
        fleet.store.silence_connections();
        // This counts as a reset of the connections of all machines.
        for index in 0..ZONES.len() {
            fleet.add_disruption(Some(index), now, now);
        }
    }
    fleet.wait_until(silent_at + CHANGE_AFTER);
    fleet.publish_config(8);
    let acked = fleet.record.note("store: configuration 8 acknowledged, without /issue/");
    fleet.wait_until(acked + END_AFTER);
    let verdict = judge(&fleet, acked);
    fleet.stop();
    (fleet, verdict)
}

fn judge(fleet: &Fleet, acked: Duration) -> Verdict {
    let sent = fleet.record.sent();
    let runs = fleet.record.runs();
    let sent_at =
        |run: &Run| sent.iter().find(|sent| sent.attempt == run.attempt).map(|sent| sent.at);
    let is_stale = |run: &&Run| {
        let ingress = client::machine_of(&run.attempt);
        run.path.starts_with(DROPPED)
            && run.at > acked + CONFIG_APPLY
            && sent_at(run).is_some_and(|at| at > acked + CONFIG_APPLY)
            && fleet.is_in_touch(run.machine, run.at)
            && ingress.is_some_and(|index| fleet.is_in_touch(index, run.at))
    };
    let stale: Vec<&Run> = runs.iter().filter(is_stale).collect();
    let mut breaks = Vec::new();
    if let (Some(first), Some(last)) = (stale.first(), stale.last()) {
        let after = |run: &Run| (run.at - acked).as_secs_f64();
        breaks.push(format!(
            "CONFIG: {} requests ran with a dropped route, from {:.3} s (id {}) to {:.3} s (id {}) after the acknowledgement",
            stale.len(),
            after(first),
            first.attempt,
            after(last),
            last.attempt
        ));
    }
    let served = sent.iter().filter(|sent| sent.status == 200).count();
    let refused = sent.iter().filter(|sent| sent.status == 404).count();
    let summary =
        format!("{} requests sent, {served} served, {refused} answered with 404", sent.len());
    Verdict { breaks, summary }
}
