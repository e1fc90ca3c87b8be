//! Reads complete bodies within a budget of memory.

use std::fmt;
use std::sync::Arc;

use bbv_core::body_budget::{BodyBudget, BodyTooLarge};
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Body;
use parking_lot::Mutex;

/// Why a body is not complete.
#[derive(Debug)]
pub(crate) enum BodyError {
    /// The connection failed, or the body ended early.
    Broken(hyper::Error),
    /// The body is larger than its own limit.
    TooLarge(u64),
    /// The body does not fit into the memory for all bodies.
    NoMemory(BodyTooLarge),
}

impl fmt::Display for BodyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            BodyError::Broken(error) => write!(f, "{}", crate::pool::describe_error(error)),
            BodyError::TooLarge(bytes) => write!(f, "body of {bytes} bytes is too large"),
            BodyError::NoMemory(error) => error.fmt(f),
        }
    }
}

/// Share of a budget that one body holds; returned when dropped.
struct Share {
    budget: Arc<Mutex<BodyBudget>>,
    held: usize,
}

impl Share {
    fn grow(&mut self, more: usize) -> Result<(), BodyError> {
        self.budget.lock().grow(self.held, more).map_err(BodyError::NoMemory)?;
        self.held += more;
        Ok(())
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        self.budget.lock().release(self.held);
    }
}

/// Complete body, which holds its share of the budget until its last reference is dropped.
struct HeldBody {
    data: Bytes,
    _share: Share,
}

impl AsRef<[u8]> for HeldBody {
    fn as_ref(&self) -> &[u8] {
        &self.data
    }
}

/// Reads a complete body of at most `max_bytes`, which count towards `budget` for as long as they
/// are referenced.
pub(crate) async fn collect(
    mut body: impl Body<Data = Bytes, Error = hyper::Error> + Unpin,
    max_bytes: usize,
    budget: &Arc<Mutex<BodyBudget>>,
) -> Result<Bytes, BodyError> {
    let announced = body.size_hint().lower();
    if announced > max_bytes as u64 {
        return Err(BodyError::TooLarge(announced));
    }
    budget.lock().check_length(announced).map_err(BodyError::NoMemory)?;
    let mut share = Share { budget: Arc::clone(budget), held: 0 };
    let mut chunks = Vec::new();
    while let Some(frame) = body.frame().await {
        let Ok(chunk) = frame.map_err(BodyError::Broken)?.into_data() else { continue };
        share.grow(chunk.len())?;
        if share.held > max_bytes {
            return Err(BodyError::TooLarge(share.held as u64));
        }
        chunks.push(chunk);
    }
    if share.held == 0 {
        return Ok(Bytes::new());
    }
    let data = join(chunks, share.held);
    Ok(Bytes::from_owner(HeldBody { data, _share: share }))
}

fn join(mut chunks: Vec<Bytes>, len: usize) -> Bytes {
    if chunks.len() == 1 {
        return chunks.remove(0);
    }
    let mut data = BytesMut::with_capacity(len);
    chunks.iter().for_each(|chunk| data.extend_from_slice(chunk));
    data.freeze()
}
