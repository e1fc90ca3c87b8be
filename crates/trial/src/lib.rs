//! Stand-ins, load and trials for bluebellvale.
//!
//! A trial runs the real node code over in-memory links under a paused clock, with
//! small fakes of the platform, the upstreams and the callers at the interfaces.

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
