//! Crate `bench`.
