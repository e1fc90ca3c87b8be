//! Library for callers: tickets, deadlines and receipts over plain HTTP.

mod call;
mod client;
mod outcome;

pub use call::Call;
pub use client::{CallError, Client};
pub use outcome::{Ending, Outcome};
