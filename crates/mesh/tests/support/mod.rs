//! Stand-ins of the platform's store and of upstreams, and a fleet of real nodes on
//! loopback addresses.

#![allow(dead_code)]

pub mod client;
pub mod fleet;
pub mod store;
pub mod upstream;
