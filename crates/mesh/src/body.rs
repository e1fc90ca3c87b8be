//! Reads complete bodies within a budget of memory.

use std::fmt;
use std::sync::Arc;

use bbv_core::body_budget::{self, BodyBudget, BodyTooLarge};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use parking_lot::Mutex;

use crate::content::Content;

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
#[derive(Debug)]
pub(crate) struct Share {
    budget: Arc<Mutex<BodyBudget>>,
    held: usize,
}

impl Share {
    fn grow(&mut self, more: usize) -> Result<(), BodyError> {
        self.budget.lock().grow(self.held, more).map_err(BodyError::NoMemory)?;
        self.held += more;
        Ok(())
    }

    fn shrink(&mut self, bytes: usize) {
        self.budget.lock().release(bytes);
        self.held -= bytes;
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        self.budget.lock().release(self.held);
    }
}

/// Body that is being read. What arrives is copied: it lies in a read buffer, which a piece of any
/// size would keep. The capacity of each part counts.
struct Collected {
    parts: Vec<Vec<u8>>,
    len: usize,
    share: Share,
}

impl Collected {
    /// Adds `bytes` to a body of which `announced` bytes come in all at least.
    fn push(&mut self, mut bytes: &[u8], announced: usize) -> Result<(), BodyError> {
        while !bytes.is_empty() {
            let room = self.parts.last().map_or(0, |part| part.capacity() - part.len());
            if room == 0 {
                let rest = announced.saturating_sub(self.len);
                let size = body_budget::part_bytes(self.share.held, bytes.len(), rest);
                self.share.grow(size)?;
                self.parts.push(Vec::with_capacity(size));
                continue;
            }
            let (fits, rest) = bytes.split_at(room.min(bytes.len()));
            if let Some(part) = self.parts.last_mut() {
                part.extend_from_slice(fits);
            }
            self.len += fits.len();
            bytes = rest;
        }
        Ok(())
    }

    fn finish(mut self) -> Content {
        if let Some(part) = self.parts.last_mut() {
            let before = part.capacity();
            part.shrink_to_fit();
            self.share.shrink(before - part.capacity());
        }
        Content::new(self.parts, Some(self.share))
    }
}

/// Reads a complete body of at most `max_bytes`. The memory that it takes counts towards `budget` for
/// as long as it is referenced.
pub(crate) async fn collect(
    mut body: impl Body<Data = Bytes, Error = hyper::Error> + Unpin,
    max_bytes: usize,
    budget: &Arc<Mutex<BodyBudget>>,
) -> Result<Content, BodyError> {
    let announced = body.size_hint().lower();
    if announced > max_bytes as u64 {
        return Err(BodyError::TooLarge(announced));
    }
    budget.lock().check_length(announced).map_err(BodyError::NoMemory)?;
    let share = Share { budget: Arc::clone(budget), held: 0 };
    let mut collected = Collected { parts: Vec::new(), len: 0, share };
    while let Some(frame) = body.frame().await {
        let Ok(chunk) = frame.map_err(BodyError::Broken)?.into_data() else { continue };
        let len = collected.len + chunk.len();
        if len > max_bytes {
            return Err(BodyError::TooLarge(len as u64));
        }
        collected.push(&chunk, announced as usize)?;
    }
    Ok(collected.finish())
}
