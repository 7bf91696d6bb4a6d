//! End-to-end tests with daemon processes, started as the platform starts them, on loopback
//! addresses.

#[path = "../shared/addresses.rs"]
mod addresses;
mod crashes;
mod departures;
mod deployment;
mod evacuations;
mod http;
mod journeys;
mod kept_connection;
mod leader_loss;
mod pace;
mod paused;
mod peer;
mod review;
mod server;
mod stop;
mod traffic;
#[path = "../shared/wait.rs"]
mod wait;
