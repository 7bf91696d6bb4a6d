//! Crate `node`.
