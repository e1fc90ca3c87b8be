//! A request that crashes the endpoints that run it comes again and again.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use crate::common::*;

/// Time after a crash until the endpoint is back.
const DOWN: Duration = Duration::from_secs(3);
/// `stable_s` of a small deployment.
const STABLE_S: f64 = 3.0;
/// Retries that the rule allows.
const ALLOWED: usize = 3;
/// Time that an ordinary request takes, and that the bad one takes until it crashes the endpoint.
const WORK: Duration = Duration::from_millis(20);
/// Path of the bad request.
const BAD: &str = "/get/bad";
/// Pause of each client between two requests.
const PAUSE_MS: u64 = 50;

/// A case with a bad request.
pub struct Case {
    /// Number of its folder.
    pub number: &'static str,
    /// What the bad request does to an endpoint; `None` if it is answered.
    pub bad: fn() -> Option<Action>,
    /// Time for which the request comes.
    pub played_s: f64,
}

/// Counts of the answers to requests that may run once at most.
#[derive(Default)]
struct Counts {
    served: AtomicU64,
    lost: AtomicU64,
}

/// Sends requests that may run once at most to `node` until `ends`.
fn book(node: std::net::SocketAddr, counts: &Counts, ends: &AtomicBool, record: &Record) {
    while !ends.load(Ordering::Relaxed) {
        let id = new_id();
        let text = request("POST", &format!("/post/{id}"), &id, 500, "booking");
        let answer = exchange(node, text.as_bytes(), Duration::from_millis(600));
        let status = answer.as_ref().map_or(0, Message::status);
        record.line(&format!("client of {node} got {status} for POST {id}"));
        match status {
            200 => counts.served.fetch_add(1, Ordering::Relaxed),
            502 | 504 | 0 => counts.lost.fetch_add(1, Ordering::Relaxed),
            _ => 0,
        };
        sleep_ms(PAUSE_MS);
    }
}

impl Case {
    pub fn play(&self) -> i32 {
        let record = Record::create();
        let folder = Folder::new(self.number);
        let store = Arc::new(Store::default());
        let routes = [
            route("get", "idempotent", "s", 0.5),
            route("post", "non_idempotent", "s", 0.5),
            service("s"),
        ];
        store.put("op/config", &config(3, &routes));
        let mut nodes = Vec::new();
        let mut endpoints = Vec::new();
        for (index, name) in ["a", "b", "c"].iter().enumerate() {
            let ip = machine(index as u8 + 1);
            let spec =
                EndpointSpec { name, ip, service: "s", zone: "xela-a", slots: 9, down: DOWN };
            let bad = self.bad;
            let decide = move |_: &Endpoint, request: &Message| {
                let crash = (request.target().1 == BAD).then(bad).flatten();
                crash.unwrap_or(Action::Answer(WORK))
            };
            endpoints.push(Endpoint::start(&spec, &store, &record, Box::new(decide)));
            let (platform, _) = store.listen(ip);
            let spec = NodeSpec { name, ip, zone: "xela-a", service: "s", platform };
            nodes.push(Node::start(&folder.0, &["xela-a", "xela-b", "toto-c"], &spec));
        }
        wait_ready(&nodes);
        record.say("all nodes are ready");
        let (counts, ends) = (Arc::new(Counts::default()), Arc::new(AtomicBool::new(false)));
        let clients: Vec<_> = nodes
            .iter()
            .map(|node| {
                let addr = node.callers();
                let (counts, ends) = (Arc::clone(&counts), Arc::clone(&ends));
                let record = Arc::clone(&record);
                thread::spawn(move || book(addr, &counts, &ends, &record))
            })
            .collect();
        let send = |node: &Node| {
            let id = new_id();
            let text = request("GET", BAD, &id, 500, "");
            let answer = exchange(node.callers(), text.as_bytes(), Duration::from_millis(600));
            let status = answer.as_ref().map_or(0, Message::status);
            record.line(&format!("client of {} got {status} for {id} {BAD}", node.name));
        };
        let stops_at = seconds() + self.played_s;
        let mut turn = 0;
        while seconds() < stops_at {
            send(&nodes[turn % 3]);
            turn += 1;
            sleep_ms(500);
        }
        ends.store(true, Ordering::Relaxed);
        clients.into_iter().for_each(|client| drop(client.join()));
        let crashes = endpoints.iter().map(|endpoint| lock(&endpoint.crashes).len());
        record.say(&format!("{} crashes in all", crashes.sum::<usize>()));
        // The time at which each endpoint crashed for the first time.
        let firsts =
            endpoints.iter().filter_map(|endpoint| lock(&endpoint.crashes).first().copied());
        let mut firsts: Vec<f64> = firsts.collect();
        firsts.sort_by(f64::total_cmp);
        let (served, lost) = (&counts.served, &counts.lost);
        record.say(&format!(
            "other requests that may run once: {} served, {} lost",
            served.load(Ordering::Relaxed),
            lost.load(Ordering::Relaxed)
        ));
        let late = |endpoint: &Arc<Endpoint>, third: f64| {
            let arrivals = lock(&endpoint.arrivals);
            let bad = arrivals.iter().filter(|arrival| arrival.target == BAD);
            bad.filter(|arrival| arrival.at > third + STABLE_S).count()
        };
        let late = match firsts.get(2) {
            Some(third) => endpoints.iter().map(|endpoint| late(endpoint, *third)).sum(),
            None => 0,
        };
        record.say(&format!(
            "{late} retries later than {STABLE_S} s after the third endpoint crashed"
        ));
        if late > ALLOWED {
            record.say("BUDGET is broken");
            return BROKEN;
        }
        record.say("BUDGET held");
        HELD
    }
}
