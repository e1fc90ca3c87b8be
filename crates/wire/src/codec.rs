//! Converts messages to and from their encoded form. The encoding is positional: the order and
//! types of the fields and variants of the `Flat*` types are the format, their names are not in it.

use bbv_core::documents::{CatchUp, DocumentChange};
use bbv_core::id::{AttemptId, NodeId, Vm};
use bbv_core::load::Load;
use bbv_core::operation::Handoff;
use bbv_core::outcome::{Refusal, UnknownReason};
use bbv_core::poison::Crash;
use bbv_core::ticket::Ticket;
use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::answer::{Answer, HeaderField};
use crate::envelope::{ReplyEnvelope, RequestEnvelope};
use crate::frame::{self, WireError};
use crate::reply::Reply;
use crate::request::{Attempt, CallerRequest, OperationRequest, PeerRequest};

const VERSION: u8 = 2;

type FlatNodeId = (u32, u64);
type FlatAttemptId = (u32, u64, u64);

fn flat_node_id(node: NodeId) -> FlatNodeId {
    (node.vm.0, node.incarnation)
}

fn node_id((vm, incarnation): FlatNodeId) -> NodeId {
    NodeId { vm: Vm(vm), incarnation }
}

fn flat_attempt_id(id: AttemptId) -> FlatAttemptId {
    (id.node.vm.0, id.node.incarnation, id.serial)
}

fn attempt_id((vm, incarnation, serial): FlatAttemptId) -> AttemptId {
    AttemptId { node: node_id((vm, incarnation)), serial }
}

#[derive(Deserialize, Serialize)]
struct FlatCallerRequest {
    entry: String,
    method: String,
    path: String,
    headers: Vec<HeaderField>,
    print: u64,
}

impl From<&CallerRequest> for FlatCallerRequest {
    fn from(request: &CallerRequest) -> Self {
        FlatCallerRequest {
            entry: request.entry.clone(),
            method: request.method.clone(),
            path: request.path.clone(),
            headers: request.headers.clone(),
            print: request.fingerprint,
        }
    }
}

impl FlatCallerRequest {
    fn with_body(self, body: Bytes) -> CallerRequest {
        let FlatCallerRequest { entry, method, path, headers, print: fingerprint } = self;
        CallerRequest { entry, method, path, headers, body, fingerprint }
    }
}

#[derive(Deserialize, Serialize)]
enum FlatPeerRequest {
    Adopt,
    Attempt { id: FlatAttemptId, once: Option<u64>, ttl: u64, request: FlatCallerRequest },
    Crashes(Vec<Crash>),
    Notice(Load),
    Operate { ticket: Ticket, ttl: u64, request: FlatCallerRequest },
    Probe,
    Pull(u64),
    Push,
    Void { id: FlatAttemptId, incarnation: u64 },
}

#[derive(Deserialize, Serialize)]
struct FlatRequestHead {
    version: u8,
    from: FlatNodeId,
    revision: u64,
    stopping: bool,
    ask: FlatPeerRequest,
}

#[derive(Deserialize, Serialize)]
struct FlatAnswer {
    attempt: FlatAttemptId,
    status: u16,
    headers: Vec<HeaderField>,
    body: Vec<u8>,
}

impl From<&Answer> for FlatAnswer {
    fn from(answer: &Answer) -> Self {
        FlatAnswer {
            attempt: flat_attempt_id(answer.attempt),
            status: answer.status,
            headers: answer.headers.clone(),
            body: answer.body.to_vec(),
        }
    }
}

impl From<FlatAnswer> for Answer {
    fn from(flat: FlatAnswer) -> Self {
        Answer {
            attempt: attempt_id(flat.attempt),
            status: flat.status,
            headers: flat.headers,
            body: flat.body.into(),
        }
    }
}

#[derive(Deserialize, Serialize)]
enum FlatReply {
    Ack,
    Answer { attempt: FlatAttemptId, status: u16, headers: Vec<HeaderField>, length: u32 },
    Changes,
    Gone,
    Moved(u32),
    NotRun { attempt: FlatAttemptId, refusal: Refusal },
    Running,
    Unknown { attempt: FlatAttemptId, doubt: UnknownReason },
    Voided,
}

#[derive(Deserialize, Serialize)]
struct FlatReplyHead {
    version: u8,
    from: FlatNodeId,
    revision: u64,
    age: Option<u64>,
    stopping: bool,
    load: Load,
    held: u64,
    reply: FlatReply,
}

fn check_version(version: u8) -> Result<(), WireError> {
    if version == VERSION {
        return Ok(());
    }
    Err(WireError::Malformed(format!("unsupported version {version}, expected {VERSION}")))
}

fn check_empty(body: &Bytes) -> Result<(), WireError> {
    if body.is_empty() {
        return Ok(());
    }
    Err(WireError::Malformed(format!("unexpected body of {} bytes", body.len())))
}

fn encode_body(value: &impl Serialize) -> Result<Bytes, WireError> {
    let bytes = postcard::to_stdvec(value).map_err(|e| WireError::Malformed(e.to_string()))?;
    Ok(bytes.into())
}

fn decode_body<T: for<'a> Deserialize<'a>>(bytes: &Bytes) -> Result<T, WireError> {
    let (value, rest) =
        postcard::take_from_bytes(bytes).map_err(|e| WireError::Malformed(e.to_string()))?;
    if !rest.is_empty() {
        return Err(WireError::Malformed(format!("{} trailing bytes after the body", rest.len())));
    }
    Ok(value)
}

fn map_answers<A, B>(handoff: Handoff<A>, map: impl Fn(A) -> B) -> Handoff<B> {
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

fn flatten_request(request: &PeerRequest) -> Result<(FlatPeerRequest, Bytes), WireError> {
    Ok(match request {
        PeerRequest::Adopt(handoff) => {
            let flat = map_answers(handoff.clone(), |answer| FlatAnswer::from(&answer));
            (FlatPeerRequest::Adopt, encode_body(&flat)?)
        }
        PeerRequest::Attempt(attempt) => {
            let Attempt { id, expected_incarnation, ttl, request } = attempt;
            let (id, body) = (flat_attempt_id(*id), request.body.clone());
            (
                FlatPeerRequest::Attempt {
                    id,
                    once: *expected_incarnation,
                    ttl: *ttl,
                    request: request.into(),
                },
                body,
            )
        }
        PeerRequest::Crashes(crashes) => (FlatPeerRequest::Crashes(crashes.clone()), Bytes::new()),
        PeerRequest::Notice(load) => (FlatPeerRequest::Notice(*load), Bytes::new()),
        PeerRequest::Operate(OperationRequest { ticket, ttl, request }) => {
            let body = request.body.clone();
            (FlatPeerRequest::Operate { ticket: *ticket, ttl: *ttl, request: request.into() }, body)
        }
        PeerRequest::Probe => (FlatPeerRequest::Probe, Bytes::new()),
        PeerRequest::Pull(revision) => (FlatPeerRequest::Pull(*revision), Bytes::new()),
        PeerRequest::Push(changes) => (FlatPeerRequest::Push, encode_body(changes)?),
        PeerRequest::Void { id, incarnation } => {
            let (id, incarnation) = (flat_attempt_id(*id), *incarnation);
            (FlatPeerRequest::Void { id, incarnation }, Bytes::new())
        }
    })
}

/// Encodes a request and its envelope as one frame.
///
/// ```
/// use bbv_wire::{PeerRequest, RequestEnvelope, decode_request, encode_request};
/// let from = bbv_core::id::NodeId::default();
/// let envelope =
///     RequestEnvelope { from, revision: 3, stopping: false, request: PeerRequest::Probe };
/// assert_eq!(decode_request(encode_request(&envelope)?)?, envelope);
/// # Ok::<(), bbv_wire::WireError>(())
/// ```
pub fn encode_request(envelope: &RequestEnvelope) -> Result<Bytes, WireError> {
    let (request, body) = flatten_request(&envelope.request)?;
    let head = FlatRequestHead {
        version: VERSION,
        from: flat_node_id(envelope.from),
        revision: envelope.revision,
        stopping: envelope.stopping,
        ask: request,
    };
    frame::encode(&head, &body)
}

impl TryFrom<(FlatPeerRequest, Bytes)> for PeerRequest {
    type Error = WireError;

    fn try_from((flat, body): (FlatPeerRequest, Bytes)) -> Result<Self, WireError> {
        let bodiless = !matches!(
            flat,
            FlatPeerRequest::Adopt
                | FlatPeerRequest::Attempt { .. }
                | FlatPeerRequest::Operate { .. }
                | FlatPeerRequest::Push
        );
        if bodiless {
            check_empty(&body)?;
        }
        Ok(match flat {
            FlatPeerRequest::Adopt => {
                let flat: Handoff<FlatAnswer> = decode_body(&body)?;
                PeerRequest::Adopt(map_answers(flat, Answer::from))
            }
            FlatPeerRequest::Attempt { id, once: expected_incarnation, ttl, request } => {
                let request = request.with_body(body);
                PeerRequest::Attempt(Attempt {
                    id: attempt_id(id),
                    expected_incarnation,
                    ttl,
                    request,
                })
            }
            FlatPeerRequest::Crashes(crashes) => PeerRequest::Crashes(crashes),
            FlatPeerRequest::Notice(load) => PeerRequest::Notice(load),
            FlatPeerRequest::Operate { ticket, ttl, request } => {
                PeerRequest::Operate(OperationRequest {
                    ticket,
                    ttl,
                    request: request.with_body(body),
                })
            }
            FlatPeerRequest::Probe => PeerRequest::Probe,
            FlatPeerRequest::Pull(revision) => PeerRequest::Pull(revision),
            FlatPeerRequest::Push => PeerRequest::Push(decode_body::<Vec<DocumentChange>>(&body)?),
            FlatPeerRequest::Void { id, incarnation } => {
                PeerRequest::Void { id: attempt_id(id), incarnation }
            }
        })
    }
}

/// Decodes a frame with a request.
///
/// ```
/// use bytes::Bytes;
/// assert!(bbv_wire::decode_request(Bytes::from_static(b"not a message")).is_err());
/// ```
pub fn decode_request(frame: Bytes) -> Result<RequestEnvelope, WireError> {
    let (head, body): (FlatRequestHead, Bytes) = frame::decode(frame)?;
    check_version(head.version)?;
    Ok(RequestEnvelope {
        from: node_id(head.from),
        revision: head.revision,
        stopping: head.stopping,
        request: PeerRequest::try_from((head.ask, body))?,
    })
}

fn flatten_reply(reply: &Reply) -> Result<(FlatReply, Bytes), WireError> {
    Ok(match reply {
        Reply::Ack => (FlatReply::Ack, Bytes::new()),
        Reply::Answer(answer) => {
            let flat = FlatReply::Answer {
                attempt: flat_attempt_id(answer.attempt),
                status: answer.status,
                headers: answer.headers.clone(),
                length: answer.body.len() as u32,
            };
            (flat, answer.body.clone())
        }
        Reply::Changes(catch_up) => (FlatReply::Changes, encode_body(catch_up)?),
        Reply::Gone => (FlatReply::Gone, Bytes::new()),
        Reply::Moved(vm) => (FlatReply::Moved(vm.0), Bytes::new()),
        Reply::NotRun { attempt, refusal } => {
            let attempt = flat_attempt_id(*attempt);
            (FlatReply::NotRun { attempt, refusal: *refusal }, Bytes::new())
        }
        Reply::Running => (FlatReply::Running, Bytes::new()),
        Reply::Unknown { attempt, reason } => {
            let attempt = flat_attempt_id(*attempt);
            (FlatReply::Unknown { attempt, doubt: *reason }, Bytes::new())
        }
        Reply::Voided => (FlatReply::Voided, Bytes::new()),
    })
}

/// Encodes a reply and its envelope as one frame.
///
/// ```
/// use bbv_wire::{Reply, ReplyEnvelope, decode_reply, encode_reply};
/// let envelope = ReplyEnvelope {
///     from: bbv_core::id::NodeId::default(),
///     revision: 1,
///     age: Some(7),
///     stopping: false,
///     load: bbv_core::load::Load::default(),
///     processing_time: 5,
///     reply: Reply::Ack,
/// };
/// assert_eq!(decode_reply(encode_reply(&envelope)?)?, envelope);
/// # Ok::<(), bbv_wire::WireError>(())
/// ```
pub fn encode_reply(envelope: &ReplyEnvelope) -> Result<Bytes, WireError> {
    let (reply, body) = flatten_reply(&envelope.reply)?;
    let head = FlatReplyHead {
        version: VERSION,
        from: flat_node_id(envelope.from),
        revision: envelope.revision,
        age: envelope.age,
        stopping: envelope.stopping,
        load: envelope.load,
        held: envelope.processing_time,
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
                    let (expected, actual) = (length as usize, body.len());
                    return Err(WireError::Length { expected, actual });
                }
                Reply::Answer(Answer { attempt: attempt_id(id), status, headers, body })
            }
            FlatReply::Changes => Reply::Changes(decode_body::<CatchUp>(&body)?),
            FlatReply::Gone => Reply::Gone,
            FlatReply::Moved(vm) => Reply::Moved(Vm(vm)),
            FlatReply::NotRun { attempt: id, refusal } => {
                Reply::NotRun { attempt: attempt_id(id), refusal }
            }
            FlatReply::Running => Reply::Running,
            FlatReply::Unknown { attempt: id, doubt: reason } => {
                Reply::Unknown { attempt: attempt_id(id), reason }
            }
            FlatReply::Voided => Reply::Voided,
        })
    }
}

/// Decodes a frame with a reply.
///
/// ```
/// use bytes::Bytes;
/// assert!(bbv_wire::decode_reply(Bytes::new()).is_err());
/// ```
pub fn decode_reply(frame: Bytes) -> Result<ReplyEnvelope, WireError> {
    let (head, body): (FlatReplyHead, Bytes) = frame::decode(frame)?;
    check_version(head.version)?;
    Ok(ReplyEnvelope {
        from: node_id(head.from),
        revision: head.revision,
        age: head.age,
        stopping: head.stopping,
        load: head.load,
        processing_time: head.held,
        reply: Reply::try_from((head.reply, body))?,
    })
}
