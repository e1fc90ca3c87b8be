//! In-memory links between the nodes of a trial, with delay, jitter, loss and partitions. They
//! also count the messages and bytes that the nodes exchange.

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

/// Time after which a message without a reply is lost, like QUIC's idle timeout.
const IDLE_TIMEOUT: Micros = 3 * SEC;
/// Lower bound of the fixed delay between two nodes.
const MIN_DELAY: Micros = 150;
const PACKET_OVERHEAD: u64 = 60;

/// A node that the links can reach.
#[derive(Clone)]
pub struct LinkEndpoint {
    /// Node that serves the messages.
    pub node: Arc<Node>,
    /// Zone of its VM.
    pub zone: String,
    /// Whether its process runs.
    pub running: bool,
}

/// Messages counted by the links.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct MessageCounts {
    /// Messages that only report or request load: notices and probes.
    pub probe_msgs: u64,
    /// Bytes of these messages and their replies.
    pub probe_bytes: u64,
    /// Bytes of all control messages, probes and notices included.
    pub control_bytes: u64,
    /// Control messages, probes and notices included.
    pub control_msgs: u64,
}

struct LinkState {
    rng: SmallRng,
    endpoints: BTreeMap<SocketAddr, LinkEndpoint>,
    partitions: BTreeSet<(String, String)>,
    counts: MessageCounts,
}

/// Fixed delay from one zone to another.
pub type OneWayDelay = Box<dyn Fn(&str, &str) -> Micros + Send + Sync>;

/// All links of a trial.
pub struct Links {
    timer: Timer,
    jitter: f64,
    loss: f64,
    one_way_delay: OneWayDelay,
    state: Mutex<LinkState>,
}

impl Links {
    /// Creates links with the fixed delays `one_way_delay` between zones.
    pub fn new(
        timer: Timer,
        seed: u64,
        jitter: f64,
        loss: f64,
        one_way_delay: OneWayDelay,
    ) -> Arc<Self> {
        let rng = SmallRng::seed_from_u64(seed);
        let state = LinkState {
            rng,
            endpoints: BTreeMap::new(),
            partitions: BTreeSet::new(),
            counts: MessageCounts::default(),
        };
        Arc::new(Links { timer, jitter, loss, one_way_delay, state: Mutex::new(state) })
    }

    /// Makes a node reachable at an address.
    pub fn register(&self, addr: SocketAddr, node: Arc<Node>, zone: &str) {
        let endpoint = LinkEndpoint { node, zone: zone.to_owned(), running: true };
        self.state.lock().endpoints.insert(addr, endpoint);
    }

    /// Marks the process at an address as exited.
    pub fn kill(&self, addr: SocketAddr) {
        if let Some(endpoint) = self.state.lock().endpoints.get_mut(&addr) {
            endpoint.running = false;
        }
    }

    /// Partitions two zones, or ends their partition.
    pub fn set_partitioned(&self, a: &str, b: &str, partitioned: bool) {
        let mut state = self.state.lock();
        for pair in [(a.to_owned(), b.to_owned()), (b.to_owned(), a.to_owned())] {
            if partitioned {
                state.partitions.insert(pair);
            } else {
                state.partitions.remove(&pair);
            }
        }
    }

    /// Returns the messages counted so far.
    pub fn message_counts(&self) -> MessageCounts {
        self.state.lock().counts
    }

    fn is_running(&self, addr: SocketAddr, node: &Arc<Node>) -> bool {
        let state = self.state.lock();
        let endpoint = state.endpoints.get(&addr);
        endpoint.is_some_and(|endpoint| endpoint.running && Arc::ptr_eq(&endpoint.node, node))
    }

    fn is_partitioned(&self, a: &str, b: &str) -> bool {
        self.state.lock().partitions.contains(&(a.to_owned(), b.to_owned()))
    }

    fn delay(&self, from: &str, to: &str) -> Micros {
        let base_delay = (self.one_way_delay)(from, to).max(MIN_DELAY) as f64;
        let mut state = self.state.lock();
        let mut delay = base_delay * (1.0 - self.jitter * (1.0 - state.rng.random::<f64>()).ln());
        while self.loss > 0.0 && state.rng.random::<f64>() < self.loss {
            // A lost packet is retransmitted after a probe timeout.
            delay += base_delay * 3.0 + 2.0 * MS as f64;
        }
        delay as Micros
    }

    /// Creates the link port of the node that will be registered at `from`.
    pub fn port(self: &Arc<Self>, from: SocketAddr, zone: &str, timer: &Timer) -> Link {
        let (links, zone, timer) = (Arc::clone(self), zone.to_owned(), timer.clone());
        Box::new(move |to, request| {
            let (links, zone, timer) = (Arc::clone(&links), zone.clone(), timer.clone());
            Box::pin(async move { links.exchange(from, &zone, &timer, to, request).await })
        })
    }

    async fn time_out(&self) -> LinkError {
        self.timer.sleep(IDLE_TIMEOUT).await;
        LinkError::Lost("no reply".to_owned())
    }

    async fn exchange(
        &self,
        from: SocketAddr,
        zone: &str,
        timer: &Timer,
        to: SocketAddr,
        request: RequestEnvelope,
    ) -> Result<ReplyEnvelope, LinkError> {
        let sender = self.state.lock().endpoints.get(&from).cloned();
        // A process that has exited makes no progress.
        let exited = sender.as_ref().is_some_and(|endpoint| !endpoint.running);
        if exited {
            std::future::pending::<()>().await;
        }
        let endpoint = self.state.lock().endpoints.get(&to).cloned();
        let Some(endpoint) = endpoint else {
            return Err(LinkError::Unsent("no route".to_owned()));
        };
        if !endpoint.running {
            timer.sleep(self.delay(zone, &endpoint.zone) * 2).await;
            return Err(LinkError::Unsent("connection refused".to_owned()));
        }
        let (request, request_bytes) = encode_and_decode_request(&request);
        let kind = MessageKind::of(&request.request);
        self.timer.sleep(self.delay(zone, &endpoint.zone)).await;
        if self.is_partitioned(zone, &endpoint.zone) {
            return Err(self.time_out().await);
        }
        endpoint.node.timer().wait_while_frozen().await;
        let reply = endpoint.node.serve(request).await;
        endpoint.node.timer().wait_while_frozen().await;
        if !self.is_running(to, &endpoint.node) {
            return Err(self.time_out().await);
        }
        let (reply, reply_bytes) = encode_and_decode_reply(&reply);
        self.count(kind, request_bytes + reply_bytes + 2 * PACKET_OVERHEAD);
        self.timer.sleep(self.delay(&endpoint.zone, zone)).await;
        if self.is_partitioned(zone, &endpoint.zone) {
            return Err(self.time_out().await);
        }
        timer.wait_while_frozen().await;
        Ok(reply)
    }

    fn count(&self, kind: MessageKind, bytes: u64) {
        let mut state = self.state.lock();
        let counts = &mut state.counts;
        match kind {
            MessageKind::Call => return,
            MessageKind::Measurement => {
                counts.probe_msgs += 1;
                counts.probe_bytes += bytes;
            }
            MessageKind::Control => {}
        }
        counts.control_msgs += 1;
        counts.control_bytes += bytes;
    }
}

#[derive(Clone, Copy)]
enum MessageKind {
    Call,
    Control,
    Measurement,
}

impl MessageKind {
    fn of(request: &PeerRequest) -> Self {
        match request {
            PeerRequest::Attempt(_) | PeerRequest::Operate(_) => MessageKind::Call,
            PeerRequest::Notice(_) | PeerRequest::Probe => MessageKind::Measurement,
            _ => MessageKind::Control,
        }
    }
}

/// Encodes and decodes a message as the real link does; returns it with its encoded size.
fn encode_and_decode_request(request: &RequestEnvelope) -> (RequestEnvelope, u64) {
    let frame = encode_request(request).expect("a message between nodes can be encoded");
    let bytes = frame.len() as u64;
    (decode_request(frame).expect("an encoded message can be decoded"), bytes)
}

fn encode_and_decode_reply(reply: &ReplyEnvelope) -> (ReplyEnvelope, u64) {
    let frame = encode_reply(reply).expect("a message between nodes can be encoded");
    let bytes = frame.len() as u64;
    (decode_reply(frame).expect("an encoded message can be decoded"), bytes)
}
