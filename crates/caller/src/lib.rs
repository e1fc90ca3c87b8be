//! Library for callers.
