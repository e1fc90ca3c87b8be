//! Decision logic of the bluebellvale load balancer.
//!
//! Every part is a plain struct that takes time and randomness as arguments and returns its
//! decisions as values. Nothing here performs I/O, reads a clock or locks.
//!
//! Two programs use this crate, and most modules serve only one of them:
//!
//! - bbv-mesh: [`admission`] (with the private modules `cold` and `knee`), [`body_budget`],
//!   [`bucket`], [`claims`], [`credential`], [`distance`], [`freshness`], [`granter`],
//!   [`history`], [`homes`], [`index`], [`lag`], [`open_runs`], [`organisation`], [`outage`], [`peer`],
//!   [`pipeline`], [`placement`], [`readers`], [`region_choice`], [`region_watch`],
//!   [`restoration`], [`retry_budget`], [`revision`], [`route`], [`routing_change`],
//!   [`routing_page`], [`shares`], [`slow_period`] and [`view`].
//! - bbv-node: [`attempt`], [`balancer`], [`chart`], [`documents`], [`fleet`], [`gate`],
//!   [`limit`], [`load`], [`operation`], [`outcome`], [`queue`], [`ramp`], [`reconciliation`],
//!   [`ticket`] and [`token_budget`].
//! - Both: [`catalogue`] (bbv-mesh only uses its YAML reader, for settings), [`id`],
//!   [`poison`], [`rendezvous`] (bbv-mesh through [`readers`]) and [`units`].

pub mod admission;
pub mod attempt;
pub mod balancer;
pub mod body_budget;
pub mod bucket;
pub mod catalogue;
pub mod chart;
pub mod claims;
mod cold;
pub mod credential;
pub mod demand;
pub mod distance;
pub mod documents;
pub mod fleet;
pub mod freshness;
pub mod gate;
pub mod granter;
pub mod history;
pub mod homes;
pub mod id;
pub mod index;
mod knee;
pub mod lag;
pub mod limit;
pub mod load;
pub mod needs;
pub mod open_runs;
pub mod operation;
pub mod organisation;
pub mod outage;
pub mod outcome;
pub mod pauses;
pub mod peer;
pub mod pipeline;
pub mod placement;
pub mod poison;
pub mod queue;
pub mod ramp;
pub mod rank_shares;
pub mod readers;
pub mod reconciliation;
pub mod region_choice;
pub mod region_watch;
pub mod rendezvous;
pub mod restoration;
pub mod retry_budget;
pub mod revision;
pub mod room;
pub mod route;
pub mod routing_change;
pub mod routing_page;
pub mod shares;
pub mod shedding;
pub mod slow_period;
pub mod ticket;
pub mod token_budget;
pub mod units;
pub mod view;
