//! Complete body in several parts.

use std::io::IoSlice;
use std::sync::Arc;

use bytes::Buf;

use crate::body::Share;

/// Parts of a body, with its share of the budget.
#[derive(Debug)]
struct Held {
    parts: Vec<Vec<u8>>,
    _share: Option<Share>,
}

/// Complete body. Clones share its parts, which hold their share of the budget until the last clone
/// is dropped.
#[derive(Clone, Debug, Default)]
pub(crate) struct Content {
    /// `None` for an empty body.
    held: Option<Arc<Held>>,
    /// Number of parts that have been read.
    part: usize,
    /// Bytes of the next part that have been read.
    offset: usize,
    /// Bytes that have not been read.
    left: usize,
}

impl Content {
    /// Returns the body that consists of `parts`, none of which is empty, and holds `share`.
    pub fn new(parts: Vec<Vec<u8>>, share: Option<Share>) -> Self {
        let left = parts.iter().map(Vec::len).sum();
        let held = (left > 0).then(|| Arc::new(Held { parts, _share: share }));
        Content { held, part: 0, offset: 0, left }
    }

    /// Returns the number of bytes that have not been read.
    pub fn len(&self) -> usize {
        self.left
    }

    /// Returns the parts that have not been read.
    pub fn parts(&self) -> impl Iterator<Item = &[u8]> {
        let parts = self.held.as_ref().map_or(&[][..], |held| &held.parts[self.part..]);
        let offset = self.offset;
        parts
            .iter()
            .enumerate()
            .map(move |(index, part)| if index == 0 { &part[offset..] } else { part })
    }

    /// Returns the bytes that have not been read.
    pub fn to_vec(&self) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(self.left);
        self.parts().for_each(|part| bytes.extend_from_slice(part));
        bytes
    }
}

impl From<Vec<u8>> for Content {
    fn from(bytes: Vec<u8>) -> Self {
        Content::new(vec![bytes], None)
    }
}

impl Buf for Content {
    fn remaining(&self) -> usize {
        self.left
    }

    fn chunk(&self) -> &[u8] {
        self.parts().next().unwrap_or_default()
    }

    fn chunks_vectored<'a>(&'a self, slices: &mut [IoSlice<'a>]) -> usize {
        let mut count = 0;
        for (slice, part) in slices.iter_mut().zip(self.parts()) {
            *slice = IoSlice::new(part);
            count += 1;
        }
        count
    }

    fn advance(&mut self, count: usize) {
        assert!(count <= self.left, "cannot advance by {count}, {} bytes are left", self.left);
        self.left -= count;
        if self.left == 0 {
            self.held = None;
            return;
        }
        let Some(held) = &self.held else { return };
        self.offset += count;
        while self.offset >= held.parts[self.part].len() {
            self.offset -= held.parts[self.part].len();
            self.part += 1;
        }
    }
}
