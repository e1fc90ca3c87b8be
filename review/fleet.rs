//! Fleet of `bbv-mesh` processes on loopback addresses, with a store, endpoints and clients.

use std::fs::{self, File};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crate::client;
use crate::endpoint::Endpoint;
use crate::http::Conn;
use crate::record::Record;
use crate::store::Store;

/// Program of the deploy file.
const PROGRAM: &str = "target/release/bbv-mesh";
/// Bounds of the small deployment `pqi-xela`.
pub const DRAIN: Duration = Duration::from_secs(2);
pub const STABLE: Duration = Duration::from_secs(3);
const GRACE_S: u32 = 6;
/// Interval of readiness checks, and number of misses after which clients get no new work.
const READINESS_INTERVAL: Duration = Duration::from_secs(1);
const MAX_MISSES: u32 = 2;
const START_TIMEOUT: Duration = Duration::from_secs(30);
pub const SERVICE: &str = "records";
pub const HOST: &str = "records.example";

pub struct Machine {
    pub name: String,
    pub zone: &'static str,
    ip: IpAddr,
    base: u16,
    pub endpoint: Arc<Endpoint>,
    child: Mutex<Option<Child>>,
    /// Whether its clients get new work.
    pub open: AtomicBool,
    /// Time of the latest start of its node.
    started: Mutex<Duration>,
}

impl Machine {
    fn addr(&self, offset: u16) -> SocketAddr {
        SocketAddr::new(self.ip, self.base + offset)
    }

    /// Address for clients.
    pub fn outbound(&self) -> SocketAddr {
        self.addr(0)
    }

    fn is_ready(&self) -> bool {
        let Ok(stream) = TcpStream::connect(self.addr(2)) else { return false };
        // An error shows at the read.
        let _ = stream.set_read_timeout(Some(READINESS_INTERVAL));
        let mut conn = Conn::new(stream);
        let sent = conn.write(b"GET /-/readiness HTTP/1.1\r\nHost: node\r\n\r\n");
        sent.is_ok() && matches!(conn.read(), Ok(Some(answer)) if answer.status() == 200)
    }
}

pub struct Fleet {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub machines: Vec<Arc<Machine>>,
    folder: PathBuf,
    platform: SocketAddr,
    stopped: Arc<AtomicBool>,
    threads: Mutex<Vec<JoinHandle<()>>>,
    /// Start and end of the disruptions of the store, and of single machines.
    disruptions: Mutex<Vec<(Option<usize>, Duration, Duration)>>,
}

/// Number of ports of one machine.
const PORTS: u16 = 6;

fn is_free(addr: SocketAddr) -> bool {
    TcpListener::bind(addr).is_ok() && UdpSocket::bind(addr).is_ok()
}

/// Finds loopback addresses on which the same ports are free: one for the store, then the machines.
fn find_addrs(count: usize) -> (Vec<IpAddr>, u16) {
    let id = std::process::id();
    for attempt in 0..200_u32 {
        let mix = id.wrapping_mul(2_654_435_761).wrapping_add(attempt * 7_919);
        let net = (20 + (mix >> 8) % 200) as u8;
        let sub = (mix >> 16) as u8;
        let base = 20_000 + (mix % 1_000) as u16 * 10;
        let ips: Vec<IpAddr> =
            (0..=count).map(|host| Ipv4Addr::new(127, net, sub, 10 + host as u8).into()).collect();
        let free = |ip: &IpAddr| (0..PORTS).all(|port| is_free(SocketAddr::new(*ip, base + port)));
        if ips.iter().all(free) {
            return (ips, base);
        }
    }
    cannot_run("found no free ports");
}

/// Ends the script as one that could not run.
pub fn cannot_run(why: &str) -> ! {
    eprintln!("could not run: {why}");
    std::process::exit(2);
}

impl Fleet {
    /// Starts the store, the endpoints and the nodes of `zones`, and waits until all are ready.
    pub fn start(zones: &[&'static str], poison: Option<&'static str>) -> Arc<Self> {
        let record = Arc::new(Record::new());
        let (ips, base) = find_addrs(zones.len());
        let platform = SocketAddr::new(ips[0], base);
        let folder = std::env::temp_dir().join(format!("bbv-review-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("create a temporary folder");
        let machine = |(index, zone): (usize, &&'static str)| {
            let ip = ips[index + 1];
            let upstream = SocketAddr::new(ip, base + 4);
            let endpoint =
                Endpoint::start(index, upstream, &format!("i-{index}-0"), poison, &record);
            Arc::new(Machine {
                name: format!("m{index}"),
                zone,
                ip,
                base,
                endpoint,
                child: Mutex::default(),
                open: AtomicBool::new(false),
                started: Mutex::default(),
            })
        };
        let machines: Vec<Arc<Machine>> = zones.iter().enumerate().map(machine).collect();
        let fleet = Arc::new(Fleet {
            store: Store::start(platform),
            record,
            machines,
            folder,
            platform,
            stopped: Arc::default(),
            threads: Mutex::default(),
            disruptions: Mutex::default(),
        });
        fleet.publish_config(7);
        for index in 0..fleet.machines.len() {
            fleet.publish(index, &format!("i-{index}-0"), 0.0);
            fleet.start_node(index);
        }
        let limit = Instant::now() + START_TIMEOUT;
        while !fleet.machines.iter().all(|machine| machine.is_ready()) {
            if Instant::now() > limit {
                fleet.stop();
                cannot_run("the nodes did not become ready");
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        fleet.record.note("all nodes are ready");
        fleet.watch_readiness();
        fleet
    }

    /// Publishes version 7 of the configuration, or version 8, which drops the route `/issue/`.
    pub fn publish_config(&self, version: u32) {
        let route = |name: &str, kind: &str, timeout: f64, target: f64, priority: u32| {
            format!(
                r#"{{"resource_type":"routes","metadata":{{"name":"r-{name}"}},"spec":{{"host":"{HOST}","prefix":"/{name}/","route_kind":"{kind}","timeout_s":{timeout},"target_latency_s":{target},"priority":{priority},"service":"{SERVICE}","max_attempts":2}}}}"#
            )
        };
        let service = format!(
            r#"{{"resource_type":"services","metadata":{{"name":"{SERVICE}"}},"spec":{{"health_path":"/health","max_conns":220,"protocol":"h1","tls":false,"cold_start_s":3.0,"cold_per_s":35.0}}}}"#
        );
        let limits = r#"{"resource_type":"limits","metadata":{},"spec":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15}}"#;
        let mut resources = vec![route("lookup", "idempotent", 0.5, 0.2, 2)];
        if version < 8 {
            resources.push(route("issue", "non_idempotent", 0.6, 0.25, 1));
        }
        resources.extend([service, limits.to_owned()]);
        let config = format!(r#"{{"version":{version},"resources":[{}]}}"#, resources.join(","));
        self.store.put("op/config", &config);
    }

    /// Publishes the endpoint of machine `index` as instance `id`, cold for `cold_s`.
    pub fn publish(&self, index: usize, id: &str, cold_s: f64) {
        let machine = &self.machines[index];
        let born = std::time::UNIX_EPOCH.elapsed().map_or(0, |time| time.as_millis());
        let entry = format!(
            r#"{{"address":"{}","info":{{"service":"{SERVICE}","version":"v1","zone":"{}","slots":9}},"status":{{"state":"ready","sequence":1,"cold_left_s":{cold_s}}},"born":{born}}}"#,
            machine.endpoint.addr, machine.zone
        );
        self.store.put(&format!("servers/{id}"), &entry);
        self.record.note(format!("store: servers/{id} written, machine={index}"));
    }

    /// Starts the node of machine `index`.
    pub fn start_node(&self, index: usize) {
        let machine = &self.machines[index];
        let settings = self.folder.join(format!("{}.yaml", machine.name));
        let [callers, peers, readiness, notices] = [0, 1, 2, 3].map(|port| machine.addr(port));
        let text = format!(
            "node: \"{}\"\nzone: \"{}\"\nservice: \"{SERVICE}\"\nupstream: \"{}\"\ncallers: \"{callers}\"\n\
             peers: \"{peers}\"\nreadiness: \"{readiness}\"\nnotices: {notices}\nplatform: \"{}\"\n\
             grace_s: {GRACE_S}\nretry_share: 0.2\nretry_burst: 58\nretry_window_s: 10\nmetrics: {}\n",
            machine.name,
            machine.zone,
            machine.endpoint.addr,
            self.platform,
            machine.addr(5),
        );
        fs::write(&settings, text).expect("write the settings");
        let log = self.folder.join(format!("{}.log", machine.name));
        let log = File::options().create(true).append(true).open(log).expect("open a log");
        let child = Command::new(PROGRAM)
            .arg("run")
            .arg(&settings)
            .env("BLUEBELLVALE_CONFIG", &settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone().expect("share a log"))
            .stdout(log)
            .spawn();
        let child = child.unwrap_or_else(|error| cannot_run(&format!("{PROGRAM}: {error}")));
        *machine.started.lock().unwrap() = self.record.note(format!("node {index} started"));
        *machine.child.lock().unwrap() = Some(child);
    }

    /// Sends SIGTERM to the node of machine `index`, and SIGKILL after the grace time.
    pub fn stop_node(&self, index: usize) {
        let mut child = self.machines[index].child.lock().unwrap();
        let Some(mut child) = child.take() else { return };
        self.record.note(format!("node {index} gets SIGTERM"));
        // Not every machine has the program besides the shell's own command.
        let sent = Command::new("sh").args(["-c", &format!("kill -TERM {}", child.id())]).status();
        let limit = Instant::now() + Duration::from_secs(u64::from(GRACE_S));
        while sent.is_ok() && Instant::now() < limit && matches!(child.try_wait(), Ok(None)) {
            std::thread::sleep(Duration::from_millis(20));
        }
        // An error means that it has ended.
        let _ = child.kill();
        let _ = child.wait();
        self.record.note(format!("node {index} has ended"));
    }

    /// Asks each node each second whether it is ready, as the platform does.
    fn watch_readiness(&self) {
        for machine in &self.machines {
            let (machine, stopped) = (Arc::clone(machine), Arc::clone(&self.stopped));
            machine.open.store(true, Ordering::Relaxed);
            let thread = std::thread::spawn(move || {
                let mut misses = 0;
                while !stopped.load(Ordering::Relaxed) {
                    misses = if machine.is_ready() { 0 } else { misses + 1 };
                    machine.open.store(misses < MAX_MISSES, Ordering::Relaxed);
                    std::thread::sleep(READINESS_INTERVAL);
                }
            });
            self.threads.lock().unwrap().push(thread);
        }
    }

    /// Starts `count` clients on each machine, each of which sends a request each `interval`.
    pub fn start_clients(&self, count: usize, interval: Duration) {
        for index in 0..self.machines.len() {
            for number in 0..count {
                let machine = Arc::clone(&self.machines[index]);
                let (record, stopped) = (Arc::clone(&self.record), Arc::clone(&self.stopped));
                let thread = std::thread::spawn(move || {
                    client::run(index, number, interval, &machine, &record, &stopped);
                });
                self.threads.lock().unwrap().push(thread);
            }
        }
    }

    /// Waits until `time` since the start of the record.
    pub fn wait_until(&self, time: Duration) {
        std::thread::sleep(time.saturating_sub(self.record.now()));
    }

    /// Records a disruption of machine `index`, or of the store.
    pub fn add_disruption(&self, index: Option<usize>, start: Duration, end: Duration) {
        self.disruptions.lock().unwrap().push((index, start, end));
    }

    /// Returns whether the store was stable at `time`.
    pub fn is_stable(&self, time: Duration) -> bool {
        let disruptions = self.disruptions.lock().unwrap();
        disruptions
            .iter()
            .filter(|(index, ..)| index.is_none())
            .all(|(_, start, end)| time < *start || time > *end + STABLE)
    }

    /// Returns whether machine `index` was in touch at `time`.
    pub fn is_in_touch(&self, index: usize, time: Duration) -> bool {
        let started = *self.machines[index].started.lock().unwrap();
        if time <= started + STABLE || !self.is_stable(time) {
            return false;
        }
        let disruptions = self.disruptions.lock().unwrap();
        disruptions
            .iter()
            .filter(|(other, ..)| *other == Some(index))
            .all(|(_, start, end)| time < *start || time > *end + STABLE)
    }

    /// Ends the clients and all processes, and removes the temporary folder.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Relaxed);
        for thread in self.threads.lock().unwrap().drain(..) {
            // A thread that panicked has printed why.
            let _ = thread.join();
        }
        for machine in &self.machines {
            if let Some(mut child) = machine.child.lock().unwrap().take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}
