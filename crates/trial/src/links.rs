//! Links between nodes in memory: delay, jitter, loss, cuts and dead nodes.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use bbv_core::units::{MS, Micros, SEC};
use bbv_node::Node;
use bbv_node::ports::{Link, LinkError};
use bbv_node::timer::Timer;
use bbv_wire::{
    PeerRequest, ReplyEnvelope, RequestEnvelope, decode_reply, decode_request, encode_reply,
    encode_request,
};
use parking_lot::Mutex;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Time after which a message without a reply is given up, as the idle time of QUIC.
const IDLE: Micros = 3 * SEC;
const LOCAL: Micros = 150;
const PACKET_OVERHEAD: u64 = 60;

/// A node as the links see it.
#[derive(Clone)]
pub struct Place {
    /// Node.
    pub node: Arc<Node>,
    /// Zone of its VM.
    pub zone: String,
    /// Whether the process runs.
    pub alive: bool,
}

/// Messages counted by the links.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Counted {
    /// Messages sent only to measure.
    pub probe_msgs: u64,
    /// Their bytes, with replies.
    pub probe_bytes: u64,
    /// Bytes of all control messages, measuring included.
    pub control_bytes: u64,
    /// Control messages.
    pub control_msgs: u64,
}

struct Body {
    rng: SmallRng,
    places: BTreeMap<SocketAddr, Place>,
    cuts: BTreeSet<(String, String)>,
    counted: Counted,
}

/// Fixed delay from one zone to another.
pub type OneWay = Box<dyn Fn(&str, &str) -> Micros + Send + Sync>;

/// All links of a trial.
pub struct Links {
    timer: Timer,
    jitter: f64,
    loss: f64,
    one_way: OneWay,
    body: Mutex<Body>,
}

impl Links {
    /// Creates links whose fixed delay between two zones is `one_way`.
    pub fn new(timer: Timer, seed: u64, jitter: f64, loss: f64, one_way: OneWay) -> Arc<Self> {
        let rng = SmallRng::seed_from_u64(seed);
        let body = Body {
            rng,
            places: BTreeMap::new(),
            cuts: BTreeSet::new(),
            counted: Counted::default(),
        };
        Arc::new(Links { timer, jitter, loss, one_way, body: Mutex::new(body) })
    }

    /// Puts a node at an address.
    pub fn place(&self, addr: SocketAddr, node: Arc<Node>, zone: &str) {
        let place = Place { node, zone: zone.to_owned(), alive: true };
        self.body.lock().places.insert(addr, place);
    }

    /// Marks the process at an address as gone.
    pub fn kill(&self, addr: SocketAddr) {
        if let Some(place) = self.body.lock().places.get_mut(&addr) {
            place.alive = false;
        }
    }

    /// Cuts or heals the links between two zones.
    pub fn cut(&self, a: &str, b: &str, cut: bool) {
        let mut body = self.body.lock();
        for pair in [(a.to_owned(), b.to_owned()), (b.to_owned(), a.to_owned())] {
            if cut {
                body.cuts.insert(pair);
            } else {
                body.cuts.remove(&pair);
            }
        }
    }

    /// Messages counted so far.
    pub fn counted(&self) -> Counted {
        self.body.lock().counted
    }

    fn alive(&self, addr: SocketAddr, node: &Arc<Node>) -> bool {
        let body = self.body.lock();
        let place = body.places.get(&addr);
        place.is_some_and(|place| place.alive && Arc::ptr_eq(&place.node, node))
    }

    fn is_cut(&self, a: &str, b: &str) -> bool {
        self.body.lock().cuts.contains(&(a.to_owned(), b.to_owned()))
    }

    fn delay(&self, from: &str, to: &str) -> Micros {
        let base = (self.one_way)(from, to).max(LOCAL) as f64;
        let mut body = self.body.lock();
        let mut delay = base * (1.0 - self.jitter * (1.0 - body.rng.random::<f64>()).ln());
        while self.loss > 0.0 && body.rng.random::<f64>() < self.loss {
            // A lost packet is sent again after a probe timeout.
            delay += base * 3.0 + 2.0 * MS as f64;
        }
        delay as Micros
    }

    /// Creates the port of the node that will stand at `addr`.
    pub fn port(self: &Arc<Self>, from: SocketAddr, zone: &str, timer: &Timer) -> Link {
        let (links, zone, timer) = (Arc::clone(self), zone.to_owned(), timer.clone());
        Box::new(move |to, ask| {
            let (links, zone, timer) = (Arc::clone(&links), zone.clone(), timer.clone());
            Box::pin(async move { links.exchange(from, &zone, &timer, to, ask).await })
        })
    }

    async fn never(&self) -> LinkError {
        self.timer.sleep(IDLE).await;
        LinkError::Lost("no reply".to_owned())
    }

    async fn exchange(
        &self,
        from: SocketAddr,
        zone: &str,
        timer: &Timer,
        to: SocketAddr,
        ask: RequestEnvelope,
    ) -> Result<ReplyEnvelope, LinkError> {
        let own = self.body.lock().places.get(&from).cloned();
        // A dead process does nothing more.
        let gone = own.as_ref().is_some_and(|place| !place.alive);
        if gone {
            std::future::pending::<()>().await;
        }
        let place = self.body.lock().places.get(&to).cloned();
        let Some(place) = place else {
            return Err(LinkError::Unsent("no route".to_owned()));
        };
        if !place.alive {
            timer.sleep(self.delay(zone, &place.zone) * 2).await;
            return Err(LinkError::Unsent("connection refused".to_owned()));
        }
        let (ask, asked) = recode_ask(&ask);
        let kind = Kind::of(&ask.request);
        self.timer.sleep(self.delay(zone, &place.zone)).await;
        if self.is_cut(zone, &place.zone) {
            return Err(self.never().await);
        }
        place.node.timer().wait_while_frozen().await;
        let reply = place.node.serve(ask).await;
        place.node.timer().wait_while_frozen().await;
        if !self.alive(to, &place.node) {
            return Err(self.never().await);
        }
        let (reply, replied) = recode_reply(&reply);
        self.count(kind, asked + replied + 2 * PACKET_OVERHEAD);
        self.timer.sleep(self.delay(&place.zone, zone)).await;
        if self.is_cut(zone, &place.zone) {
            return Err(self.never().await);
        }
        timer.wait_while_frozen().await;
        Ok(reply)
    }

    fn count(&self, kind: Kind, bytes: u64) {
        let mut body = self.body.lock();
        let counted = &mut body.counted;
        match kind {
            Kind::Call => return,
            Kind::Measure => {
                counted.probe_msgs += 1;
                counted.probe_bytes += bytes;
            }
            Kind::Control => {}
        }
        counted.control_msgs += 1;
        counted.control_bytes += bytes;
    }
}

#[derive(Clone, Copy)]
enum Kind {
    Call,
    Control,
    Measure,
}

impl Kind {
    fn of(ask: &PeerRequest) -> Self {
        match ask {
            PeerRequest::Attempt(_) | PeerRequest::Operate(_) => Kind::Call,
            PeerRequest::Notice(_) | PeerRequest::Probe => Kind::Measure,
            _ => Kind::Control,
        }
    }
}

/// Encodes and decodes as the real link does; returns the size.
fn recode_ask(ask: &RequestEnvelope) -> (RequestEnvelope, u64) {
    let frame = encode_request(ask).expect("messages of nodes are encoded");
    let size = frame.len() as u64;
    (decode_request(frame).expect("encoded messages are decoded"), size)
}

fn recode_reply(reply: &ReplyEnvelope) -> (ReplyEnvelope, u64) {
    let frame = encode_reply(reply).expect("messages of nodes are encoded");
    let size = frame.len() as u64;
    (decode_reply(frame).expect("encoded messages are decoded"), size)
}
