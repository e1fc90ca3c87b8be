//! Library behind `bbvctl`, the operators' command line. It reads catalogues, nodes and logs and
//! changes nothing; operators change the system by publishing a catalogue.

pub mod explain;
pub mod fetch;
pub mod output;
