//! Decision logic of the bluebellvale load balancer.
//!
//! Every part is a plain struct that takes time and randomness as arguments and returns its
//! decisions as values. Nothing here performs I/O, reads a clock or locks.
//!
//! Two programs use this crate, and most modules serve only one of them:
//!
//! - bbv-mesh: [`admission`] (with the private modules `cold` and `knee`), [`body_budget`],
//!   [`freshness`], [`history`], [`homes`], [`index`], [`lag`], [`organisation`], [`outage`], [`peer`], [`placement`], [`readers`],
//!   [`restoration`], [`retry_budget`], [`revision`], [`route`], [`routing_change`], [`routing_page`], [`slow_period`] and
//!   [`view`].
//! - bbv-node: [`attempt`], [`balancer`], [`chart`], [`documents`], [`fleet`], [`gate`],
//!   [`limit`], [`load`], [`operation`], [`outcome`], [`queue`], [`ramp`], [`reconciliation`],
//!   [`ticket`] and [`token_budget`].
//! - Both: [`catalogue`] (bbv-mesh only uses its YAML reader, for settings), [`id`],
//!   [`poison`], [`rendezvous`] (bbv-mesh through [`readers`]) and [`units`].

pub mod admission;
pub mod attempt;
pub mod balancer;
pub mod body_budget;
pub mod catalogue;
pub mod chart;
mod cold;
pub mod documents;
pub mod fleet;
pub mod freshness;
pub mod gate;
pub mod history;
pub mod homes;
pub mod id;
pub mod index;
mod knee;
pub mod lag;
pub mod limit;
pub mod load;
pub mod operation;
pub mod organisation;
pub mod outage;
pub mod outcome;
pub mod pauses;
pub mod peer;
pub mod placement;
pub mod poison;
pub mod queue;
pub mod ramp;
pub mod readers;
pub mod reconciliation;
pub mod rendezvous;
pub mod restoration;
pub mod retry_budget;
pub mod revision;
pub mod route;
pub mod routing_change;
pub mod routing_page;
pub mod slow_period;
pub mod ticket;
pub mod token_budget;
pub mod units;
pub mod view;
