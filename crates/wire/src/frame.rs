//! Encodes each message as one frame: the lengths of head and body, the head in postcard
//! encoding, and the body.

use std::fmt;

use bytes::{Buf, BufMut, Bytes, BytesMut};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Maximum length of a head in bytes.
pub const MAX_HEAD_LEN: usize = 64 * 1024;

/// Maximum length of a body in bytes.
pub const MAX_BODY_LEN: usize = 16 * 1024 * 1024;

/// Maximum length of a frame in bytes.
pub const MAX_FRAME_LEN: usize = PREFIX_LEN + MAX_HEAD_LEN + MAX_BODY_LEN;

const PREFIX_LEN: usize = 8;

/// Error of encoding or decoding a message.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WireError {
    /// A frame is shorter than its length prefix, or a length differs from the stated one.
    Length {
        /// Expected length in bytes.
        expected: usize,
        /// Actual length in bytes.
        actual: usize,
    },
    /// The head or body exceeds its maximum length; holds its length.
    TooLarge(usize),
    /// The head or body could not be encoded or decoded; holds the reason.
    Malformed(String),
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            WireError::Length { expected, actual } => {
                write!(f, "could not decode frame: expected {expected} bytes, got {actual}")
            }
            WireError::TooLarge(size) => {
                write!(
                    f,
                    "could not encode or decode frame: head or body of {size} bytes is too large"
                )
            }
            WireError::Malformed(reason) => {
                write!(f, "could not encode or decode message: {reason}")
            }
        }
    }
}

impl std::error::Error for WireError {}

/// Encodes a head and a body as one frame.
///
/// ```
/// use bbv_wire::frame::{decode, encode};
/// use bytes::Bytes;
/// let frame = encode(&7_u32, b"body")?;
/// assert_eq!(decode::<u32>(frame)?, (7, Bytes::from_static(b"body")));
/// # Ok::<(), bbv_wire::WireError>(())
/// ```
pub fn encode(head: &impl Serialize, body: &[u8]) -> Result<Bytes, WireError> {
    let head = postcard::to_stdvec(head).map_err(|e| WireError::Malformed(e.to_string()))?;
    check_lengths(head.len(), body.len())?;
    let mut frame = BytesMut::with_capacity(PREFIX_LEN + head.len() + body.len());
    frame.put_u32(head.len() as u32);
    frame.put_u32(body.len() as u32);
    frame.put_slice(&head);
    frame.put_slice(body);
    Ok(frame.freeze())
}

fn check_lengths(head_len: usize, body_len: usize) -> Result<(), WireError> {
    if head_len > MAX_HEAD_LEN {
        return Err(WireError::TooLarge(head_len));
    }
    if body_len > MAX_BODY_LEN {
        return Err(WireError::TooLarge(body_len));
    }
    Ok(())
}

/// Decodes a complete frame without copying the body.
///
/// ```
/// use bytes::Bytes;
/// assert!(bbv_wire::frame::decode::<u32>(Bytes::from_static(b"\0\0\0\x01")).is_err());
/// ```
pub fn decode<T: DeserializeOwned>(mut frame: Bytes) -> Result<(T, Bytes), WireError> {
    if frame.len() < PREFIX_LEN {
        return Err(WireError::Length { expected: PREFIX_LEN, actual: frame.len() });
    }
    let head_len = frame.get_u32() as usize;
    let body_len = frame.get_u32() as usize;
    check_lengths(head_len, body_len)?;
    if head_len + body_len != frame.len() {
        return Err(WireError::Length { expected: head_len + body_len, actual: frame.len() });
    }
    let head = frame.split_to(head_len);
    let (head, rest) =
        postcard::take_from_bytes(&head).map_err(|e| WireError::Malformed(e.to_string()))?;
    if !rest.is_empty() {
        return Err(WireError::Malformed(format!("{} trailing bytes after the head", rest.len())));
    }
    Ok((head, frame))
}
