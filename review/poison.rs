//! A request crashes each endpoint that runs it, and comes again, also after a node was restarted.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use crate::fleet::{Fleet, STABLE};
use crate::record::Run;
use crate::{Verdict, client, is_disturbed};

const ZONES: [&str; 3] = ["a", "b", "c"];
const POISON: &str = "/issue/poison";
/// Path that is sent in its place without the disruption.
const HARMLESS: &str = "/issue/harmless";
const WARM_UP: Duration = Duration::from_secs(5);
/// Time for which a crashed endpoint is down, and after which its old entry expires: three
/// heartbeats of 1.5 s.
const DOWN: Duration = Duration::from_millis(5_500);
const EXPIRY: Duration = Duration::from_millis(4_500);
const COLD_S: f64 = 3.0;
/// Times at which the request comes for the second and for the third time, and the interval
/// from then on.
const SECOND_AFTER: Duration = Duration::from_secs(5);
const THIRD_AFTER: Duration = Duration::from_secs(8);
const INTERVAL: Duration = Duration::from_secs(1);
const END_AFTER: Duration = Duration::from_secs(95);
/// Time of the planned restart of the node beside an endpoint that has not crashed.
const RESTART_AFTER: Duration = Duration::from_secs(15);
/// Retries that may reach endpoints after the third one has crashed.
const MAX_RETRIES: usize = 3;

/// Starts a crashed endpoint again as a new instance, and removes the old entry when it expires.
fn supervise(fleet: &Arc<Fleet>, index: usize, done: &AtomicBool) {
    let endpoint = Arc::clone(&fleet.machines[index].endpoint);
    for start in 1.. {
        while endpoint.is_up() {
            if done.load(Ordering::Relaxed) {
                return;
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        let old = format!("i-{index}-{}", start - 1);
        std::thread::sleep(EXPIRY);
        fleet.store.remove(&format!("servers/{old}"));
        fleet.record.note(format!("store: servers/{old} expired"));
        std::thread::sleep(DOWN.saturating_sub(EXPIRY));
        let id = format!("i-{index}-{start}");
        endpoint.restart(&id);
        fleet.publish(index, &id, COLD_S);
    }
}

/// Returns when the request comes for the time `count`, since the first.
fn comes_after(count: u32) -> Duration {
    match count {
        0 => Duration::ZERO,
        1 => SECOND_AFTER,
        _ => THIRD_AFTER + INTERVAL * (count - 2),
    }
}

pub fn run() -> (Arc<Fleet>, Verdict) {
    let fleet = Fleet::start(&ZONES, Some(POISON));
    let done = Arc::new(AtomicBool::new(false));
    for index in 0..ZONES.len() {
        let (fleet, done) = (Arc::clone(&fleet), Arc::clone(&done));
        std::thread::spawn(move || supervise(&fleet, index, &done));
    }
    fleet.start_clients(2, Duration::from_millis(100));
    let first = fleet.record.now() + WARM_UP;
    let path = if is_disturbed() { POISON } else { HARMLESS };
    let mut restarted = false;
    for count in 0.. {
        let after = comes_after(count);
        if after > END_AFTER {
            break;
        }
        fleet.wait_until(first + after);
        if !restarted && after >= RESTART_AFTER {
            restarted = true;
            restart_unharmed(&fleet);
        }
        let index = count as usize % ZONES.len();
        let machine = &fleet.machines[index];
        if machine.open.load(Ordering::Relaxed) {
            let attempt = format!("{index:02x}ff{count:012x}");
            client::send(None, machine.outbound(), "POST", path, &attempt, &fleet.record);
        }
    }
    done.store(true, Ordering::Relaxed);
    let verdict = judge(&fleet);
    fleet.stop();
    (fleet, verdict)
}

/// Stops the node beside the last endpoint that has not crashed, and starts it again.
fn restart_unharmed(fleet: &Arc<Fleet>) {
    let runs = fleet.record.runs();
    let crashed = |index: usize| runs.iter().any(|run| run.path == POISON && run.machine == index);
    let Some(index) = (0..ZONES.len()).rfind(|index| !crashed(*index)) else { return };
    let fleet = Arc::clone(fleet);
    std::thread::spawn(move || {
        fleet.stop_node(index);
        fleet.start_node(index);
    });
}

/// Returns when the third endpoint crashed; a start as a new instance is no other endpoint here.
fn third_crash(runs: &[Run]) -> Option<Duration> {
    let mut machines = BTreeSet::new();
    let third = runs.iter().find(|run| machines.insert(run.machine) && machines.len() == 3);
    third.map(|run| run.at)
}

fn judge(fleet: &Fleet) -> Verdict {
    let mut runs = fleet.record.runs();
    runs.retain(|run| run.path == POISON);
    let third = third_crash(&runs);
    let is_counted = |run: &&Run| {
        let ingress = client::machine_of(&run.attempt);
        third.is_some_and(|third| run.at > third + STABLE)
            && fleet.is_in_touch(run.machine, run.at)
            && ingress.is_some_and(|index| fleet.is_in_touch(index, run.at))
    };
    let late: Vec<&Run> = runs.iter().filter(is_counted).collect();
    let mut breaks = Vec::new();
    if late.len() > MAX_RETRIES {
        let machines: Vec<String> = late.iter().map(|run| run.machine.to_string()).collect();
        breaks.push(format!(
            "BUDGET: the request reached endpoints {} times later than {} s after it had crashed the third, beside machines {}",
            late.len(),
            STABLE.as_secs(),
            machines.join(",")
        ));
    }
    let sent = fleet.record.sent();
    let served = sent.iter().filter(|sent| sent.status == 200).count();
    let lost = sent.iter().filter(|sent| sent.path != POISON && [0, 502].contains(&sent.status));
    let summary = format!(
        "{} requests sent, {served} served, {} other requests lost, {} crashes",
        sent.len(),
        lost.count(),
        runs.len()
    );
    Verdict { breaks, summary }
}
