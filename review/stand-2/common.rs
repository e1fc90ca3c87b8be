//! Stand-ins for the cases of `review/REPORT-2.md`: the platform's store, endpoints, clients, and
//! machines that each run one `bbv-mesh` process. Only the standard library is used.

#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::net::{IpAddr, Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

/// Ports of a machine, the same on all machines.
pub const OUTBOUND: u16 = 23_141;
pub const INBOUND: u16 = 23_145;
pub const READY: u16 = 23_140;
pub const NOTICES: u16 = 23_160;
pub const METRICS: u16 = 23_164;
pub const APP: u16 = 23_147;

/// Time after which a case ends itself; a run may take 120 s.
const TIME_LIMIT: Duration = Duration::from_secs(110);

/// Ids of the processes that run and were started here.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Writes what happens to `record.txt`, with the time since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub fn new(path: &str) -> io::Result<Self> {
        let record =
            Record { file: Arc::new(Mutex::new(File::create(path)?)), started: Instant::now() };
        let watched = record.clone();
        thread::spawn(move || watched.end_after_limit());
        Ok(record)
    }

    /// Ends the case, with all processes that it has started, if it has run for too long.
    fn end_after_limit(&self) {
        thread::sleep(TIME_LIMIT);
        self.line("the case took too long");
        for pid in STARTED.lock().unwrap().iter() {
            let _ = Command::new("kill").args(["-KILL", &pid.to_string()]).status();
        }
        std::process::exit(NOT_RUN);
    }

    /// Writes which requests endpoints have run.
    pub fn runs<'a>(&self, endpoints: impl IntoIterator<Item = &'a Arc<Endpoint>>) {
        for endpoint in endpoints {
            for run in endpoint.runs.lock().unwrap().iter() {
                let at = run.at.saturating_duration_since(self.started).as_secs_f64();
                self.line(&format!("ran at {at:.4}: {} {} {}", run.endpoint, run.id, run.line));
            }
        }
    }

    pub fn line(&self, text: &str) {
        let at = self.started.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:9.4} {text}");
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}

/// Returns whether the case runs with its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

// ---------------------------------------------------------------------------------------------
// HTTP

/// Head and body of a message.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request or status line.
    pub line: String,
    /// Fields by lower-case name.
    pub fields: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.get(name).map(String::as_str)
    }

    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    pub fn path(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("")
    }

    pub fn id(&self) -> String {
        self.field("bluebellvale-attempt-id").unwrap_or("none").to_owned()
    }

    /// Returns whether this is a success with the signature of an endpoint.
    pub fn is_signed_success(&self) -> bool {
        self.status() / 100 == 2 && self.field("bluebellvale-response-signature").is_some()
    }
}

fn broken(why: &str) -> io::Error {
    io::Error::new(io::ErrorKind::UnexpectedEof, why)
}

/// Reads messages with a length from a stream.
pub struct Reader {
    pub stream: TcpStream,
    buf: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        Reader { stream, buf: Vec::new() }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut chunk = [0_u8; 16_384];
        let len = self.stream.read(&mut chunk)?;
        self.buf.extend_from_slice(&chunk[..len]);
        Ok(len)
    }

    /// Reads a head; `None` if the other side has closed the connection before one.
    pub fn head(&mut self) -> io::Result<Option<Message>> {
        loop {
            if let Some(end) = self.buf.windows(4).position(|window| window == b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.buf[..end]).into_owned();
                self.buf.drain(..end + 4);
                let mut lines = text.split("\r\n");
                let line = lines.next().unwrap_or("").to_owned();
                let fields = lines.filter_map(|line| line.split_once(':'));
                let fields = fields
                    .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()));
                return Ok(Some(Message { line, fields: fields.collect(), body: Vec::new() }));
            }
            if self.fill()? == 0 {
                return if self.buf.is_empty() { Ok(None) } else { Err(broken("half a head")) };
            }
        }
    }

    /// Reads a message with its body, which has a length or is sent in chunks.
    pub fn message(&mut self) -> io::Result<Option<Message>> {
        let Some(mut message) = self.head()? else { return Ok(None) };
        if message.field("transfer-encoding") == Some("chunked") {
            loop {
                let line = self.take_line()?;
                let len = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16);
                let len = len.map_err(|_| broken("chunk size"))?;
                let data = self.take(len)?;
                message.body.extend(data);
                self.take_line()?;
                if len == 0 {
                    return Ok(Some(message));
                }
            }
        }
        let len = message.field("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
        message.body = self.take(len)?;
        Ok(Some(message))
    }

    fn take_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buf.windows(2).position(|window| window == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buf[..end]).into_owned();
                self.buf.drain(..end + 2);
                return Ok(line);
            }
            if self.fill()? == 0 {
                return Err(broken("half a line"));
            }
        }
    }

    fn take(&mut self, len: usize) -> io::Result<Vec<u8>> {
        while self.buf.len() < len {
            if self.fill()? == 0 {
                return Err(broken("half a body"));
            }
        }
        Ok(self.buf.drain(..len).collect())
    }

    /// Returns whether the other side has closed or reset the connection, without waiting.
    pub fn is_closed(&self) -> bool {
        let mut byte = [0_u8; 1];
        let _ = self.stream.set_nonblocking(true);
        let peeked = self.stream.peek(&mut byte);
        let _ = self.stream.set_nonblocking(false);
        match peeked {
            Ok(len) => len == 0,
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        }
    }
}

/// Returns the text of a client's request.
pub fn request(method: &str, path: &str, id: &str, deadline_ms: u64, body: &[u8]) -> Vec<u8> {
    let length =
        if body.is_empty() { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: ficu95.example\r\nBluebellvale-Attempt-Id: {id}\r\n\
         Bluebellvale-Deadline-Ms: {deadline_ms}\r\n{length}\r\n"
    );
    [head.as_bytes(), body].concat()
}

// ---------------------------------------------------------------------------------------------
// The platform's store

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let word = chunk.iter().fold(0_u32, |word, byte| word << 8 | u32::from(*byte));
        let word = word << (8 * (3 - chunk.len()));
        for index in 0..4 {
            let digit = DIGITS[(word >> (18 - 6 * index) & 63) as usize];
            text.push(if index <= chunk.len() { char::from(digit) } else { '=' });
        }
    }
    text
}

#[derive(Default)]
struct Items {
    revision: u64,
    items: BTreeMap<String, (String, u64)>,
    /// Revision, key and JSON of each change.
    events: Vec<(u64, String, String)>,
}

/// The platform's store. Each machine has a listener of its own.
#[derive(Default)]
pub struct Store {
    items: Mutex<Items>,
    changed: Condvar,
    /// Machines (by number) whose calls get no response.
    silent_for: Mutex<Vec<usize>>,
}

fn item_json(key: &str, value: &str, revision: u64) -> String {
    format!(
        r#"{{"key":"{key}","value":"{value}","revision":{revision},"created":{revision},"lease":0}}"#
    )
}

impl Store {
    pub fn put(&self, key: &str, json: &str) {
        let mut items = self.items.lock().unwrap();
        items.revision += 1;
        let (revision, value) = (items.revision, base64(json.as_bytes()));
        let event = item_json(key, &value, revision);
        items.items.insert(key.to_owned(), (value, revision));
        items.events.push((revision, key.to_owned(), event));
        self.changed.notify_all();
    }

    pub fn remove(&self, key: &str) {
        let mut items = self.items.lock().unwrap();
        items.revision += 1;
        let revision = items.revision;
        items.items.remove(key);
        let event = format!(r#"{{"key":"{key}","revision":{revision},"deleted":true}}"#);
        items.events.push((revision, key.to_owned(), event));
        self.changed.notify_all();
    }

    /// Gives no response to calls of machine `index` from now on, or serves them again.
    pub fn set_silent(&self, index: usize, silent: bool) {
        let mut list = self.silent_for.lock().unwrap();
        list.retain(|known| *known != index);
        if silent {
            list.push(index);
        }
    }

    fn is_silent(&self, index: usize) -> bool {
        self.silent_for.lock().unwrap().contains(&index)
    }

    /// Starts the listener of machine `index`.
    pub fn listen(self: &Arc<Self>, index: usize) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let addr = listener.local_addr()?;
        let store = Arc::clone(self);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&store);
                thread::spawn(move || {
                    let _ = store.serve(index, stream);
                });
            }
        });
        Ok(addr)
    }

    fn serve(&self, index: usize, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = Reader::new(stream);
        while let Some(request) = reader.message()? {
            let (status, body) = self.answer(request.path());
            while self.is_silent(index) {
                thread::sleep(Duration::from_millis(20));
                if reader.is_closed() {
                    return Ok(());
                }
            }
            thread::sleep(Duration::from_millis(4));
            let head = format!(
                "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            reader.stream.write_all(&[head.as_bytes(), body.as_bytes()].concat())?;
        }
        Ok(())
    }

    fn answer(&self, target: &str) -> (&'static str, String) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query: BTreeMap<&str, &str> =
            query.split('&').filter_map(|pair| pair.split_once('=')).collect();
        let prefix = query.get("prefix").copied().unwrap_or("");
        if path == "/-/kv-range" {
            let items = self.items.lock().unwrap();
            let listed = items.items.iter().filter(|(key, _)| key.starts_with(prefix));
            let listed = listed.map(|(key, (value, revision))| item_json(key, value, *revision));
            let listed: Vec<String> = listed.collect();
            let (list, as_of) = (listed.join(","), items.revision);
            return ("200 OK", format!(r#"{{"items":[{list}],"has_more":false,"as_of":{as_of}}}"#));
        }
        if path != "/-/kv-watch" {
            return ("404 Not Found", "{}".to_owned());
        }
        let number = |name: &str| query.get(name).and_then(|text| text.parse::<u64>().ok());
        let (after, wait) = (number("after").unwrap_or(0), number("wait_ms").unwrap_or(0));
        let ends = Instant::now() + Duration::from_millis(wait);
        let mut items = self.items.lock().unwrap();
        loop {
            let new =
                items.events.iter().filter(|(at, key, _)| *at > after && key.starts_with(prefix));
            let new: Vec<&str> = new.map(|(_, _, event)| event.as_str()).collect();
            let left = ends.saturating_duration_since(Instant::now());
            if !new.is_empty() || left.is_zero() {
                let (list, as_of) = (new.join(","), items.revision);
                return ("200 OK", format!(r#"{{"events":[{list}],"as_of":{as_of}}}"#));
            }
            items = self.changed.wait_timeout(items, left).unwrap().0;
        }
    }
}

// ---------------------------------------------------------------------------------------------
// Endpoints

/// Request that an endpoint has begun to run.
pub struct Run {
    pub endpoint: String,
    pub id: String,
    pub line: String,
    pub at: Instant,
}

/// State of an endpoint that its connections share.
pub struct Endpoint {
    pub id: String,
    pub slots: u32,
    pub runs: Mutex<Vec<Run>>,
    pub running: Mutex<u32>,
}

/// Answers a request that runs: gets the endpoint, the request, and the connection.
pub type Behaviour = Arc<dyn Fn(&Endpoint, &Message, &mut Reader) -> io::Result<()> + Send + Sync>;

impl Endpoint {
    /// Starts an endpoint that listens on `addr` and answers by `behaviour`.
    pub fn start(
        id: &str,
        addr: SocketAddr,
        slots: u32,
        behaviour: Behaviour,
    ) -> io::Result<Arc<Self>> {
        let (runs, running) = (Mutex::default(), Mutex::default());
        let endpoint = Arc::new(Endpoint { id: id.to_owned(), slots, runs, running });
        let listener = TcpListener::bind(addr)?;
        let shared = Arc::clone(&endpoint);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (endpoint, behaviour) = (Arc::clone(&shared), Arc::clone(&behaviour));
                thread::spawn(move || {
                    let _ = endpoint.serve(stream, &behaviour);
                });
            }
        });
        Ok(endpoint)
    }

    fn load(&self) -> String {
        format!("{},0,{},100", self.running.lock().unwrap(), self.slots)
    }

    fn serve(&self, stream: TcpStream, behaviour: &Behaviour) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = Reader::new(stream);
        while let Some(request) = reader.message()? {
            if request.path() == "/health" {
                let text = format!(
                    "HTTP/1.1 200 OK\r\nBluebellvale-Instance-Id: {}\r\n\
                     Bluebellvale-Server-Load: {}\r\nContent-Length: 0\r\n\r\n",
                    self.id,
                    self.load()
                );
                reader.stream.write_all(text.as_bytes())?;
                continue;
            }
            if request.field("bluebellvale-expected-instance").is_some_and(|id| id != self.id) {
                let text = format!(
                    "HTTP/1.1 421 Misdirected Request\r\nBluebellvale-Attempt-Id: {}\r\n\
                     Bluebellvale-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
                    request.id()
                );
                reader.stream.write_all(text.as_bytes())?;
                continue;
            }
            self.runs.lock().unwrap().push(Run {
                endpoint: self.id.clone(),
                id: request.id(),
                line: request.line.clone(),
                at: Instant::now(),
            });
            *self.running.lock().unwrap() += 1;
            let result = behaviour(self, &request, &mut reader);
            *self.running.lock().unwrap() -= 1;
            result?;
        }
        Ok(())
    }

    /// Returns the head of a success up to its length.
    pub fn head(&self, request: &Message) -> String {
        format!(
            "HTTP/1.1 200 OK\r\nBluebellvale-Attempt-Id: {}\r\n\
             Bluebellvale-Response-Signature: 3e1b.{}\r\nBluebellvale-Server-Load: {}\r\n",
            request.id(),
            self.id,
            self.load()
        )
    }

    /// Answers `request` after `work` with `body`.
    pub fn answer(
        &self,
        request: &Message,
        reader: &mut Reader,
        work: Duration,
        body: &[u8],
    ) -> io::Result<()> {
        thread::sleep(work);
        let head = format!("{}Content-Length: {}\r\n\r\n", self.head(request), body.len());
        reader.stream.write_all(&[head.as_bytes(), body].concat())
    }

    /// Returns whether the request with `id` has run.
    pub fn has_run(&self, id: &str) -> bool {
        self.runs.lock().unwrap().iter().any(|run| run.id == id)
    }
}

// ---------------------------------------------------------------------------------------------
// Machines

/// Finds loopback addresses for `count` machines on which all ports are free.
pub fn free_addresses(count: usize) -> Option<Vec<IpAddr>> {
    let pid = std::process::id();
    for attempt in 0..40 {
        let (second, third) = ((pid % 200 + 20) as u8, ((pid / 200 + attempt) % 250 + 1) as u8);
        let ips: Vec<IpAddr> = (0..count)
            .map(|index| IpAddr::V4(Ipv4Addr::new(127, second, third, index as u8 + 1)))
            .collect();
        let free = ips.iter().all(|ip| {
            let tcp = [OUTBOUND, INBOUND, READY, METRICS, APP];
            tcp.iter().all(|port| TcpListener::bind((*ip, *port)).is_ok())
                && UdpSocket::bind((*ip, NOTICES)).is_ok()
        });
        if free {
            return Some(ips);
        }
    }
    None
}

/// Machine with a `bbv-mesh` process.
pub struct Machine {
    pub ip: IpAddr,
    pub name: String,
    pub zone: String,
    settings: PathBuf,
    log: PathBuf,
    child: Mutex<Child>,
}

/// Settings that are the same on all machines of a case.
pub struct Deployment {
    pub folder: PathBuf,
    /// Zones with their regions.
    pub zones: Vec<(&'static str, &'static str)>,
    pub grace_s: f64,
}

impl Deployment {
    pub fn new(name: &str) -> io::Result<Self> {
        let folder = std::env::temp_dir().join(format!("bbv-{name}-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let zones =
            ["xela-a", "xela-b", "toto-c"].into_iter().map(|zone| (zone, "gt-occidente")).collect();
        Ok(Deployment { folder, zones, grace_s: 6.0 })
    }

    /// Starts the process of a machine, with the settings of the template of the deploy file.
    pub fn start(
        &self,
        ip: IpAddr,
        name: &str,
        zone: &str,
        service: &str,
        store: SocketAddr,
    ) -> io::Result<Machine> {
        let zones = self.zones.iter();
        let zones: String = zones
            .map(|(zone, region)| format!("  - {{ name: \"{zone}\", region: \"{region}\" }}\n"))
            .collect();
        let text = format!(
            "node: \"{name}\"\nzone: \"{zone}\"\nzones:\n{zones}service: \"{service}\"\n\
             upstream: \"{ip}:{APP}\"\ncallers: \"{ip}:{OUTBOUND}\"\npeers: \"{ip}:{INBOUND}\"\n\
             readiness: \"{ip}:{READY}\"\nnotices: {ip}:{NOTICES}\nplatform: \"{store}\"\n\
             grace_s: {}\nheartbeat_s: 1.5\nretry_share: 0.2\nretry_burst: 58\n\
             retry_window_s: 10\nmetrics: {ip}:{METRICS}\n",
            self.grace_s
        );
        let settings = self.folder.join(format!("{name}.yaml"));
        fs::write(&settings, text)?;
        let log = self.folder.join(format!("{name}.log"));
        File::create(&log)?;
        let child = Mutex::new(spawn(&settings, &log)?);
        Ok(Machine { ip, name: name.to_owned(), zone: zone.to_owned(), settings, log, child })
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        if std::env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

fn spawn(settings: &PathBuf, log: &PathBuf) -> io::Result<Child> {
    let out = File::options().append(true).open(log)?;
    let errors = out.try_clone()?;
    let mut command = Command::new("target/release/bbv-mesh");
    command.arg("run").arg(settings).stdin(Stdio::null()).stdout(out).stderr(errors);
    // The platform hands on these variables only.
    command.env_clear();
    let kept = ["PATH", "HOME", "LANG"].into_iter();
    command.envs(kept.filter_map(|name| Some((name, std::env::var_os(name)?))));
    let mut started = STARTED.lock().unwrap();
    let child = command.spawn()?;
    started.push(child.id());
    Ok(child)
}

impl Machine {
    pub fn outbound(&self) -> SocketAddr {
        SocketAddr::new(self.ip, OUTBOUND)
    }

    pub fn pid(&self) -> u32 {
        self.child.lock().unwrap().id()
    }

    /// Sends a signal (`KILL`, `STOP`, `CONT`, `TERM` or `HUP`) to the process.
    pub fn signal(&self, name: &str) {
        let _ = Command::new("kill").args([&format!("-{name}"), &self.pid().to_string()]).status();
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&self) -> bool {
        !matches!(self.child.lock().unwrap().try_wait(), Ok(None))
    }

    /// Waits for the end of the process and starts it again.
    pub fn restart(&self) -> io::Result<()> {
        let mut child = self.child.lock().unwrap();
        let id = child.id();
        child.wait()?;
        STARTED.lock().unwrap().retain(|started| *started != id);
        *child = spawn(&self.settings, &self.log)?;
        Ok(())
    }

    /// Resident memory of the process in bytes, without its program file.
    pub fn memory(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.pid())).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:"));
        let kb = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
        kb.unwrap_or(0) * 1_024
    }

    /// Status of the readiness check; 0 without a response.
    pub fn readiness(&self) -> u16 {
        let ask = || -> io::Result<u16> {
            let addr = SocketAddr::new(self.ip, READY);
            let stream = TcpStream::connect_timeout(&addr, Duration::from_millis(500))?;
            stream.set_read_timeout(Some(Duration::from_millis(500)))?;
            let mut reader = Reader::new(stream);
            reader.stream.write_all(b"GET /-/readiness HTTP/1.1\r\nHost: x\r\n\r\n")?;
            Ok(reader.message()?.map_or(0, |response| response.status()))
        };
        ask().unwrap_or(0)
    }

    /// Waits until the process is ready.
    pub fn wait_until_ready(&self, limit: Duration) -> bool {
        let ends = Instant::now() + limit;
        while Instant::now() < ends {
            if self.readiness() == 200 {
                return true;
            }
            thread::sleep(Duration::from_millis(20));
        }
        false
    }

    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        let mut child = self.child.lock().unwrap();
        let _ = child.kill();
        let _ = child.wait();
        let id = child.id();
        STARTED.lock().unwrap().retain(|started| *started != id);
    }
}

/// Returns the entry of an endpoint in the store.
pub fn entry(
    ip: IpAddr,
    service: &str,
    zone: &str,
    slots: u32,
    state: &str,
    born: u64,
    sequence: u64,
) -> String {
    format!(
        r#"{{"address":"{ip}:{APP}","born":{born},"info":{{"service":"{service}","version":"v1","zone":"{zone}","slots":{slots}}},"status":{{"state":"{state}","sequence":{sequence},"cold_left_s":0}}}}"#
    )
}

/// Returns a route of a configuration.
pub fn route(name: &str, prefix: &str, kind: &str, timeout_s: f64, service: &str) -> String {
    format!(
        r#"{{"resource_type":"routes","metadata":{{"name":"{name}"}},"spec":{{"host":"ficu95.example","prefix":"{prefix}","route_kind":"{kind}","timeout_s":{timeout_s},"target_latency_s":0.5,"priority":1,"service":"{service}","max_attempts":2}}}}"#
    )
}

/// Returns a configuration with these routes and services.
pub fn config(version: u64, routes: &[String], services: &[&str], cold_per_s: f64) -> String {
    let services = services.iter().map(|name| {
        format!(
            r#"{{"resource_type":"services","metadata":{{"name":"{name}"}},"spec":{{"health_path":"/health","max_conns":260,"protocol":"h1","tls":false,"cold_start_s":3.0,"cold_per_s":{cold_per_s}}}}}"#
        )
    });
    let limits = r#"{"resource_type":"limits","metadata":{},"spec":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15}}"#;
    let all: Vec<String> =
        routes.iter().cloned().chain(services).chain([limits.to_owned()]).collect();
    format!(r#"{{"version":{version},"resources":[{}]}}"#, all.join(","))
}

/// What became of a request of a client.
#[derive(Clone, Debug)]
pub enum Ended {
    /// The response was read to its end.
    Answered(Message),
    /// The connection ended before that.
    Cut(String),
    /// The client's deadline passed.
    Late,
    /// No connection could be made.
    Refused,
}

/// Client with a connection that it keeps open.
pub struct Client {
    addr: SocketAddr,
    reader: Option<Reader>,
    /// Number of requests on the present connection.
    pub used: usize,
}

impl Client {
    pub fn new(addr: SocketAddr) -> Self {
        Client { addr, reader: None, used: 0 }
    }

    fn connect(&mut self) -> io::Result<()> {
        if self.reader.as_ref().is_some_and(|reader| !reader.is_closed()) {
            return Ok(());
        }
        let stream = TcpStream::connect_timeout(&self.addr, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        self.reader = Some(Reader::new(stream));
        self.used = 0;
        Ok(())
    }

    /// Sends a request and waits for its answer until the deadline.
    pub fn send(&mut self, text: &[u8], deadline: Duration) -> Ended {
        if self.connect().is_err() {
            return Ended::Refused;
        }
        self.used += 1;
        let Some(mut reader) = self.reader.take() else { return Ended::Refused };
        let _ = reader.stream.set_read_timeout(Some(deadline));
        let sent = reader.stream.write_all(text);
        match sent.and_then(|()| reader.message()) {
            Ok(Some(response)) => {
                if response.field("connection") != Some("close") {
                    self.reader = Some(reader);
                }
                Ended::Answered(response)
            }
            Ok(None) => Ended::Cut("closed".to_owned()),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                let _ = reader.stream.shutdown(Shutdown::Both);
                Ended::Late
            }
            Err(error) => Ended::Cut(error.to_string()),
        }
    }
}
