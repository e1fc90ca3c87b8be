//! Defines a call with its deadline and whether it may run more than once.

use bytes::Bytes;
use http::Method;

/// Call of a catalogue entry.
#[derive(Clone, Debug)]
pub struct Call {
    /// HTTP method.
    pub method: Method,
    /// Path and query; the first path segment is the catalogue entry.
    pub path: String,
    /// Request body.
    pub body: Bytes,
    /// Time after which the caller no longer needs the answer, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// Whether the call may run more than once.
    pub idempotent: bool,
}

impl Call {
    /// Creates an idempotent call without a body.
    ///
    /// ```
    /// assert!(bbv_caller::Call::get("/site-history/7").idempotent);
    /// ```
    pub fn get(path: &str) -> Self {
        let path = path.to_owned();
        Call { method: Method::GET, path, body: Bytes::new(), deadline_ms: None, idempotent: true }
    }

    /// Creates a call that runs at most once.
    ///
    /// ```
    /// assert!(!bbv_caller::Call::post_once("/certificates", "rod 7").idempotent);
    /// ```
    pub fn post_once(path: &str, body: impl Into<Bytes>) -> Self {
        let (path, body) = (path.to_owned(), body.into());
        Call { method: Method::POST, path, body, deadline_ms: None, idempotent: false }
    }
}
