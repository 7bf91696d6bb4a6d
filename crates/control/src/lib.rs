//! Crate `control`.
