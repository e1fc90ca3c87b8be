//! Frames: a head encoded with postcard and a body of stated length.

use std::fmt;

use bytes::{Buf, BufMut, Bytes, BytesMut};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Largest head of a frame in bytes.
pub const HEAD_MAX: usize = 64 * 1024;

/// Largest body of a frame in bytes.
pub const BODY_MAX: usize = 16 * 1024 * 1024;

/// Largest frame in bytes.
pub const FRAME_MAX: usize = PREFIX + HEAD_MAX + BODY_MAX;

const PREFIX: usize = 8;

/// Why bytes are not a message.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WireError {
    /// Fewer or more bytes than the frame states.
    Length {
        /// Bytes stated.
        stated: usize,
        /// Bytes present.
        present: usize,
    },
    /// A part is larger than allowed; holds its size.
    TooLarge(usize),
    /// The head is not a message; holds the reason.
    Malformed(String),
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            WireError::Length { stated, present } => {
                write!(f, "could not read frame: {stated} bytes stated, {present} present")
            }
            WireError::TooLarge(size) => write!(f, "could not read frame: {size} bytes"),
            WireError::Malformed(reason) => write!(f, "could not read message: {reason}"),
        }
    }
}

impl std::error::Error for WireError {}

/// Encodes a head and the body that follows it.
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
    check_sizes(head.len(), body.len())?;
    let mut frame = BytesMut::with_capacity(PREFIX + head.len() + body.len());
    frame.put_u32(head.len() as u32);
    frame.put_u32(body.len() as u32);
    frame.put_slice(&head);
    frame.put_slice(body);
    Ok(frame.freeze())
}

fn check_sizes(head: usize, body: usize) -> Result<(), WireError> {
    if head > HEAD_MAX {
        return Err(WireError::TooLarge(head));
    }
    if body > BODY_MAX {
        return Err(WireError::TooLarge(body));
    }
    Ok(())
}

/// Decodes a whole frame; the body is not copied.
///
/// ```
/// use bytes::Bytes;
/// assert!(bbv_wire::frame::decode::<u32>(Bytes::from_static(b"\0\0\0\x01")).is_err());
/// ```
pub fn decode<T: DeserializeOwned>(mut frame: Bytes) -> Result<(T, Bytes), WireError> {
    if frame.len() < PREFIX {
        return Err(WireError::Length { stated: PREFIX, present: frame.len() });
    }
    let head_len = frame.get_u32() as usize;
    let body_len = frame.get_u32() as usize;
    check_sizes(head_len, body_len)?;
    if head_len + body_len != frame.len() {
        return Err(WireError::Length { stated: head_len + body_len, present: frame.len() });
    }
    let head = frame.split_to(head_len);
    let (head, rest) =
        postcard::take_from_bytes(&head).map_err(|e| WireError::Malformed(e.to_string()))?;
    if !rest.is_empty() {
        return Err(WireError::Malformed(format!("{} bytes after the head", rest.len())));
    }
    Ok((head, frame))
}
