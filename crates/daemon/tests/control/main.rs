//! Changes and disks of a control group of real processes, on loopback addresses.

#[path = "../shared/addresses.rs"]
mod addresses;
mod answers;
mod config_check;
mod control_group;
mod expelled;
mod full_disks;
mod gone_voter;
#[path = "../fleet/http.rs"]
mod http;
mod losses;
#[path = "../shared/wait.rs"]
mod wait;
