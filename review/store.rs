//! Stand-in of the platform's store: listings and watches, read only for the nodes.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::Conn;

struct Item {
    value: String,
    revision: u64,
    created: u64,
}

#[derive(Default)]
struct Data {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Key and revision of each change, and its event as JSON.
    events: Vec<(String, u64, String)>,
    /// Revision up to which the history was discarded.
    discarded: u64,
    /// Whether watches hear nothing.
    quiet: bool,
    /// Number of times that waiting watches were cut.
    cuts: u64,
    /// Number of times that the open connections went silent.
    silences: u64,
}

#[derive(Default)]
pub struct Store {
    data: Mutex<Data>,
    changed: Condvar,
}

/// Items in one page of a listing.
const PAGE_ITEMS: usize = 500;

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let byte = |index: usize| u32::from(group.get(index).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for place in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * place) & 63) as usize];
            text.push(if place <= group.len() { char::from(digit) } else { '=' });
        }
    }
    text
}

impl Store {
    /// Serves the store at `addr`.
    pub fn start(addr: SocketAddr) -> Arc<Self> {
        let store = Arc::new(Store::default());
        let listener = TcpListener::bind(addr).expect("bind the store");
        let shared = Arc::clone(&store);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&shared);
                std::thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes an item; it is acknowledged when this returns.
    pub fn put(&self, key: &str, json: &str) {
        let mut data = self.data.lock().unwrap();
        data.revision += 1;
        let revision = data.revision;
        let created = data.items.get(key).map_or(revision, |item| item.created);
        let value = base64(json.as_bytes());
        let event = format!(
            r#"{{"key":"{key}","value":"{value}","revision":{revision},"created":{created},"lease":0}}"#
        );
        data.items.insert(key.to_owned(), Item { value, revision, created });
        data.events.push((key.to_owned(), revision, event));
        self.changed.notify_all();
    }

    /// Removes an item; it is acknowledged when this returns.
    pub fn remove(&self, key: &str) {
        let mut data = self.data.lock().unwrap();
        data.revision += 1;
        let revision = data.revision;
        data.items.remove(key);
        let event = format!(r#"{{"key":"{key}","revision":{revision},"deleted":true}}"#);
        data.events.push((key.to_owned(), revision, event));
        self.changed.notify_all();
    }

    /// Makes watches hear nothing from now on.
    pub fn silence_watches(&self) {
        self.data.lock().unwrap().quiet = true;
    }

    /// Discards the history.
    pub fn discard_history(&self) {
        let mut data = self.data.lock().unwrap();
        data.discarded = data.revision;
        data.events.clear();
    }

    /// Cuts the watches that are waiting; later ones hear of changes.
    pub fn cut_watches(&self) {
        let mut data = self.data.lock().unwrap();
        data.quiet = false;
        data.cuts += 1;
        self.changed.notify_all();
    }

    /// Makes the connections that are open silent for good; new ones work.
    pub fn silence_connections(&self) {
        self.data.lock().unwrap().silences += 1;
        self.changed.notify_all();
    }

    fn is_silent(&self, silences: u64) -> bool {
        self.data.lock().unwrap().silences != silences
    }

    fn serve(&self, stream: TcpStream) {
        let silences = self.data.lock().unwrap().silences;
        let mut conn = Conn::new(stream);
        while let Ok(Some(request)) = conn.read() {
            let (path, query) = request.word().split_once('?').unwrap_or((request.word(), ""));
            let value = |name: &str| {
                let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
                pairs.into_iter().find(|(key, _)| *key == name).map(|(_, value)| value)
            };
            let prefix = value("prefix").unwrap_or("");
            let number = |name| value(name).and_then(|text| text.parse::<u64>().ok()).unwrap_or(0);
            let answer = match path {
                "/-/kv-range" => Some((200, self.range(prefix, value("after")))),
                "/-/kv-watch" => {
                    let wait = Duration::from_millis(number("wait_ms"));
                    self.watch(prefix, number("after"), wait)
                }
                _ => Some((404, "{}".to_owned())),
            };
            if self.is_silent(silences) {
                // Whatever still arrives is discarded.
                while let Ok(Some(_)) = conn.read() {}
                return;
            }
            // A watch that was cut gets no answer: its connection is closed.
            let Some((status, body)) = answer else { return };
            let reason = if status == 200 { "OK" } else { "Gone" };
            let head = format!(
                "HTTP/1.1 {status} {reason}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if conn.write((head + &body).as_bytes()).is_err() {
                return;
            }
        }
    }

    fn range(&self, prefix: &str, after: Option<&str>) -> String {
        let data = self.data.lock().unwrap();
        let matches = |key: &&String| {
            key.starts_with(prefix) && after.is_none_or(|after| key.as_str() > after)
        };
        let keys: Vec<&String> = data.items.keys().filter(matches).collect();
        let has_more = keys.len() > PAGE_ITEMS;
        let items: Vec<String> = keys
            .iter()
            .take(PAGE_ITEMS)
            .map(|key| {
                let Item { value, revision, created } = &data.items[*key];
                format!(
                    r#"{{"key":"{key}","value":"{value}","revision":{revision},"created":{created},"lease":0}}"#
                )
            })
            .collect();
        let as_of = data.revision;
        format!(r#"{{"items":[{}],"has_more":{has_more},"as_of":{as_of}}}"#, items.join(","))
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> Option<(u16, String)> {
        let ends = Instant::now() + wait;
        let mut data = self.data.lock().unwrap();
        let cuts = data.cuts;
        loop {
            if data.cuts != cuts {
                return None;
            }
            if !data.quiet {
                if after < data.discarded {
                    return Some((410, r#"{"error":"history"}"#.to_owned()));
                }
                let news = data.events.iter();
                let news = news.filter(|(key, at, _)| *at > after && key.starts_with(prefix));
                let news: Vec<&str> = news.map(|(_, _, event)| event.as_str()).collect();
                if !news.is_empty() || Instant::now() >= ends {
                    let as_of = data.revision;
                    let events = news.join(",");
                    return Some((200, format!(r#"{{"events":[{events}],"as_of":{as_of}}}"#)));
                }
            } else if Instant::now() >= ends {
                return Some((200, format!(r#"{{"events":[],"as_of":{after}}}"#)));
            }
            let rest = ends.saturating_duration_since(Instant::now());
            let step = rest.clamp(Duration::from_millis(1), Duration::from_millis(100));
            data = self.changed.wait_timeout(data, step).unwrap().0;
        }
    }
}
