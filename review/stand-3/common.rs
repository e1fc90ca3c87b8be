//! Stand-ins of the platform's store, endpoints and clients, and a starter of `bbv-mesh` processes.
//!
//! They speak HTTP/1.1 on loopback addresses with the standard library alone and follow the pages of
//! the platform. A case program includes this file as a module.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU8, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, OnceLock};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Ports of every node, as `listen` of a small deployment has them.
pub const CALLERS: u16 = 8141;
pub const PEERS: u16 = 8145;
pub const READY: u16 = 8140;
pub const NOTICES: u16 = 7660;
pub const METRICS: u16 = 9464;
pub const APP: u16 = 8147;

/// Exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

/// Seconds since the first call.
pub fn seconds() -> f64 {
    static START: OnceLock<Instant> = OnceLock::new();
    START.get_or_init(Instant::now).elapsed().as_secs_f64()
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// Whether the disruption is played.
pub fn is_troubled() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Lines of `record.txt`, written as they come.
pub struct Record(Mutex<File>);

impl Record {
    pub fn create() -> Arc<Record> {
        let folder = std::env::var("CASE_FOLDER").unwrap_or_else(|_| ".".to_owned());
        let path = PathBuf::from(folder).join("record.txt");
        match File::create(&path) {
            Ok(file) => Arc::new(Record(Mutex::new(file))),
            Err(error) => stop_unrun(&format!("could not write {}: {error}", path.display())),
        }
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:9.3} {text}\n", seconds());
        let _ = lock(&self.0).write_all(line.as_bytes());
    }

    /// Writes a line and prints it.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}

/// Ids of the processes that the case has started and that have not been waited for.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends a case that could not run, with all processes that it started.
pub fn stop_unrun(why: &str) -> ! {
    println!("could not run: {why}");
    for id in lock(&STARTED).iter() {
        let _ = Command::new("kill").args(["-KILL", &id.to_string()]).status();
    }
    std::process::exit(NOT_RUN);
}

unsafe extern "C" {
    fn prctl(option: i32, value: u64, ...) -> i32;
}

/// Makes the kernel kill the process when the case ends, however it ends.
fn end_with_case(command: &mut Command) {
    const PR_SET_PDEATHSIG: i32 = 1;
    const SIGKILL: u64 = 9;
    // SAFETY: the hook only makes one system call, which is allowed between fork and exec.
    unsafe {
        command.pre_exec(|| match prctl(PR_SET_PDEATHSIG, SIGKILL) {
            0 => Ok(()),
            _ => Err(io::Error::last_os_error()),
        });
    }
}

/// An HTTP/1.1 message head and body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        let found = self.fields.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Status of a response.
    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    /// Method and target of a request.
    pub fn target(&self) -> (&str, &str) {
        let mut words = self.first.split(' ');
        (words.next().unwrap_or(""), words.next().unwrap_or(""))
    }

    pub fn id(&self) -> &str {
        self.field("Bluebellvale-Attempt-Id").unwrap_or("none")
    }
}

fn broken(what: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, what.to_owned())
}

fn read_line(reader: &mut impl BufRead) -> io::Result<Option<String>> {
    let mut line = Vec::new();
    if reader.read_until(b'\n', &mut line)? == 0 {
        return Ok(None);
    }
    if line.pop() != Some(b'\n') {
        return Err(broken("the head ended early"));
    }
    if line.last() == Some(&b'\r') {
        line.pop();
    }
    Ok(Some(String::from_utf8_lossy(&line).into_owned()))
}

/// Reads a message; `None` at the end of the connection. A body has a length or comes in chunks.
pub fn read_message(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let Some(first) = read_line(reader)? else { return Ok(None) };
    let mut message = Message { first, ..Message::default() };
    loop {
        let line = read_line(reader)?.ok_or_else(|| broken("the head ended early"))?;
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':').ok_or_else(|| broken("not a field"))?;
        message.fields.push((name.trim().to_owned(), value.trim().to_owned()));
    }
    if message.field("Transfer-Encoding").is_some() {
        loop {
            let line = read_line(reader)?.ok_or_else(|| broken("the body ended early"))?;
            let size = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16);
            let size = size.map_err(|_| broken("not a chunk size"))?;
            let mut chunk = vec![0; size];
            reader.read_exact(&mut chunk)?;
            message.body.extend(chunk);
            let _ = read_line(reader)?;
            if size == 0 {
                break;
            }
        }
    } else if let Some(length) = message.field("Content-Length") {
        let length: usize = length.parse().map_err(|_| broken("not a length"))?;
        let mut body = vec![0; length];
        reader.read_exact(&mut body)?;
        message.body = body;
    }
    Ok(Some(message))
}

/// Response with `status` and a length; `fields` ends each field with CRLF.
pub fn response(status: &str, fields: &str, body: &[u8]) -> Vec<u8> {
    let head = format!("HTTP/1.1 {status}\r\n{fields}Content-Length: {}\r\n\r\n", body.len());
    [head.as_bytes(), body].concat()
}

pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let word = chunk.iter().fold(0_u32, |word, byte| word << 8 | u32::from(*byte));
        let word = word << (8 * (3 - chunk.len()));
        for place in 0..4 {
            let digit = DIGITS[(word >> (18 - 6 * place) & 63) as usize];
            text.push(if place <= chunk.len() { char::from(digit) } else { '=' });
        }
    }
    text
}

/// How a store treats the calls of one machine.
pub const SERVES: u8 = 0;
pub const BUSY: u8 = 1;
pub const SILENT: u8 = 2;

unsafe extern "C" {
    fn listen(socket: i32, backlog: i32) -> i32;
}

/// Path between one machine and the store.
pub struct Path {
    addr: SocketAddr,
    socket: i32,
    cuts: AtomicU64,
    cut: AtomicBool,
    /// Connections that fill the queue of a listener, so that the kernel drops further ones.
    fill: Mutex<Vec<TcpStream>>,
    /// Time of the first answer since the path was healed.
    pub answered: Mutex<Option<f64>>,
}

impl Path {
    fn new(addr: SocketAddr, socket: i32) -> Self {
        let (cuts, cut) = (AtomicU64::new(0), AtomicBool::new(false));
        Path { addr, socket, cuts, cut, fill: Mutex::default(), answered: Mutex::default() }
    }

    fn is_cut(&self) -> bool {
        self.cut.load(Ordering::SeqCst)
    }

    /// Cuts the path: open connections go silent, and new ones are not made.
    pub fn cut(&self) {
        self.cut.store(true, Ordering::SeqCst);
        self.cuts.fetch_add(1, Ordering::SeqCst);
        sleep_ms(5);
        // SAFETY: the socket is that of the listener, which lives as long as the program.
        unsafe { listen(self.socket, 0) };
        for _ in 0..2 {
            let fill = TcpStream::connect_timeout(&self.addr, Duration::from_millis(50));
            lock(&self.fill).extend(fill.ok());
        }
    }

    /// Heals the path.
    pub fn heal(&self) {
        lock(&self.fill).clear();
        *lock(&self.answered) = None;
        // SAFETY: as above.
        unsafe { listen(self.socket, 128) };
        self.cut.store(false, Ordering::SeqCst);
    }
}

#[derive(Default)]
struct StoreData {
    revision: u64,
    items: BTreeMap<String, (String, u64)>,
    events: Vec<(u64, String, String)>,
}

/// The platform's store.
#[derive(Default)]
pub struct Store {
    data: Mutex<StoreData>,
    changed: Condvar,
}

impl Store {
    pub fn put(&self, key: &str, value: &str) -> u64 {
        let mut data = lock(&self.data);
        data.revision += 1;
        let revision = data.revision;
        let value = base64(value.as_bytes());
        let event = format!(
            "{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\"created\":1,\
             \"lease\":0}}"
        );
        data.items.insert(key.to_owned(), (value, revision));
        data.events.push((revision, key.to_owned(), event));
        self.changed.notify_all();
        revision
    }

    pub fn remove(&self, key: &str) {
        let mut data = lock(&self.data);
        if data.items.remove(key).is_none() {
            return;
        }
        data.revision += 1;
        let revision = data.revision;
        let event = format!("{{\"key\":\"{key}\",\"revision\":{revision},\"deleted\":true}}");
        data.events.push((revision, key.to_owned(), event));
        self.changed.notify_all();
    }

    /// Serves one machine; the returned value says how.
    pub fn listen(self: &Arc<Self>, ip: Ipv4Addr) -> (SocketAddr, Arc<Path>) {
        let (listener, addr) = match TcpListener::bind((ip, 0)) {
            Ok(listener) => {
                let addr = listener.local_addr();
                (listener, addr.unwrap_or_else(|error| stop_unrun(&error.to_string())))
            }
            Err(error) => stop_unrun(&format!("store: {error}")),
        };
        let path = Arc::new(Path::new(addr, listener.as_raw_fd()));
        let (store, shared) = (Arc::clone(self), Arc::clone(&path));
        thread::spawn(move || {
            let _ = listener.set_nonblocking(true);
            loop {
                if shared.is_cut() {
                    sleep_ms(1);
                    continue;
                }
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let (store, path) = (Arc::clone(&store), Arc::clone(&shared));
                        thread::spawn(move || store.serve(stream, &path));
                    }
                    Err(_) => thread::sleep(Duration::from_micros(300)),
                }
            }
        });
        (addr, path)
    }

    fn serve(&self, stream: TcpStream, path: &Path) -> Option<()> {
        let _ = stream.set_nodelay(true);
        let cuts = path.cuts.load(Ordering::SeqCst);
        let mut out = stream.try_clone().ok()?;
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_message(&mut reader).ok()? {
            let answer = self.answer(request.target().1, &AtomicU8::new(SERVES));
            if path.cuts.load(Ordering::SeqCst) != cuts {
                // What was open when the path was cut stays silent; the caller closes it.
                let _ = reader.read(&mut [0; 1]);
                return None;
            }
            let body = answer.1.as_bytes();
            out.write_all(&response(answer.0, "Content-Type: application/json\r\n", body)).ok()?;
            lock(&path.answered).get_or_insert(seconds());
        }
        None
    }

    fn answer(&self, target: &str, mode: &AtomicU8) -> (&'static str, String) {
        const BUSY_ANSWER: &str = "503 Service Unavailable";
        if mode.load(Ordering::Relaxed) == BUSY {
            return (BUSY_ANSWER, "{}".to_owned());
        }
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let value = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.into_iter().find(|(key, _)| *key == name).map_or("", |(_, value)| value)
        };
        let prefix = value("prefix").replace("%2F", "/");
        if path == "/-/kv-range" {
            return ("200 OK", self.range(&prefix, value("after")));
        }
        let after: u64 = value("after").parse().unwrap_or(0);
        let wait: u64 = value("wait_ms").parse().unwrap_or(0);
        let ends = Instant::now() + Duration::from_millis(wait);
        let mut data = lock(&self.data);
        loop {
            if mode.load(Ordering::Relaxed) != SERVES {
                return (BUSY_ANSWER, "{}".to_owned());
            }
            let new =
                data.events.iter().filter(|(at, key, _)| *at > after && key.starts_with(&prefix));
            let new: Vec<&str> = new.map(|(_, _, event)| event.as_str()).collect();
            let left = ends.saturating_duration_since(Instant::now());
            if !new.is_empty() || left.is_zero() {
                let events = new.join(",");
                return (
                    "200 OK",
                    format!("{{\"events\":[{events}],\"as_of\":{}}}", data.revision),
                );
            }
            let step = left.min(Duration::from_millis(50));
            let waited = self.changed.wait_timeout(data, step);
            data = waited.map_or_else(|poisoned| poisoned.into_inner().0, |(data, _)| data);
        }
    }

    fn range(&self, prefix: &str, after: &str) -> String {
        const PAGE: usize = 500;
        let after = after.replace("%2F", "/");
        let data = lock(&self.data);
        let items = data.items.iter().filter(|(key, _)| key.starts_with(prefix) && **key > after);
        let items: Vec<String> = items
            .map(|(key, (value, revision))| {
                format!(
                    "{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\
                     \"created\":1,\"lease\":0}}"
                )
            })
            .collect();
        let has_more = items.len() > PAGE;
        let page = items.into_iter().take(PAGE).collect::<Vec<_>>().join(",");
        format!("{{\"items\":[{page}],\"has_more\":{has_more},\"as_of\":{}}}", data.revision)
    }
}

/// Route resource of a configuration.
pub fn route(prefix: &str, kind: &str, service: &str, timeout_s: f64) -> String {
    format!(
        "{{\"resource_type\":\"routes\",\"metadata\":{{\"name\":\"r-{prefix}\"}},\"spec\":{{\
         \"host\":\"a.example\",\"prefix\":\"/{prefix}/\",\"route_kind\":\"{kind}\",\
         \"timeout_s\":{timeout_s},\"target_latency_s\":0.25,\"priority\":1,\
         \"service\":\"{service}\",\"max_attempts\":2}}}}"
    )
}

/// Service resource of a configuration, with the figures of a small deployment.
pub fn service(name: &str) -> String {
    format!(
        "{{\"resource_type\":\"services\",\"metadata\":{{\"name\":\"{name}\"}},\"spec\":{{\
         \"health_path\":\"/health\",\"max_conns\":220,\"protocol\":\"h1\",\"tls\":false,\
         \"cold_start_s\":3.0,\"cold_per_s\":35.0}}}}"
    )
}

pub fn config(version: u64, resources: &[String]) -> String {
    let limits = "{\"resource_type\":\"limits\",\"metadata\":{},\"spec\":{\
        \"max_header_bytes\":16384,\"max_body_bytes\":67108864,\"header_timeout_s\":3,\
        \"idle_timeout_s\":15}}";
    format!("{{\"version\":{version},\"resources\":[{},{limits}]}}", resources.join(","))
}

/// Time after which the entry of an endpoint that crashed is removed: three heartbeat intervals.
const EXPIRY: Duration = Duration::from_millis(4_500);

/// What an endpoint does with a request that it runs.
pub enum Action {
    /// Works for the time and answers with status 200.
    Answer(Duration),
    /// Crashes after the time, before it has sent a byte.
    Crash(Duration),
    /// Sends the head and a part of the body of its answer, and crashes after the time.
    CrashMidway(Duration),
}

/// A request that reached an endpoint.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: f64,
    pub id: String,
    pub target: String,
}

type Decide = Box<dyn Fn(&Endpoint, &Message) -> Action + Send + Sync>;

/// An application endpoint beside a node.
pub struct Endpoint {
    pub name: String,
    pub addr: SocketAddr,
    pub service: String,
    pub zone: String,
    pub slots: u32,
    /// Time after which the endpoint is back after a crash.
    pub down: Duration,
    decide: Decide,
    store: Arc<Store>,
    pub arrivals: Mutex<Vec<Arrival>>,
    /// Times of the crashes.
    pub crashes: Mutex<Vec<f64>>,
    running: AtomicU64,
    /// Start of the present process; connections of earlier ones are dead.
    start: AtomicU64,
    up: AtomicBool,
    leaving: AtomicBool,
    born: AtomicU64,
    sequence: AtomicU64,
    /// Time until which the endpoint is cold.
    pub cold_until: Mutex<f64>,
    open: Mutex<Vec<TcpStream>>,
    record: Arc<Record>,
}

pub struct EndpointSpec<'a> {
    pub name: &'a str,
    pub ip: Ipv4Addr,
    pub service: &'a str,
    pub zone: &'a str,
    pub slots: u32,
    pub down: Duration,
}

impl Endpoint {
    pub fn start(
        spec: &EndpointSpec<'_>,
        store: &Arc<Store>,
        record: &Arc<Record>,
        decide: Decide,
    ) -> Arc<Endpoint> {
        let endpoint = Arc::new(Endpoint {
            name: spec.name.to_owned(),
            addr: SocketAddr::from((spec.ip, APP)),
            service: spec.service.to_owned(),
            zone: spec.zone.to_owned(),
            slots: spec.slots,
            down: spec.down,
            decide,
            store: Arc::clone(store),
            arrivals: Mutex::default(),
            crashes: Mutex::default(),
            running: AtomicU64::new(0),
            start: AtomicU64::new(0),
            up: AtomicBool::new(false),
            leaving: AtomicBool::new(false),
            born: AtomicU64::new(0),
            sequence: AtomicU64::new(0),
            cold_until: Mutex::new(0.0),
            open: Mutex::default(),
            record: Arc::clone(record),
        });
        endpoint.begin();
        let beating = Arc::clone(&endpoint);
        thread::spawn(move || {
            loop {
                if beating.up.load(Ordering::SeqCst) && !beating.leaving.load(Ordering::SeqCst) {
                    beating.beat();
                }
                sleep_ms(1_500);
            }
        });
        endpoint
    }

    /// Starts a process of the endpoint, with a new id.
    fn begin(self: &Arc<Self>) {
        let listener = match TcpListener::bind(self.addr) {
            Ok(listener) => listener,
            Err(error) => stop_unrun(&format!("endpoint {}: {error}", self.name)),
        };
        let start = self.start.fetch_add(1, Ordering::SeqCst) + 1;
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        self.born.store(now.as_millis() as u64, Ordering::SeqCst);
        self.sequence.store(0, Ordering::SeqCst);
        self.up.store(true, Ordering::SeqCst);
        self.running.store(0, Ordering::SeqCst);
        let endpoint = Arc::clone(self);
        thread::spawn(move || {
            let _ = listener.set_nonblocking(true);
            while endpoint.start.load(Ordering::SeqCst) == start
                && endpoint.up.load(Ordering::SeqCst)
            {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        if let Ok(copy) = stream.try_clone() {
                            lock(&endpoint.open).push(copy);
                        }
                        let endpoint = Arc::clone(&endpoint);
                        thread::spawn(move || endpoint.serve(stream, start));
                    }
                    Err(_) => thread::sleep(Duration::from_micros(200)),
                }
            }
        });
        self.beat();
    }

    pub fn id(&self) -> String {
        format!("i-{}-{}", self.name, self.start.load(Ordering::SeqCst))
    }

    fn is_live(&self, start: u64) -> bool {
        self.up.load(Ordering::SeqCst) && self.start.load(Ordering::SeqCst) == start
    }

    /// Seconds for which the endpoint is still cold.
    fn cold_left(&self) -> f64 {
        (*lock(&self.cold_until) - seconds()).max(0.0)
    }

    /// Writes the entry in the store.
    fn beat(&self) {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let entry = format!(
            "{{\"address\":\"{}\",\"born\":{},\"info\":{{\"service\":\"{}\",\"version\":\"v1\",\
             \"zone\":\"{}\",\"slots\":{}}},\"status\":{{\"state\":\"ready\",\
             \"sequence\":{sequence},\"cold_left_s\":{:.3}}}}}",
            self.addr,
            self.born.load(Ordering::SeqCst),
            self.service,
            self.zone,
            self.slots,
            self.cold_left(),
        );
        self.store.put(&format!("servers/{}", self.id()), &entry);
    }

    /// Leaves without a word: the entry is removed, and the endpoint serves on for `serves`. Another process
    /// starts after that. Returns the time at which the store had removed the entry.
    pub fn leave(self: &Arc<Self>, serves: Duration) -> f64 {
        self.leaving.store(true, Ordering::SeqCst);
        self.store.remove(&format!("servers/{}", self.id()));
        let left = seconds();
        let endpoint = Arc::clone(self);
        thread::spawn(move || {
            thread::sleep(serves);
            endpoint.up.store(false, Ordering::SeqCst);
            sleep_ms(20);
            for stream in lock(&endpoint.open).drain(..) {
                let _ = stream.shutdown(std::net::Shutdown::Both);
            }
            sleep_ms(500);
            endpoint.leaving.store(false, Ordering::SeqCst);
            endpoint.begin();
        });
        left
    }

    /// Ends the process of the endpoint; another one starts after a while under a new id. The old entry
    /// is removed after three heartbeat intervals.
    fn crash(self: &Arc<Self>, why: &str) {
        if !self.up.swap(false, Ordering::SeqCst) {
            return;
        }
        self.record.line(&format!("endpoint {} crashes: {why}", self.name));
        lock(&self.crashes).push(seconds());
        // The listener closes within a millisecond, the connections after it.
        sleep_ms(2);
        for stream in lock(&self.open).drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
        let endpoint = Arc::clone(self);
        let old = format!("servers/{}", self.id());
        thread::spawn(move || {
            thread::sleep(endpoint.down);
            endpoint.begin();
            endpoint.record.line(&format!("endpoint {} is back", endpoint.name));
            thread::sleep(EXPIRY.saturating_sub(endpoint.down));
            endpoint.store.remove(&old);
        });
    }

    fn load_field(&self) -> String {
        let running = self.running.load(Ordering::SeqCst);
        format!("Bluebellvale-Server-Load: {running},0,{},100\r\n", self.slots)
    }

    fn serve(self: Arc<Self>, stream: TcpStream, start: u64) -> Option<()> {
        let _ = stream.set_nodelay(true);
        let mut out = stream.try_clone().ok()?;
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_message(&mut reader).ok()? {
            if !self.is_live(start) {
                return None;
            }
            let (_, target) = request.target();
            if target == "/health" {
                let fields = format!(
                    "Bluebellvale-Instance-Id: {}\r\n{}Bluebellvale-Cold-Remaining-Ms: {:.0}\r\n",
                    self.id(),
                    self.load_field(),
                    self.cold_left() * 1_000.0,
                );
                out.write_all(&response("200 OK", &fields, b"")).ok()?;
                continue;
            }
            let expected = request.field("Bluebellvale-Expected-Instance");
            if expected.is_some_and(|expected| expected != self.id()) {
                let fields = format!(
                    "Bluebellvale-Instance-Id: {}\r\nBluebellvale-Attempt-Id: {}\r\n",
                    self.id(),
                    request.id()
                );
                out.write_all(&response("421 Misdirected Request", &fields, b"")).ok()?;
                continue;
            }
            self.run(&request, &mut out, start)?;
        }
        None
    }

    fn run(self: &Arc<Self>, request: &Message, out: &mut TcpStream, start: u64) -> Option<()> {
        let arrival = Arrival {
            at: seconds(),
            id: request.id().to_owned(),
            target: request.target().1.to_owned(),
        };
        let line = format!("endpoint {} runs {} {}", self.name, arrival.id, arrival.target);
        self.record.line(&line);
        lock(&self.arrivals).push(arrival);
        let action = (self.decide)(self, request);
        self.running.fetch_add(1, Ordering::SeqCst);
        let head = format!(
            "Bluebellvale-Attempt-Id: {}\r\nBluebellvale-Response-Signature: {}.{}\r\n{}",
            request.id(),
            self.id(),
            request.id(),
            self.load_field()
        );
        let result = match action {
            Action::Answer(work) => {
                thread::sleep(work);
                let live = self.is_live(start);
                live.then(|| out.write_all(&response("200 OK", &head, b"done")).ok()).flatten()
            }
            Action::Crash(work) => {
                thread::sleep(work);
                self.crash(&format!("request {}", request.target().1));
                None
            }
            Action::CrashMidway(work) => {
                thread::sleep(work);
                let full = response("200 OK", &head, &[b'x'; 400]);
                let _ = out.write_all(&full[..full.len() - 200]);
                sleep_ms(5);
                self.crash(&format!("request {}", request.target().1));
                None
            }
        };
        if self.is_live(start) {
            self.running.fetch_sub(1, Ordering::SeqCst);
        }
        result
    }
}

/// A node of the system, as a process of the deploy file's command.
pub struct Node {
    pub name: String,
    pub ip: Ipv4Addr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

pub struct NodeSpec<'a> {
    pub name: &'a str,
    pub ip: Ipv4Addr,
    pub zone: &'a str,
    pub service: &'a str,
    pub platform: SocketAddr,
}

impl Node {
    /// Writes the settings as `platform/settings.yaml` lays them out, and starts the process.
    pub fn start(folder: &PathBuf, zones: &[&str], spec: &NodeSpec<'_>) -> Node {
        let NodeSpec { name, ip, zone, service, platform } = spec;
        let zones: String = zones
            .iter()
            .map(|zone| format!("  - {{ name: \"{zone}\", region: \"gt-occidente\" }}\n"))
            .collect();
        let text = format!(
            "node: \"{name}\"\nzone: \"{zone}\"\nzones:\n{zones}service: \"{service}\"\n\
             upstream: \"{ip}:{APP}\"\ncallers: \"{ip}:{CALLERS}\"\npeers: \"{ip}:{PEERS}\"\n\
             readiness: \"{ip}:{READY}\"\nnotices: {ip}:{NOTICES}\nplatform: \"{platform}\"\n\
             grace_s: 6\nheartbeat_s: 1.5\nretry_share: 0.2\nretry_burst: 58\n\
             retry_window_s: 10\nmemory_mb: 260\nmetrics: {ip}:{METRICS}\n"
        );
        let settings = folder.join(format!("{name}.yaml"));
        if let Err(error) = fs::write(&settings, text) {
            stop_unrun(&format!("settings of {name}: {error}"));
        }
        let log = folder.join(format!("{name}.log"));
        let mut node = Node { name: (*name).to_owned(), ip: *ip, settings, log, child: None };
        node.run();
        node
    }

    /// Starts the process.
    pub fn run(&mut self) {
        let log = File::options().create(true).append(true).open(&self.log);
        let (out, err) = match log.and_then(|log| Ok((log.try_clone()?, log))) {
            Ok(files) => files,
            Err(error) => stop_unrun(&format!("log of {}: {error}", self.name)),
        };
        let program = std::env::var("BBV_MESH").unwrap_or("target/release/bbv-mesh".to_owned());
        let mut command = Command::new(&program);
        command
            .arg("run")
            .arg(&self.settings)
            .env("BLUEBELLVALE_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(out)
            .stderr(err);
        end_with_case(&mut command);
        match command.spawn() {
            Ok(child) => {
                lock(&STARTED).push(child.id());
                self.child = Some(child);
            }
            Err(error) => stop_unrun(&format!("{program}: {error}")),
        }
    }

    /// Sends a signal to the process.
    pub fn signal(&self, name: &str) {
        if let Some(child) = &self.child {
            let _ = Command::new("kill").args([name, &child.id().to_string()]).status();
        }
    }

    /// Waits for the end of the process.
    pub fn wait(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.wait();
            lock(&STARTED).retain(|id| *id != child.id());
        }
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        if let Some(child) = &mut self.child {
            let _ = child.kill();
        }
        self.wait();
    }

    /// Returns whether the node says that it is ready.
    pub fn is_ready(&self) -> bool {
        let text = "GET /-/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        let limit = Duration::from_millis(500);
        let addr = SocketAddr::from((self.ip, READY));
        exchange(addr, text.as_bytes(), limit).is_ok_and(|answer| answer.status() == 200)
    }

    pub fn callers(&self) -> SocketAddr {
        SocketAddr::from((self.ip, CALLERS))
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Waits until all nodes are ready.
pub fn wait_ready(nodes: &[Node]) {
    let ends = Instant::now() + Duration::from_secs(15);
    while !nodes.iter().all(Node::is_ready) {
        if Instant::now() > ends {
            stop_unrun("the nodes did not get ready within 15 seconds");
        }
        sleep_ms(50);
    }
}

/// Sends a request on a new connection and reads the answer within `limit`.
pub fn exchange(addr: SocketAddr, text: &[u8], limit: Duration) -> io::Result<Message> {
    let ends = Instant::now() + limit;
    let mut stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1).min(limit))?;
    stream.set_nodelay(true)?;
    stream.write_all(text)?;
    let left = ends.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
    stream.set_read_timeout(Some(left))?;
    read_message(&mut BufReader::new(stream))?.ok_or_else(|| broken("closed without an answer"))
}

/// Text of a request of a client.
pub fn request(method: &str, path: &str, id: &str, deadline_ms: u64, body: &str) -> String {
    let length = match body {
        "" => String::new(),
        body => format!("Content-Length: {}\r\n", body.len()),
    };
    format!(
        "{method} {path} HTTP/1.1\r\nHost: a.example\r\nBluebellvale-Attempt-Id: {id}\r\n\
         Bluebellvale-Deadline-Ms: {deadline_ms}\r\n{length}\r\n{body}"
    )
}

/// A new attempt id.
pub fn new_id() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    format!("{:016x}", number.wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

/// Address of the machine `last` of a case; the second byte differs from run to run.
pub fn machine(last: u8) -> Ipv4Addr {
    let process = std::process::id();
    Ipv4Addr::new(127, 20 + (process % 200) as u8, 30 + (process / 200 % 200) as u8, last)
}

/// A folder for settings and logs, removed at the end unless `KEEP` is set.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new(case: &str) -> Folder {
        let path = std::env::temp_dir().join(format!("review-{case}-{}", std::process::id()));
        if let Err(error) = fs::create_dir_all(&path) {
            stop_unrun(&format!("{}: {error}", path.display()));
        }
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.0);
        }
    }
}
