//! Crate `admit`.
