//! Changes and disks of a control group of real processes, on loopback addresses.

mod answers;
mod control_group;
mod gone_voter;
#[path = "../fleet/http.rs"]
mod http;
mod losses;
