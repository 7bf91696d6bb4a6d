//! Identities that name their address, so that no address book is needed.

use std::net::IpAddr;
use std::net::Ipv4Addr;

use model::ids::InstanceId;

/// Bits of an identity that tell apart the folders which one address had.
const FOLDER_BITS: u32 = 32;

/// Returns the identity of a folder at an address; first members have folder 0.
#[must_use]
pub fn instance_at(address: IpAddr, folder: u32) -> InstanceId {
    let ip = match address {
        IpAddr::V4(ip) => ip.to_bits(),
        IpAddr::V6(ip) => ip.to_ipv4().map_or(0, Ipv4Addr::to_bits),
    };
    (u64::from(ip) << FOLDER_BITS) | u64::from(folder)
}

/// Returns the address that an identity names.
#[must_use]
pub fn instance_ip(instance: InstanceId) -> IpAddr {
    let bits = u32::try_from(instance >> FOLDER_BITS).unwrap_or(0);
    IpAddr::V4(Ipv4Addr::from_bits(bits))
}
