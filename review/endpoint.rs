//! Stand-in of an application endpoint.

use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Conn, Message};
use crate::record::{Record, Run};

/// Requests that run at once, and that wait beyond them.
const SLOTS: u32 = 9;
const QUEUE: u32 = 18;
/// Time for which a request runs.
const WORK: Duration = Duration::from_millis(40);
/// Time for which an endpoint is cold after a start during traffic, and how much slower it is then.
const COLD: Duration = Duration::from_secs(3);
const COLD_FACTOR: u32 = 2;

#[derive(Default)]
struct State {
    id: String,
    /// Number of the start; connections of an earlier start are closed.
    start: u64,
    up: bool,
    listening: bool,
    cold_until: Option<Instant>,
    running: u32,
    queued: u32,
    streams: Vec<TcpStream>,
}

pub struct Endpoint {
    pub machine: usize,
    pub addr: SocketAddr,
    record: Arc<Record>,
    /// Path of requests that crash the endpoint, if any.
    poison: Option<&'static str>,
    state: Mutex<State>,
    freed: Condvar,
}

impl Endpoint {
    /// Starts the endpoint as instance `id`, which is not cold.
    pub fn start(
        machine: usize,
        addr: SocketAddr,
        id: &str,
        poison: Option<&'static str>,
        record: &Arc<Record>,
    ) -> Arc<Self> {
        let endpoint = Arc::new(Endpoint {
            machine,
            addr,
            record: Arc::clone(record),
            poison,
            state: Mutex::new(State { id: id.to_owned(), up: true, ..State::default() }),
            freed: Condvar::new(),
        });
        endpoint.listen();
        endpoint
    }

    /// Starts again during traffic, as instance `id`.
    pub fn restart(self: &Arc<Self>, id: &str) {
        {
            let mut state = self.state.lock().unwrap();
            state.id = id.to_owned();
            state.up = true;
            state.cold_until = Some(Instant::now() + COLD);
        }
        self.listen();
    }

    /// Ends as a killed process does: its listener is closed, then all connections.
    pub fn end(&self) {
        let mut state = self.state.lock().unwrap();
        state.start += 1;
        while state.listening {
            state = self.freed.wait(state).unwrap();
        }
        state.up = false;
        (state.running, state.queued) = (0, 0);
        for stream in state.streams.drain(..) {
            // An error means that the connection has ended already.
            let _ = stream.shutdown(Shutdown::Both);
        }
        self.freed.notify_all();
    }

    pub fn is_up(&self) -> bool {
        self.state.lock().unwrap().up
    }

    fn listen(self: &Arc<Self>) {
        let listener = TcpListener::bind(self.addr).expect("bind an endpoint");
        listener.set_nonblocking(true).expect("set the listener non-blocking");
        let start = {
            let mut state = self.state.lock().unwrap();
            state.listening = true;
            state.start
        };
        let endpoint = Arc::clone(self);
        std::thread::spawn(move || {
            while endpoint.is_current(start) {
                match listener.accept() {
                    Ok((stream, _)) => endpoint.accept(stream, start),
                    Err(_) => std::thread::sleep(Duration::from_millis(1)),
                }
            }
            drop(listener);
            endpoint.state.lock().unwrap().listening = false;
            endpoint.freed.notify_all();
        });
    }

    fn is_current(&self, start: u64) -> bool {
        self.state.lock().unwrap().start == start
    }

    fn accept(self: &Arc<Self>, stream: TcpStream, start: u64) {
        stream.set_nonblocking(false).expect("set a connection blocking");
        let Ok(copy) = stream.try_clone() else { return };
        {
            let mut state = self.state.lock().unwrap();
            if state.start != start {
                return;
            }
            state.streams.push(copy);
        }
        let endpoint = Arc::clone(self);
        std::thread::spawn(move || {
            // Errors are those of connections that the other side or a crash has closed.
            let _ = endpoint.serve(Conn::new(stream), start);
        });
    }

    fn serve(self: &Arc<Self>, mut conn: Conn, start: u64) -> io::Result<()> {
        while let Some(request) = conn.read()? {
            if !self.is_current(start) {
                break;
            }
            let answer = self.answer(&request, start);
            let Some(answer) = answer.filter(|_| self.is_current(start)) else { break };
            conn.write(answer.as_bytes())?;
        }
        conn.stream.shutdown(Shutdown::Both)
    }

    /// Returns the answer to a request, or none if the endpoint has crashed meanwhile.
    fn answer(self: &Arc<Self>, request: &Message, start: u64) -> Option<String> {
        let state = self.state.lock().unwrap();
        let (id, load) = (state.id.clone(), format!("{},{},{SLOTS}", state.running, state.queued));
        let now = Instant::now();
        let cold =
            state.cold_until.map_or(Duration::ZERO, |until| until.saturating_duration_since(now));
        let full = state.running + state.queued >= SLOTS + QUEUE;
        drop(state);
        let fields = format!("Bluebellvale-Server-Load: {load}\r\n");
        if request.word() == "/health" {
            let cold = match cold.as_millis() {
                0 => String::new(),
                left => format!("Bluebellvale-Cold-Remaining-Ms: {left}\r\n"),
            };
            return Some(format!(
                "HTTP/1.1 200 OK\r\nBluebellvale-Instance-Id: {id}\r\n{fields}{cold}Content-Length: 0\r\n\r\n"
            ));
        }
        let attempt = request.header("bluebellvale-attempt-id").unwrap_or("none").to_owned();
        let not_run = |status: &str| {
            Some(format!(
                "HTTP/1.1 {status}\r\nBluebellvale-Attempt-Id: {attempt}\r\nBluebellvale-Instance-Id: {id}\r\n\
                 Bluebellvale-Not-Executed: 1\r\n{fields}Content-Length: 0\r\n\r\n"
            ))
        };
        let expected = request.header("bluebellvale-expected-instance");
        if expected.is_some_and(|expected| expected != id) {
            return not_run("421 Misdirected Request");
        }
        if full {
            return not_run("503 Service Unavailable");
        }
        self.take_slot(start)?;
        let path = request.word().to_owned();
        self.record.add_run(Run {
            at: self.record.now(),
            instance: id.clone(),
            machine: self.machine,
            attempt: attempt.clone(),
            path: path.clone(),
        });
        if self.poison == Some(path.as_str()) {
            self.record.note(format!("crash instance={id} machine={} id={attempt}", self.machine));
            self.end();
            return None;
        }
        std::thread::sleep(if cold.is_zero() { WORK } else { WORK * COLD_FACTOR });
        self.free_slot(start);
        let body = format!("{id} {path}");
        Some(format!(
            "HTTP/1.1 200 OK\r\nBluebellvale-Attempt-Id: {attempt}\r\nBluebellvale-Response-Signature: s-{attempt}\r\n\
             {fields}Content-Length: {}\r\n\r\n{body}",
            body.len()
        ))
    }

    fn take_slot(&self, start: u64) -> Option<()> {
        let mut state = self.state.lock().unwrap();
        state.queued += 1;
        while state.start == start && state.running >= SLOTS {
            state = self.freed.wait(state).unwrap();
        }
        if state.start != start {
            return None;
        }
        state.queued -= 1;
        state.running += 1;
        Some(())
    }

    fn free_slot(&self, start: u64) {
        let mut state = self.state.lock().unwrap();
        if state.start == start {
            state.running -= 1;
            self.freed.notify_one();
        }
    }
}
