//! Randomised runs of `bbv-mesh` processes on loopback addresses, with faults injected from
//! outside.

pub mod callers;
pub mod checker;
pub mod cold;
pub mod faults;
pub mod proxy;
pub mod request;
pub mod run;
pub mod versions;
