//! The request path of one node against bad input, beside a fake control instance.

#[path = "../../../wire/tests/common/authority.rs"]
mod authority;
mod backend;
mod caller;
mod control;
mod crash;
mod heads;
mod lease;
mod parents;
mod setup;
