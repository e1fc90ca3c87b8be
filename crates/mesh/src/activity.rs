//! Knows whether a request has begun to arrive on a caller's connection.
//!
//! The HTTP server takes a connection on which half a request head has arrived for an idle one.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use crate::tapped::Tapped;

/// Whether bytes have arrived on a connection since the last bytes were sent on it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Activity(Arc<AtomicBool>);

impl Activity {
    /// Returns whether a request, or a part of one, has arrived and has no response yet.
    pub fn is_pending(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }

    /// Returns `stream`, which updates this activity from now on.
    pub fn watch<T>(
        &self,
        stream: T,
    ) -> Tapped<T, impl FnMut(usize) -> std::io::Result<()> + use<T>, impl FnMut() + use<T>> {
        let (arrived, sent) = (Arc::clone(&self.0), Arc::clone(&self.0));
        let on_read = move |bytes| {
            arrived.fetch_or(bytes > 0, Ordering::Relaxed);
            Ok(())
        };
        Tapped::new(stream, on_read, move || sent.store(false, Ordering::Relaxed))
    }
}
