//! Encoded forms of the messages and the conversions to and from them.

use bbv_core::documents::{CatchUp, DocumentChange};
use bbv_core::id::{AttemptId, NodeId, Vm};
use bbv_core::load::Load;
use bbv_core::operation::Handoff;
use bbv_core::outcome::{Refusal, UnknownReason};
use bbv_core::poison::Crash;
use bbv_core::ticket::Ticket;
use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::answer::{Answer, Field};
use crate::ask::{Ask, Attempt, Operate, Request};
use crate::envelope::{AskEnvelope, ReplyEnvelope};
use crate::frame::{self, WireError};
use crate::reply::Reply;

const VERSION: u8 = 1;

type FlatNode = (u32, u64);
type FlatAttempt = (u32, u64, u64);

fn flat_node(node: NodeId) -> FlatNode {
    (node.vm.0, node.incarnation)
}

fn node((vm, incarnation): FlatNode) -> NodeId {
    NodeId { vm: Vm(vm), incarnation }
}

fn flat_attempt(id: AttemptId) -> FlatAttempt {
    (id.node.vm.0, id.node.incarnation, id.serial)
}

fn attempt((vm, incarnation, serial): FlatAttempt) -> AttemptId {
    AttemptId { node: node((vm, incarnation)), serial }
}

#[derive(Deserialize, Serialize)]
struct FlatRequest {
    entry: String,
    method: String,
    path: String,
    headers: Vec<Field>,
    print: u64,
}

impl From<&Request> for FlatRequest {
    fn from(request: &Request) -> Self {
        FlatRequest {
            entry: request.entry.clone(),
            method: request.method.clone(),
            path: request.path.clone(),
            headers: request.headers.clone(),
            print: request.print,
        }
    }
}

impl FlatRequest {
    fn with_body(self, body: Bytes) -> Request {
        let FlatRequest { entry, method, path, headers, print } = self;
        Request { entry, method, path, headers, body, print }
    }
}

#[derive(Deserialize, Serialize)]
enum FlatAsk {
    Adopt,
    Attempt { id: FlatAttempt, once: Option<u64>, ttl: u64, request: FlatRequest },
    Crashes(Vec<Crash>),
    Notice(Load),
    Operate { ticket: Ticket, ttl: u64, request: FlatRequest },
    Probe,
    Pull(u64),
    Push,
    Void { id: FlatAttempt, incarnation: u64 },
}

#[derive(Deserialize, Serialize)]
struct FlatAskHead {
    version: u8,
    from: FlatNode,
    revision: u64,
    stopping: bool,
    ask: FlatAsk,
}

#[derive(Deserialize, Serialize)]
struct FlatAnswer {
    attempt: FlatAttempt,
    status: u16,
    headers: Vec<Field>,
    body: Vec<u8>,
}

impl From<&Answer> for FlatAnswer {
    fn from(answer: &Answer) -> Self {
        FlatAnswer {
            attempt: flat_attempt(answer.attempt),
            status: answer.status,
            headers: answer.headers.clone(),
            body: answer.body.to_vec(),
        }
    }
}

impl From<FlatAnswer> for Answer {
    fn from(flat: FlatAnswer) -> Self {
        Answer {
            attempt: attempt(flat.attempt),
            status: flat.status,
            headers: flat.headers,
            body: flat.body.into(),
        }
    }
}

#[derive(Deserialize, Serialize)]
enum FlatReply {
    Ack,
    Answer { attempt: FlatAttempt, status: u16, headers: Vec<Field>, length: u32 },
    Changes,
    Gone,
    Moved(u32),
    NotRun { attempt: FlatAttempt, refusal: Refusal },
    Running,
    Unknown { attempt: FlatAttempt, doubt: UnknownReason },
    Voided,
}

#[derive(Deserialize, Serialize)]
struct FlatReplyHead {
    version: u8,
    from: FlatNode,
    revision: u64,
    stopping: bool,
    load: Load,
    held: u64,
    reply: FlatReply,
}

fn check_version(version: u8) -> Result<(), WireError> {
    if version == VERSION {
        return Ok(());
    }
    Err(WireError::Malformed(format!("version {version}, expected {VERSION}")))
}

fn check_empty(body: &Bytes) -> Result<(), WireError> {
    if body.is_empty() {
        return Ok(());
    }
    Err(WireError::Malformed(format!("{} bytes of body not expected", body.len())))
}

fn pack(value: &impl Serialize) -> Result<Bytes, WireError> {
    let bytes = postcard::to_stdvec(value).map_err(|e| WireError::Malformed(e.to_string()))?;
    Ok(bytes.into())
}

fn unpack<T: for<'a> Deserialize<'a>>(bytes: &Bytes) -> Result<T, WireError> {
    let (value, rest) =
        postcard::take_from_bytes(bytes).map_err(|e| WireError::Malformed(e.to_string()))?;
    if !rest.is_empty() {
        return Err(WireError::Malformed(format!("{} bytes after the body", rest.len())));
    }
    Ok(value)
}

fn map_handoff<A, B>(handoff: Handoff<A>, map: impl Fn(A) -> B) -> Handoff<B> {
    let Handoff { owner, key, next, now, records } = handoff;
    let records = records
        .into_iter()
        .map(|record| bbv_core::operation::HandoffRecord {
            serial: record.serial,
            state: record.state,
            fingerprint: record.fingerprint,
            expiry: record.expiry,
            sent: record.sent,
            answer: record.answer.map(&map),
            refusal: record.refusal,
        })
        .collect();
    Handoff { owner, key, next, now, records }
}

fn flatten(ask: &Ask) -> Result<(FlatAsk, Bytes), WireError> {
    Ok(match ask {
        Ask::Adopt(handoff) => {
            let flat = map_handoff(handoff.clone(), |answer| FlatAnswer::from(&answer));
            (FlatAsk::Adopt, pack(&flat)?)
        }
        Ask::Attempt(attempt) => {
            let Attempt { id, once, ttl, request } = attempt;
            let (id, body) = (flat_attempt(*id), request.body.clone());
            (FlatAsk::Attempt { id, once: *once, ttl: *ttl, request: request.into() }, body)
        }
        Ask::Crashes(crashes) => (FlatAsk::Crashes(crashes.clone()), Bytes::new()),
        Ask::Notice(load) => (FlatAsk::Notice(*load), Bytes::new()),
        Ask::Operate(Operate { ticket, ttl, request }) => {
            let body = request.body.clone();
            (FlatAsk::Operate { ticket: *ticket, ttl: *ttl, request: request.into() }, body)
        }
        Ask::Probe => (FlatAsk::Probe, Bytes::new()),
        Ask::Pull(revision) => (FlatAsk::Pull(*revision), Bytes::new()),
        Ask::Push(changes) => (FlatAsk::Push, pack(changes)?),
        Ask::Void { id, incarnation } => {
            let (id, incarnation) = (flat_attempt(*id), *incarnation);
            (FlatAsk::Void { id, incarnation }, Bytes::new())
        }
    })
}

/// Encodes a request.
///
/// ```
/// use bbv_wire::{Ask, AskEnvelope, decode_ask, encode_ask};
/// let from = bbv_core::id::NodeId::default();
/// let ask = AskEnvelope { from, revision: 3, stopping: false, ask: Ask::Probe };
/// assert_eq!(decode_ask(encode_ask(&ask)?)?, ask);
/// # Ok::<(), bbv_wire::WireError>(())
/// ```
pub fn encode_ask(envelope: &AskEnvelope) -> Result<Bytes, WireError> {
    let (ask, body) = flatten(&envelope.ask)?;
    let head = FlatAskHead {
        version: VERSION,
        from: flat_node(envelope.from),
        revision: envelope.revision,
        stopping: envelope.stopping,
        ask,
    };
    frame::encode(&head, &body)
}

impl TryFrom<(FlatAsk, Bytes)> for Ask {
    type Error = WireError;

    fn try_from((flat, body): (FlatAsk, Bytes)) -> Result<Self, WireError> {
        let bodiless = !matches!(
            flat,
            FlatAsk::Adopt | FlatAsk::Attempt { .. } | FlatAsk::Operate { .. } | FlatAsk::Push
        );
        if bodiless {
            check_empty(&body)?;
        }
        Ok(match flat {
            FlatAsk::Adopt => {
                let flat: Handoff<FlatAnswer> = unpack(&body)?;
                Ask::Adopt(map_handoff(flat, Answer::from))
            }
            FlatAsk::Attempt { id, once, ttl, request } => {
                let request = request.with_body(body);
                Ask::Attempt(Attempt { id: attempt(id), once, ttl, request })
            }
            FlatAsk::Crashes(crashes) => Ask::Crashes(crashes),
            FlatAsk::Notice(load) => Ask::Notice(load),
            FlatAsk::Operate { ticket, ttl, request } => {
                Ask::Operate(Operate { ticket, ttl, request: request.with_body(body) })
            }
            FlatAsk::Probe => Ask::Probe,
            FlatAsk::Pull(revision) => Ask::Pull(revision),
            FlatAsk::Push => Ask::Push(unpack::<Vec<DocumentChange>>(&body)?),
            FlatAsk::Void { id, incarnation } => Ask::Void { id: attempt(id), incarnation },
        })
    }
}

/// Decodes a request.
///
/// ```
/// use bytes::Bytes;
/// assert!(bbv_wire::decode_ask(Bytes::from_static(b"not a message")).is_err());
/// ```
pub fn decode_ask(frame: Bytes) -> Result<AskEnvelope, WireError> {
    let (head, body): (FlatAskHead, Bytes) = frame::decode(frame)?;
    check_version(head.version)?;
    Ok(AskEnvelope {
        from: node(head.from),
        revision: head.revision,
        stopping: head.stopping,
        ask: Ask::try_from((head.ask, body))?,
    })
}

fn flatten_reply(reply: &Reply) -> Result<(FlatReply, Bytes), WireError> {
    Ok(match reply {
        Reply::Ack => (FlatReply::Ack, Bytes::new()),
        Reply::Answer(answer) => {
            let flat = FlatReply::Answer {
                attempt: flat_attempt(answer.attempt),
                status: answer.status,
                headers: answer.headers.clone(),
                length: answer.body.len() as u32,
            };
            (flat, answer.body.clone())
        }
        Reply::Changes(since) => (FlatReply::Changes, pack(since)?),
        Reply::Gone => (FlatReply::Gone, Bytes::new()),
        Reply::Moved(vm) => (FlatReply::Moved(vm.0), Bytes::new()),
        Reply::NotRun { attempt, refusal } => {
            let attempt = flat_attempt(*attempt);
            (FlatReply::NotRun { attempt, refusal: *refusal }, Bytes::new())
        }
        Reply::Running => (FlatReply::Running, Bytes::new()),
        Reply::Unknown { attempt, doubt } => {
            let attempt = flat_attempt(*attempt);
            (FlatReply::Unknown { attempt, doubt: *doubt }, Bytes::new())
        }
        Reply::Voided => (FlatReply::Voided, Bytes::new()),
    })
}

/// Encodes a reply.
///
/// ```
/// use bbv_wire::{Reply, ReplyEnvelope, decode_reply, encode_reply};
/// let reply = ReplyEnvelope {
///     from: bbv_core::id::NodeId::default(),
///     revision: 1,
///     stopping: false,
///     load: bbv_core::load::Load::default(),
///     held: 5,
///     reply: Reply::Ack,
/// };
/// assert_eq!(decode_reply(encode_reply(&reply)?)?, reply);
/// # Ok::<(), bbv_wire::WireError>(())
/// ```
pub fn encode_reply(envelope: &ReplyEnvelope) -> Result<Bytes, WireError> {
    let (reply, body) = flatten_reply(&envelope.reply)?;
    let head = FlatReplyHead {
        version: VERSION,
        from: flat_node(envelope.from),
        revision: envelope.revision,
        stopping: envelope.stopping,
        load: envelope.load,
        held: envelope.held,
        reply,
    };
    frame::encode(&head, &body)
}

impl TryFrom<(FlatReply, Bytes)> for Reply {
    type Error = WireError;

    fn try_from((flat, body): (FlatReply, Bytes)) -> Result<Self, WireError> {
        if !matches!(flat, FlatReply::Answer { .. } | FlatReply::Changes) {
            check_empty(&body)?;
        }
        Ok(match flat {
            FlatReply::Ack => Reply::Ack,
            FlatReply::Answer { attempt: id, status, headers, length } => {
                if length as usize != body.len() {
                    let (stated, present) = (length as usize, body.len());
                    return Err(WireError::Length { stated, present });
                }
                Reply::Answer(Answer { attempt: attempt(id), status, headers, body })
            }
            FlatReply::Changes => Reply::Changes(unpack::<CatchUp>(&body)?),
            FlatReply::Gone => Reply::Gone,
            FlatReply::Moved(vm) => Reply::Moved(Vm(vm)),
            FlatReply::NotRun { attempt: id, refusal } => {
                Reply::NotRun { attempt: attempt(id), refusal }
            }
            FlatReply::Running => Reply::Running,
            FlatReply::Unknown { attempt: id, doubt } => {
                Reply::Unknown { attempt: attempt(id), doubt }
            }
            FlatReply::Voided => Reply::Voided,
        })
    }
}

/// Decodes a reply.
///
/// ```
/// use bytes::Bytes;
/// assert!(bbv_wire::decode_reply(Bytes::new()).is_err());
/// ```
pub fn decode_reply(frame: Bytes) -> Result<ReplyEnvelope, WireError> {
    let (head, body): (FlatReplyHead, Bytes) = frame::decode(frame)?;
    check_version(head.version)?;
    Ok(ReplyEnvelope {
        from: node(head.from),
        revision: head.revision,
        stopping: head.stopping,
        load: head.load,
        held: head.held,
        reply: Reply::try_from((head.reply, body))?,
    })
}
