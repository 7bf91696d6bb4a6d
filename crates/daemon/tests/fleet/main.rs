//! The real daemons as the platform would run them, on loopback addresses of their own.

mod deployment;
mod http;
mod journeys;
mod server;
