//! Crate `ledger`.
