//! Programs for operators.
