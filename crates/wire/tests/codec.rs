//! Round trips of messages, and decoding of truncated, oversized and arbitrary input.

use bbv_core::documents::{CatchUp, DocumentChange};
use bbv_core::id::{AttemptId, NodeId, Vm};
use bbv_core::operation::{Handoff, HandoffRecord};
use bbv_core::outcome::{Refusal, UnknownReason};
use bbv_core::poison::Crash;
use bbv_core::ticket::{Key, Ticket};
use bbv_wire::frame::{MAX_BODY_LEN, MAX_HEAD_LEN};
use bbv_wire::*;
use bytes::Bytes;
use proptest::prelude::*;

const TABLE_CAPACITY: u64 = 20_000;

fn node() -> impl Strategy<Value = NodeId> {
    (any::<u32>(), any::<u64>()).prop_map(|(vm, incarnation)| NodeId { vm: Vm(vm), incarnation })
}

fn attempt_id() -> impl Strategy<Value = AttemptId> {
    (node(), any::<u64>()).prop_map(|(node, serial)| AttemptId { node, serial })
}

fn fields() -> impl Strategy<Value = Vec<HeaderField>> {
    let field = ("[a-z-]{1,9}", ".{0,9}").prop_map(|(name, value)| HeaderField { name, value });
    prop::collection::vec(field, 0..5)
}

fn body() -> impl Strategy<Value = Bytes> {
    prop::collection::vec(any::<u8>(), 0..300).prop_map(Bytes::from)
}

fn caller_request() -> impl Strategy<Value = CallerRequest> {
    let parts = ("[a-z]{0,9}", "[A-Z]{3}", ".{0,20}", fields(), body(), any::<u64>());
    parts.prop_map(|(entry, method, path, headers, body, fingerprint)| CallerRequest {
        entry,
        method,
        path,
        headers,
        body,
        fingerprint,
    })
}

fn change() -> impl Strategy<Value = DocumentChange> {
    let parts = (any::<u64>(), "[a-z/]{1,9}", prop::option::of(".{0,30}"), any::<u64>());
    parts.prop_map(|(revision, key, value, published_ms)| DocumentChange {
        revision,
        key,
        value,
        published_ms,
    })
}

fn ticket() -> impl Strategy<Value = Ticket> {
    let parts = (node(), any::<u64>(), any::<u64>(), any::<u64>());
    parts.prop_map(|(owner, serial, expiry, mac)| Ticket { owner, serial, expiry, mac })
}

fn peer_request() -> impl Strategy<Value = PeerRequest> {
    let attempt = (attempt_id(), prop::option::of(any::<u64>()), any::<u64>(), caller_request());
    let operation = (ticket(), any::<u64>(), caller_request());
    let crash = (any::<u64>(), any::<u32>())
        .prop_map(|(fingerprint, vm)| Crash { fingerprint, vm: Vm(vm) });
    prop_oneof![
        attempt.prop_map(|(id, expected_incarnation, ttl, request)| {
            PeerRequest::Attempt(Attempt { id, expected_incarnation, ttl, request })
        }),
        operation.prop_map(|(ticket, ttl, request)| PeerRequest::Operate(OperationRequest {
            ticket,
            ttl,
            request
        })),
        prop::collection::vec(crash, 0..4).prop_map(PeerRequest::Crashes),
        prop::collection::vec(change(), 0..4).prop_map(PeerRequest::Push),
        any::<u64>().prop_map(PeerRequest::Pull),
        Just(PeerRequest::Probe),
        (attempt_id(), any::<u64>())
            .prop_map(|(id, incarnation)| PeerRequest::Void { id, incarnation }),
    ]
}

fn reply() -> impl Strategy<Value = Reply> {
    let answer = (attempt_id(), 100_u16..600, fields(), body());
    let answer = answer.prop_map(|(attempt, status, headers, body)| Answer {
        attempt,
        status,
        headers,
        body,
    });
    let changes = || prop::collection::vec(change(), 0..4);
    prop_oneof![
        answer.prop_map(Reply::Answer),
        changes().prop_map(|changes| Reply::Changes(CatchUp::Changes(changes))),
        (any::<u64>(), changes())
            .prop_map(|(revision, changes)| Reply::Changes(CatchUp::Snapshot(revision, changes))),
        attempt_id().prop_map(|attempt| Reply::NotRun { attempt, refusal: Refusal::Overload }),
        attempt_id().prop_map(|attempt| Reply::Unknown { attempt, reason: UnknownReason::Late }),
        Just(Reply::Ack),
        Just(Reply::Gone),
        Just(Reply::Running),
        Just(Reply::Voided),
        any::<u32>().prop_map(|vm| Reply::Moved(Vm(vm))),
    ]
}

/// A handoff is one message, so a full table of operation records must not exceed the frame limits.
#[test]
fn handoff_of_full_table_fits_in_one_frame() {
    let record = |serial| HandoffRecord {
        serial,
        state: "done".to_owned(),
        fingerprint: u64::MAX,
        expiry: 600_000_000,
        sent: None,
        answer: Some(Answer { body: vec![7; 200].into(), ..Answer::default() }),
        refusal: None,
    };
    let handoff = Handoff {
        owner: NodeId::default(),
        key: Key([1, 2]),
        next: TABLE_CAPACITY,
        now: 9,
        records: (0..TABLE_CAPACITY).map(record).collect(),
    };
    let (from, request) = (NodeId::default(), PeerRequest::Adopt(handoff));
    let envelope = RequestEnvelope { from, revision: 0, stopping: true, request };
    let frame = encode_request(&envelope).unwrap();
    assert_eq!(decode_request(frame).unwrap(), envelope);
}

proptest! {
    #[test]
    fn request_round_trips(from in node(), revision: u64, stopping: bool, request in peer_request()) {
        let envelope = RequestEnvelope { from, revision, stopping, request };
        prop_assert_eq!(decode_request(encode_request(&envelope).expect("request is encoded")).expect("request is decoded"), envelope);
    }

    #[test]
    fn reply_round_trips(from in node(), revision: u64, age: Option<u64>, processing_time: u64, reply in reply()) {
        let load = Default::default();
        let envelope = ReplyEnvelope { from, revision, age, stopping: false, load, processing_time, reply };
        prop_assert_eq!(decode_reply(encode_reply(&envelope).unwrap()).unwrap(), envelope);
    }

    #[test]
    fn truncated_request_is_rejected(from in node(), request in peer_request(), length: prop::sample::Index) {
        let frame = encode_request(&RequestEnvelope { from, revision: 0, stopping: false, request }).unwrap();
        let length = length.index(frame.len());
        prop_assert!(decode_request(frame.slice(..length)).is_err());
    }

    #[test]
    fn decoders_do_not_panic_on_arbitrary_bytes(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let frame = Bytes::from(bytes);
        let _ = decode_request(frame.clone());
        let _ = decode_reply(frame);
    }

    #[test]
    fn parsed_ticket_round_trips(text in ".{0,60}") {
        if let Ok(ticket) = text.parse::<Ticket>() {
            prop_assert_eq!(ticket.to_string().parse::<Ticket>(), Ok(ticket));
        }
    }

    #[test]
    fn lengths_above_the_maximum_are_rejected(
        head in MAX_HEAD_LEN as u32 + 1..,
        body in MAX_BODY_LEN as u32 + 1..,
    ) {
        let frame = |head: u32, body: u32| {
            Bytes::from([head.to_be_bytes(), body.to_be_bytes()].concat())
        };
        prop_assert!(decode_request(frame(head, 0)).is_err());
        prop_assert!(decode_reply(frame(0, body)).is_err());
    }
}
