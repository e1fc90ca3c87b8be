//! Decisions of the bluebellvale load balancer.
//!
//! Every part is a plain struct: the time and randomness come in as arguments and
//! decisions go out as values. Nothing here performs I/O, reads a clock or locks.

pub mod admission;
pub mod attempt;
pub mod balancer;
pub mod budget;
pub mod catalogue;
pub mod chart;
mod cold;
pub mod fleet;
pub mod gate;
pub mod history;
pub mod id;
pub mod index;
mod knee;
pub mod limit;
pub mod load;
pub mod operation;
pub mod outcome;
pub mod place;
pub mod queue;
pub mod ramp;
pub mod rank;
pub mod readers;
pub mod retries;
pub mod route;
pub mod spell;
pub mod spread;
pub mod suspect;
pub mod tally;
pub mod ticket;
pub mod units;
pub mod view;
