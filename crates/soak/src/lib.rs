//! Randomised runs of real processes on loopback, with faults injected from outside.

pub mod callers;
pub mod cold;
pub mod faults;
pub mod ledger;
pub mod proxy;
pub mod run;
pub mod versions;
