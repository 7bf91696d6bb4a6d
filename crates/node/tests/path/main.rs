//! Tests the request path of a single node against bad input and faults, with a fake
//! control instance and backend server.

#[path = "../../../wire/tests/common/authority.rs"]
mod authority;
mod backend;
mod bad_input;
mod caller;
mod control;
mod crash;
mod lease;
mod setup;
mod sub_calls;
