//! Transport between processes: identities, TLS, QUIC and the tarpc services.

pub mod service;
