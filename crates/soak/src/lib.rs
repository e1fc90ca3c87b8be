//! Randomised runs of `bbv-mesh` processes on loopback addresses, with faults injected from
//! outside.

pub mod bursts;
pub mod callers;
pub mod calm;
pub mod checker;
pub mod cold;
pub mod departures;
pub mod drills;
pub mod faults;
pub mod force;
pub mod growth;
pub mod history;
pub mod injector;
pub mod leaving;
pub mod limits;
pub mod memory;
pub mod outages;
pub mod pieces;
pub mod poison;
pub mod request;
pub mod run;
pub mod served;
pub mod store_faults;
pub mod versions;
