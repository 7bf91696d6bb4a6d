//! Crate `route`.
