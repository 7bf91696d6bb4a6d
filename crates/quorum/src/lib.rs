//! Crate `quorum`.
