//! End-to-end tests with daemon processes, started as the platform starts them, on loopback
//! addresses.

mod deployment;
mod http;
mod journeys;
mod kept_connection;
mod peer;
mod server;
mod stop;
