//! Case 6: an endpoint in trouble sends a body without end, in small pieces. The process beside it
//! grows beyond the memory of its machine.

#[path = "../stand-2/common.rs"]
mod common;

use std::collections::BTreeSet;
use std::io::{self, Write};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use common::{BROKEN, Client, Deployment, Ended, Endpoint, HELD, NOT_RUN, Record, Store};

/// `memory_mb` of the machines of a small deployment.
const MEMORY_BYTES: u64 = 260 << 20;
/// Slots of an endpoint.
const SLOTS: u32 = 6;
/// Work of a lookup and of a deposit.
const LOOKUP_WORK: Duration = Duration::from_millis(160);
const DEPOSIT_WORK: Duration = Duration::from_millis(110);
const LOOKUP_DEADLINE: Duration = Duration::from_millis(3_000);
const DEPOSIT_DEADLINE: Duration = Duration::from_millis(2_000);
/// Clients of lookups and of deposits on the machine of the endpoint in trouble.
const LOOKUP_CLIENTS: usize = 6;
const DEPOSIT_CLIENTS: usize = 9;
/// Mean pause between two requests of a client.
const THINK_TIME: Duration = Duration::from_millis(150);
/// Pause between two pieces of a body without end.
const PIECE_PAUSE: Duration = Duration::from_micros(20);
/// One piece: a chunk of one byte.
const PIECE: &[u8] = b"1\r\nx\r\n";
/// Time with sound endpoints before the trouble, which is longer than `stable_s`.
const CALM: Duration = Duration::from_secs(6);
const TROUBLE_TIME: Duration = Duration::from_millis(5_500);
/// Time after the trouble until the clients stop.
const AFTER: Duration = Duration::from_secs(6);
/// Delay after which the platform starts a process again.
const RESTART_DELAY: Duration = Duration::from_millis(300);
/// Number of requests that a machine may lose (LOST: "more than three times").
const ALLOWED: usize = 3;

fn main() {
    std::process::exit(run().unwrap_or_else(|error| {
        println!("the case could not run: {error}");
        NOT_RUN
    }));
}

fn run() -> io::Result<i32> {
    let record = Record::new("review/6/record.txt")?;
    let trouble = common::has_trouble();
    let Some(ips) = common::free_addresses(3) else {
        record.say("no free addresses");
        return Ok(NOT_RUN);
    };
    let store = Arc::new(Store::default());
    let in_trouble = Arc::new(AtomicBool::new(false));
    let pieces = Arc::new(AtomicU64::new(0));
    let (flag, sent) = (Arc::clone(&in_trouble), Arc::clone(&pieces));
    let lookup = Arc::new(
        move |endpoint: &Endpoint, request: &common::Message, reader: &mut common::Reader| {
            if endpoint.id != "i-1" || !flag.load(Ordering::Relaxed) {
                return endpoint.answer(request, reader, LOOKUP_WORK, &[b'l'; 5_000]);
            }
            let head = format!("{}Transfer-Encoding: chunked\r\n\r\n", endpoint.head(request));
            reader.stream.write_all(head.as_bytes())?;
            loop {
                reader.stream.write_all(PIECE)?;
                sent.fetch_add(1, Ordering::Relaxed);
                thread::sleep(PIECE_PAUSE);
            }
        },
    );
    let deposit =
        Arc::new(|endpoint: &Endpoint, request: &common::Message, reader: &mut common::Reader| {
            endpoint.answer(request, reader, DEPOSIT_WORK, &[b'd'; 1_500])
        });
    let addr = |index: usize| std::net::SocketAddr::new(ips[index], common::APP);
    let desk_1 = Endpoint::start("i-1", addr(0), SLOTS, lookup.clone())?;
    let desk_2 = Endpoint::start("i-2", addr(1), SLOTS, lookup)?;
    let ledger = Endpoint::start("i-3", addr(2), SLOTS, deposit)?;
    let routes = [
        common::route("slot-lookup", "/lookup/", "idempotent", 3.0, "slot-desk"),
        common::route("deposit-capture", "/deposit/", "non_idempotent", 2.0, "fit-ledger"),
    ];
    store.put("op/config", &common::config(7, &routes, &["slot-desk", "fit-ledger"], 35.0));
    let places = [("slot-desk", "xela-a"), ("slot-desk", "xela-b"), ("fit-ledger", "toto-c")];
    for (index, (service, zone)) in places.iter().enumerate() {
        let entry =
            common::entry(ips[index], service, zone, SLOTS, "ready", 1_000 + index as u64, 1);
        store.put(&format!("servers/i-{}", index + 1), &entry);
    }
    let deployment = Deployment::new("case-6")?;
    let mut machines = Vec::new();
    for (index, (service, zone)) in places.iter().enumerate() {
        let (name, listener) = (format!("sidecar-{zone}-1"), store.listen(index)?);
        machines.push(Arc::new(deployment.start(ips[index], &name, zone, service, listener)?));
    }
    if !machines.iter().all(|machine| machine.wait_until_ready(Duration::from_secs(15))) {
        record.say("a machine did not get ready");
        return Ok(NOT_RUN);
    }
    record.say(&format!("started, trouble={trouble}, memory_mb=260"));
    let stop = Arc::new(AtomicBool::new(false));

    // The platform kills a process that exceeds the memory of its machine, and starts it again.
    let kills = Arc::new(Mutex::new(Vec::<Instant>::new()));
    let peak = Arc::new(AtomicU64::new(0));
    let mut threads = Vec::new();
    for machine in &machines {
        let (machine, stop, record) = (Arc::clone(machine), Arc::clone(&stop), record.clone());
        let (kills, peak) = (Arc::clone(&kills), Arc::clone(&peak));
        threads.push(thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                let memory = machine.memory();
                peak.fetch_max(memory, Ordering::Relaxed);
                if memory > MEMORY_BYTES {
                    machine.signal("KILL");
                    kills.lock().unwrap().push(Instant::now());
                    record.say(&format!(
                        "{}: {} MiB resident, killed",
                        machine.name,
                        memory / (1 << 20)
                    ));
                    thread::sleep(RESTART_DELAY);
                    let _ = machine.restart();
                }
                thread::sleep(Duration::from_millis(2));
            }
        }));
    }

    // Clients of the machine of the endpoint in trouble.
    let lost = Arc::new(Mutex::new(BTreeSet::new()));
    let answered = Arc::new(AtomicU64::new(0));
    for number in 0..LOOKUP_CLIENTS + DEPOSIT_CLIENTS {
        let is_lookup = number < LOOKUP_CLIENTS;
        let (addr, stop, record) = (machines[0].outbound(), Arc::clone(&stop), record.clone());
        let (lost, ledger, answered) =
            (Arc::clone(&lost), Arc::clone(&ledger), Arc::clone(&answered));
        threads.push(thread::spawn(move || {
            let mut client = Client::new(addr);
            let mut count = 0;
            while !stop.load(Ordering::Relaxed) {
                count += 1;
                let id = format!("{number:02x}{count:06x}");
                let (text, deadline) = if is_lookup {
                    let path = format!("/lookup/{id}");
                    (common::request("GET", &path, &id, 3_000, b""), LOOKUP_DEADLINE)
                } else {
                    let path = format!("/deposit/{id}");
                    (common::request("POST", &path, &id, 2_000, &[b'p'; 300]), DEPOSIT_DEADLINE)
                };
                let ended = client.send(&text, deadline);
                let kept = client.used > 1;
                let what = match &ended {
                    Ended::Answered(response) => {
                        answered.fetch_add(1, Ordering::Relaxed);
                        format!("status {}", response.status())
                    }
                    other => format!("{other:?}"),
                };
                let ran = !is_lookup && ledger.has_run(&id);
                record
                    .line(&format!("request {id} kept={kept} ran-at-sound-endpoint={ran}: {what}"));
                if matches!(ended, Ended::Cut(_)) && kept && ran {
                    lost.lock().unwrap().insert(id);
                }
                thread::sleep(THINK_TIME);
            }
        }));
    }
    thread::sleep(CALM);
    if trouble {
        in_trouble.store(true, Ordering::Relaxed);
        record.say("i-1 answers lookups with bodies that do not end");
    }
    thread::sleep(TROUBLE_TIME);
    in_trouble.store(false, Ordering::Relaxed);
    record.say("the trouble has ended");
    thread::sleep(AFTER);
    stop.store(true, Ordering::Relaxed);
    for thread in threads {
        let _ = thread.join();
    }
    record.runs([&desk_1, &desk_2, &ledger]);
    let (kills, lost) = (kills.lock().unwrap().len(), lost.lock().unwrap());
    for id in lost.iter() {
        record.line(&format!(
            "lost: {id} ran at the sound endpoint i-3 and its connection was closed"
        ));
    }
    record.say(&format!(
        "peak {} MiB, processes killed for memory: {kills}, answered: {}, pieces sent: {}, \
         requests on kept connections that ran at a sound endpoint and got no answer: {}",
        peak.load(Ordering::Relaxed) / (1 << 20),
        answered.load(Ordering::Relaxed),
        pieces.load(Ordering::Relaxed),
        lost.len()
    ));
    Ok(if lost.len() > ALLOWED { BROKEN } else { HELD })
}
