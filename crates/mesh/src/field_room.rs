//! Room for the header fields of a head.

/// Number of header fields for which the HTTP library has room by itself.
const USUAL_ROOM: usize = 100;
/// Numbers of header fields for which there is room beyond the usual. The last one, with the fields
/// that nodes add, fits into a header map.
const LARGER_ROOMS: [usize; 2] = [1_600, 24_000];

/// Room for header fields with which the HTTP library reads the heads of a connection. The library
/// prepares all of it for each head, so that a connection begins with the least and gets more when
/// a head needs it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct FieldRoom(usize);

impl FieldRoom {
    /// Returns the next larger room, if there is one.
    pub fn next(self) -> Option<Self> {
        (self.0 < LARGER_ROOMS.len()).then_some(FieldRoom(self.0 + 1))
    }

    /// Returns the number of header fields, or none for the HTTP library's own, which costs least.
    pub fn fields(self) -> Option<usize> {
        let index = self.0.checked_sub(1)?;
        LARGER_ROOMS.get(index).copied()
    }

    /// Returns whether a head at the start of `bytes` may have had too many fields for this room.
    pub fn may_lack(self, bytes: &[u8]) -> bool {
        let lines = bytes.iter().filter(|byte| **byte == b'\n').count();
        lines > self.fields().unwrap_or(USUAL_ROOM)
    }
}
