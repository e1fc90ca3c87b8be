//! Complete answers of upstreams.

use bbv_core::id::AttemptId;
use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// HTTP header field.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HeaderField {
    /// Name in lower case.
    pub name: String,
    /// Value.
    pub value: String,
}

/// Complete answer of an upstream to one attempt.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Answer {
    /// Identifier of the attempt.
    pub attempt: AttemptId,
    /// HTTP status code.
    pub status: u16,
    /// Header fields without the hop-by-hop ones.
    pub headers: Vec<HeaderField>,
    /// Body.
    pub body: Bytes,
}
