//! Tests of daemon processes beside faulty backend servers and odd input, on loopback addresses.

#[path = "../shared/addresses.rs"]
mod addresses;
mod ahead;
mod cluster;
mod cold;
mod cut_answers;
mod endless;
mod http;
mod kept_uploads;
mod odd_entries;
mod odd_statuses;
mod raw_server;
mod refusals;
mod stalled;
mod uploads_ahead;
#[path = "../shared/wait.rs"]
mod wait;
