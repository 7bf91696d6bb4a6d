//! Crate `limit`.
