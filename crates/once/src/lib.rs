//! Crate `once`.
