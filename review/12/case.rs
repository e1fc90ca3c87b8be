//! A machine that was partitioned from the store uses its endpoint for too long after it has left.
#[path = "../stand-3/common.rs"]
mod common;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use common::*;

/// Length of a partition, as of `core_cut` in the site files.
const CUT_MS: u64 = 5_500;
/// Time from which no further partition begins.
const LAST_START_S: f64 = 98.0;
/// Time for which the nodes settle after a partition without a departure.
const PAUSE_MS: u64 = 300;
/// Departures without the disruption.
const CALM_DEPARTURES: usize = 4;
const DRAIN_S: f64 = 2.0;
const STABLE_S: f64 = 3.0;
/// Time for which an endpoint that has left serves on.
const SERVES: Duration = Duration::from_millis(4_000);
/// Least time from the heal to the first answer at which the endpoint leaves.
const LEAST_DELAY_S: f64 = 0.8;

fn main() {
    std::process::exit(play());
}

fn play() -> i32 {
    let record = Record::create();
    let folder = Folder::new("12");
    let troubled = is_troubled();
    let store = Arc::new(Store::default());
    store.put("op/config", &config(3, &[route("get", "idempotent", "s", 0.5), service("s")]));
    let (mut nodes, mut endpoints, mut paths) = (Vec::new(), Vec::new(), Vec::new());
    for (index, name) in ["a1", "a2", "b1"].iter().enumerate() {
        let ip = machine(index as u8 + 1);
        let zone = ["xela-a", "xela-a", "xela-b"][index];
        let down = Duration::from_secs(3);
        let spec = EndpointSpec { name, ip, service: "s", zone, slots: 9, down };
        let decide = |_: &Endpoint, _: &Message| Action::Answer(Duration::from_millis(20));
        endpoints.push(Endpoint::start(&spec, &store, &record, Box::new(decide)));
        let (platform, path) = store.listen(ip);
        paths.push(path);
        let spec = NodeSpec { name, ip, zone, service: "s", platform };
        nodes.push(Node::start(&folder.0, &["xela-a", "xela-b", "toto-c"], &spec));
    }
    wait_ready(&nodes);
    record.say("all nodes are ready");
    let ends = Arc::new(AtomicBool::new(false));
    let sent = Arc::new(std::sync::Mutex::new(std::collections::BTreeMap::new()));
    let clients: Vec<_> = (0..8)
        .map(|_| {
            let (addr, ends, sent) = (nodes[2].callers(), Arc::clone(&ends), Arc::clone(&sent));
            let record = Arc::clone(&record);
            thread::spawn(move || {
                while !ends.load(Ordering::Relaxed) {
                    let id = new_id();
                    lock(&sent).insert(id.clone(), seconds());
                    let text = request("GET", &format!("/get/{id}"), &id, 500, "");
                    let answer = exchange(addr, text.as_bytes(), Duration::from_millis(600));
                    let status = answer.as_ref().map_or(0, Message::status);
                    record.line(&format!("client got {status} for {id}"));
                    sleep_ms(30);
                }
            })
        })
        .collect();
    sleep_ms(4_000);
    let (mut late, mut departures) = (0, 0);
    while late == 0 && seconds() < LAST_START_S {
        if !troubled && departures == CALM_DEPARTURES {
            break;
        }
        if troubled {
            paths[2].cut();
            sleep_ms(CUT_MS);
            paths[2].heal();
        } else {
            sleep_ms(CUT_MS);
        }
        let healed = seconds();
        let delay = loop {
            if !troubled {
                sleep_ms(1_000);
                break 1.0;
            }
            if let Some(at) = *lock(&paths[2].answered) {
                break at - healed;
            }
            sleep_ms(2);
        };
        if delay < LEAST_DELAY_S {
            record.say(&format!("the first answer came {delay:.3} s after the heal"));
            sleep_ms(PAUSE_MS);
            continue;
        }
        let left = endpoints[2].leave(SERVES);
        departures += 1;
        sleep_ms(4_000 + 1_500);
        let sent = lock(&sent);
        let is_late = |arrival: &&Arrival| {
            let by = sent.get(&arrival.id).copied().unwrap_or(0.0);
            arrival.at > left + DRAIN_S && arrival.at < left + 4.2 && by > healed + STABLE_S
        };
        let arrivals = lock(&endpoints[2].arrivals);
        let arrived: Vec<f64> =
            arrivals.iter().filter(is_late).map(|arrival| arrival.at - left).collect();
        let most = arrived.iter().copied().fold(0.0, f64::max);
        record.say(&format!(
            "the endpoint left {:.3} s after the heal; {} requests reached it later than {DRAIN_S} s, \
             the last after {most:.3} s",
            left - healed,
            arrived.len()
        ));
        late += arrived.len();
    }
    ends.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| drop(client.join()));
    if departures == 0 {
        stop_unrun("no first answer came late enough after a heal");
    }
    if late > 0 {
        record.say("DRAIN is broken");
        return BROKEN;
    }
    record.say("DRAIN held");
    HELD
}
