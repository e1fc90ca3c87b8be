//! Whole answers of upstreams.

use bbv_core::id::AttemptId;
use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// One header field.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Field {
    /// Name in lower case.
    pub name: String,
    /// Value.
    pub value: String,
}

/// Answer of an upstream to one attempt, complete.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Answer {
    /// Attempt that it answers.
    pub attempt: AttemptId,
    /// HTTP status.
    pub status: u16,
    /// Header fields without those of one hop.
    pub headers: Vec<Field>,
    /// Body.
    pub body: Bytes,
}
