//! Transport between processes: TLS identities, QUIC, HTTP listeners and the tarpc services.

pub mod client;
pub mod codec;
pub mod error;
pub mod http;
pub mod identity;

pub mod peer;
pub mod quic;
pub mod role;
pub mod rpc;
pub mod service;
