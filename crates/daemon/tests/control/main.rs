//! Changes and disks of a control group of real processes, on loopback addresses.

mod control_group;
#[path = "../fleet/http.rs"]
mod http;
mod losses;
