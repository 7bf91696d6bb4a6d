//! Instance identities that contain the IP address, so that no lookup table is needed.

use std::net::IpAddr;
use std::net::Ipv4Addr;

use model::ids::InstanceId;

/// Bits of an identity that distinguish the data directories used at one address.
const DIRECTORY_ID_BITS: u32 = 32;

/// Returns the identity of the instance with a data directory at an address.
///
/// Initial members have directory identifier 0.
#[must_use]
pub fn instance_id(address: IpAddr, directory_id: u32) -> InstanceId {
    let ip = match address {
        IpAddr::V4(ip) => ip.to_bits(),
        IpAddr::V6(ip) => ip.to_ipv4().map_or(0, Ipv4Addr::to_bits),
    };
    (u64::from(ip) << DIRECTORY_ID_BITS) | u64::from(directory_id)
}

/// Returns the address that an identity contains.
#[must_use]
pub fn instance_ip(instance: InstanceId) -> IpAddr {
    let bits = u32::try_from(instance >> DIRECTORY_ID_BITS).unwrap_or(0);
    IpAddr::V4(Ipv4Addr::from_bits(bits))
}
