//! Messages between bbv-node processes and their encoding.

mod answer;
mod codec;
mod envelope;
pub mod frame;
mod reply;
mod request;

pub use answer::{Answer, HeaderField};
pub use codec::{decode_reply, decode_request, encode_reply, encode_request};
pub use envelope::{ReplyEnvelope, RequestEnvelope};
pub use frame::WireError;
pub use reply::Reply;
pub use request::{Attempt, CallerRequest, OperationRequest, PeerRequest};
