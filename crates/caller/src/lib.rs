//! Library that callers embed to make calls through nodes. It handles tickets, deadlines and
//! receipts over plain HTTP.

mod call;
mod client;
mod outcome;

pub use call::Call;
pub use client::{CallError, Client};
pub use outcome::{Ending, Outcome};
