//! Limits what the other side of a connection may send.
//!
//! It bounds what an HTTP client would read without handing it out: interim responses, heads, chunk
//! extensions and trailers.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use crate::tapped::Tapped;

/// Number of bytes that the other side of a connection may still send.
#[derive(Clone, Debug, Default)]
pub(crate) struct Allowance(Arc<AtomicU64>);

impl Allowance {
    /// Allows `bytes` from now on, whatever was allowed before.
    pub fn set(&self, bytes: u64) {
        self.0.store(bytes, Ordering::Relaxed);
    }

    /// Takes `bytes`; fails if they were not allowed.
    fn take(&self, bytes: u64) -> io::Result<()> {
        let left = self.0.load(Ordering::Relaxed);
        self.0.store(left.saturating_sub(bytes), Ordering::Relaxed);
        if bytes <= left {
            return Ok(());
        }
        Err(io::Error::other("response is longer than allowed"))
    }

    /// Returns `stream`, whose reads fail beyond this allowance.
    pub fn limit<T>(
        &self,
        stream: T,
    ) -> Tapped<T, impl FnMut(usize) -> io::Result<()> + use<T>, impl FnMut() + use<T>> {
        let allowance = self.clone();
        Tapped::new(stream, move |bytes| allowance.take(bytes as u64), || {})
    }
}
