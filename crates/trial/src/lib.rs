//! Stand-ins, load generation and trials for bluebellvale.
//!
//! A trial runs the real node code over in-memory links and a paused clock, with stand-ins for
//! the platform, the upstreams and the callers. The same seed gives the same report.

pub mod callers;
pub mod certs;
pub mod cluster;
pub mod environment;
pub mod fault;
pub mod http;
pub mod links;
pub mod load;
pub mod member;
pub mod model;
pub mod observer;
pub mod plan;
pub mod platform;
pub mod policy;
pub mod report;
pub mod simulation;
