//! Programs for operators: nothing here writes; operators act by changing the catalogue.

pub mod fetch;
pub mod output;
pub mod story;
