//! Library behind `bbvctl`, the operators' command line. It reads catalogues, configurations, nodes and
//! logs and changes nothing; operators change the system by publishing a catalogue or a configuration.

pub mod check;
pub mod explain;
pub mod fetch;
pub mod output;
