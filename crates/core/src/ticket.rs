//! Signed tickets that allow one run of a non-idempotent operation and name the node that keeps its
//! record. Used by bbv-node, which mints and checks one for each such call.

use std::fmt;
use std::hash::Hasher;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher24;

use crate::id::{NodeId, Vm};
use crate::units::Micros;

/// Permission to run one operation, minted and signed by its owner.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Ticket {
    /// Node that minted the ticket and keeps the record of the operation.
    pub owner: NodeId,
    /// Serial number, unique per owner.
    pub serial: u64,
    /// Expiry on the owner's clock.
    pub expiry: Micros,
    /// Keyed hash of the other fields, by which the owner verifies the ticket.
    pub mac: u64,
}

/// Secret key with which a node signs its tickets.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Key(pub [u64; 2]);

impl Key {
    /// Computes the keyed hash of a ticket's fields.
    ///
    /// ```
    /// use bbv_core::{id::NodeId, ticket::Key};
    /// let key = Key([1, 2]);
    /// assert_ne!(key.mac(NodeId::default(), 1, 9), key.mac(NodeId::default(), 2, 9));
    /// ```
    pub fn mac(&self, owner: NodeId, serial: u64, expiry: Micros) -> u64 {
        let mut hasher = SipHasher24::new_with_keys(self.0[0], self.0[1]);
        hasher.write_u32(owner.vm.0);
        hasher.write_u64(owner.incarnation);
        hasher.write_u64(serial);
        hasher.write_u64(expiry);
        hasher.finish()
    }
}

impl fmt::Display for Ticket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Ticket { owner, serial, expiry, mac } = self;
        write!(f, "t1-{:x}-{:x}-{serial:x}-{expiry:x}-{mac:x}", owner.vm.0, owner.incarnation)
    }
}

/// Error for a string that is not a ticket.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TicketError;

impl fmt::Display for TicketError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("could not parse ticket: expected t1-VM-INCARNATION-SERIAL-EXPIRY-MAC in hex")
    }
}

impl std::error::Error for TicketError {}

impl FromStr for Ticket {
    type Err = TicketError;

    /// Parses the text form of a ticket.
    ///
    /// ```
    /// use bbv_core::ticket::Ticket;
    /// let ticket: Ticket = "t1-1-2-3-4-5".parse()?;
    /// assert_eq!(ticket.to_string(), "t1-1-2-3-4-5");
    /// assert!("t1-1".parse::<Ticket>().is_err());
    /// # Ok::<(), bbv_core::ticket::TicketError>(())
    /// ```
    fn from_str(text: &str) -> Result<Self, TicketError> {
        let mut parts = text.split('-');
        if parts.next() != Some("t1") {
            return Err(TicketError);
        }
        let mut next_number = || {
            let part = parts.next().ok_or(TicketError)?;
            u64::from_str_radix(part, 16).map_err(|_| TicketError)
        };
        let vm = u32::try_from(next_number()?).map_err(|_| TicketError)?;
        let owner = NodeId { vm: Vm(vm), incarnation: next_number()? };
        let ticket =
            Ticket { owner, serial: next_number()?, expiry: next_number()?, mac: next_number()? };
        if parts.next().is_some() {
            return Err(TicketError);
        }
        Ok(ticket)
    }
}
