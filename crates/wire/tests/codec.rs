//! Decoders take any bytes, and whatever is encoded comes back.

use bbv_core::documents::{CatchUp, DocumentChange};
use bbv_core::id::{AttemptId, NodeId, Vm};
use bbv_core::operation::{Handoff, HandoffRecord};
use bbv_core::outcome::{Refusal, UnknownReason};
use bbv_core::poison::Crash;
use bbv_core::ticket::{Key, Ticket};
use bbv_wire::frame::{BODY_MAX, HEAD_MAX};
use bbv_wire::*;
use bytes::Bytes;
use proptest::prelude::*;

const TICKETS: u64 = 20_000;

fn node() -> impl Strategy<Value = NodeId> {
    (any::<u32>(), any::<u64>()).prop_map(|(vm, incarnation)| NodeId { vm: Vm(vm), incarnation })
}

fn attempt_id() -> impl Strategy<Value = AttemptId> {
    (node(), any::<u64>()).prop_map(|(node, serial)| AttemptId { node, serial })
}

fn fields() -> impl Strategy<Value = Vec<Field>> {
    let field = ("[a-z-]{1,9}", ".{0,9}").prop_map(|(name, value)| Field { name, value });
    prop::collection::vec(field, 0..5)
}

fn body() -> impl Strategy<Value = Bytes> {
    prop::collection::vec(any::<u8>(), 0..300).prop_map(Bytes::from)
}

fn request() -> impl Strategy<Value = Request> {
    let parts = ("[a-z]{0,9}", "[A-Z]{3}", ".{0,20}", fields(), body(), any::<u64>());
    parts.prop_map(|(entry, method, path, headers, body, print)| Request {
        entry,
        method,
        path,
        headers,
        body,
        print,
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

fn ask() -> impl Strategy<Value = Ask> {
    let attempt = (attempt_id(), prop::option::of(any::<u64>()), any::<u64>(), request());
    let operate = (ticket(), any::<u64>(), request());
    let crash = (any::<u64>(), any::<u32>())
        .prop_map(|(print, vm)| Crash { fingerprint: print, vm: Vm(vm) });
    prop_oneof![
        attempt.prop_map(|(id, once, ttl, request)| {
            Ask::Attempt(Attempt { id, once, ttl, request })
        }),
        operate.prop_map(|(ticket, ttl, request)| Ask::Operate(Operate { ticket, ttl, request })),
        prop::collection::vec(crash, 0..4).prop_map(Ask::Crashes),
        prop::collection::vec(change(), 0..4).prop_map(Ask::Push),
        any::<u64>().prop_map(Ask::Pull),
        Just(Ask::Probe),
        (attempt_id(), any::<u64>()).prop_map(|(id, incarnation)| Ask::Void { id, incarnation }),
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
    let since = || prop::collection::vec(change(), 0..4);
    prop_oneof![
        answer.prop_map(Reply::Answer),
        since().prop_map(|changes| Reply::Changes(CatchUp::Changes(changes))),
        (any::<u64>(), since()).prop_map(|(r, docs)| Reply::Changes(CatchUp::Snapshot(r, docs))),
        attempt_id().prop_map(|attempt| Reply::NotRun { attempt, refusal: Refusal::Overload }),
        attempt_id().prop_map(|attempt| Reply::Unknown { attempt, doubt: UnknownReason::Late }),
        Just(Reply::Ack),
        Just(Reply::Gone),
        Just(Reply::Running),
        Just(Reply::Voided),
        any::<u32>().prop_map(|vm| Reply::Moved(Vm(vm))),
    ]
}

/// A full table of operations fits into the one message that hands it over.
#[test]
fn full_table_can_be_handed_over() {
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
        next: TICKETS,
        now: 9,
        records: (0..TICKETS).map(record).collect(),
    };
    let (from, ask) = (NodeId::default(), Ask::Adopt(handoff));
    let envelope = AskEnvelope { from, revision: 0, stopping: true, ask };
    let frame = encode_ask(&envelope).unwrap();
    assert_eq!(decode_ask(frame).unwrap(), envelope);
}

proptest! {
    #[test]
    fn asks_come_back(from in node(), revision: u64, stopping: bool, ask in ask()) {
        let envelope = AskEnvelope { from, revision, stopping, ask };
        prop_assert_eq!(decode_ask(encode_ask(&envelope).expect("it is encoded")).expect("it is decoded"), envelope);
    }

    #[test]
    fn replies_come_back(from in node(), revision: u64, held: u64, reply in reply()) {
        let load = Default::default();
        let envelope = ReplyEnvelope { from, revision, stopping: false, load, held, reply };
        prop_assert_eq!(decode_reply(encode_reply(&envelope).unwrap()).unwrap(), envelope);
    }

    #[test]
    fn cut_messages_are_refused(from in node(), ask in ask(), cut: prop::sample::Index) {
        let frame = encode_ask(&AskEnvelope { from, revision: 0, stopping: false, ask }).unwrap();
        let cut = cut.index(frame.len());
        prop_assert!(decode_ask(frame.slice(..cut)).is_err());
    }

    #[test]
    fn any_bytes_are_taken(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let frame = Bytes::from(bytes);
        let _ = decode_ask(frame.clone());
        let _ = decode_reply(frame);
    }

    #[test]
    fn any_ticket_text_is_taken(text in ".{0,60}") {
        if let Ok(ticket) = text.parse::<Ticket>() {
            prop_assert_eq!(ticket.to_string().parse::<Ticket>(), Ok(ticket));
        }
    }

    #[test]
    fn stated_sizes_above_the_limits_are_refused(
        head in HEAD_MAX as u32 + 1..,
        body in BODY_MAX as u32 + 1..,
    ) {
        let frame = |head: u32, body: u32| {
            Bytes::from([head.to_be_bytes(), body.to_be_bytes()].concat())
        };
        prop_assert!(decode_ask(frame(head, 0)).is_err());
        prop_assert!(decode_reply(frame(0, body)).is_err());
    }
}
