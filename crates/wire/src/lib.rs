//! Messages between nodes and their encoding.

mod answer;
mod ask;
mod envelope;
mod flat;
pub mod frame;
mod reply;

pub use answer::{Answer, Field};
pub use ask::{Ask, Attempt, Operate, Request};
pub use envelope::{AskEnvelope, ReplyEnvelope};
pub use flat::{decode_ask, decode_reply, encode_ask, encode_reply};
pub use frame::WireError;
pub use reply::Reply;
