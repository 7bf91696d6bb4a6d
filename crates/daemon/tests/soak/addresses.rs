//! Loopback addresses of a deployment, reserved for as long as it exists.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::os::linux::net::SocketAddrExt;
use std::os::unix::net::SocketAddr as NameAddr;
use std::os::unix::net::UnixListener;

use crate::random::SeededRandom;

/// Number of ports that a deployment uses, the same at each address.
const PORT_COUNT: u16 = 8;
/// Ports to choose from; the system gives none of them to outgoing connections.
const FIRST_PORT: u64 = 12_000;
const LAST_PORT: u64 = 30_000;
/// Last byte of the address that holds the reservation.
const RESERVATION_BYTE: u8 = 1;

/// A subnet and a range of ports that no other deployment of this machine's soaks uses.
#[derive(Debug)]
pub(crate) struct ReservedSubnet {
    subnet: (u8, u8),
    first_port: u16,
    /// A name that only one process can hold, and listeners that keep others from binding the
    /// ports at all addresses.
    _held: (UnixListener, Vec<TcpListener>),
}

impl ReservedSubnet {
    /// Reserves a free subnet; its second byte is even, those of other tests' deployments are odd.
    pub(crate) fn take() -> Self {
        let mut random = SeededRandom::new(rand::random());
        loop {
            if let Some(reserved) = Self::try_take(&mut random) {
                return reserved;
            }
        }
    }

    fn try_take(random: &mut SeededRandom) -> Option<Self> {
        let subnet = (2 + 2 * random.number(126), random.number(255));
        let name = format!("ragwortplank-soak-{}-{}", subnet.0, subnet.1);
        let name = NameAddr::from_abstract_name(name).ok()?;
        let name = UnixListener::bind_addr(&name).ok()?;
        let first_port = u16::try_from(random.between(FIRST_PORT, LAST_PORT)).ok()?;
        let ip = Ipv4Addr::new(127, subnet.0, subnet.1, RESERVATION_BYTE);
        let ports = first_port..first_port + PORT_COUNT;
        let listeners: Result<_, _> = ports.map(|port| TcpListener::bind((ip, port))).collect();
        Some(Self {
            subnet,
            first_port,
            _held: (name, listeners.ok()?),
        })
    }

    /// Returns the address with this last byte and the port at this offset.
    pub(crate) fn address(&self, last: u8, port: u16) -> SocketAddr {
        let ip = Ipv4Addr::new(127, self.subnet.0, self.subnet.1, last);
        SocketAddr::new(IpAddr::V4(ip), self.first_port + port)
    }
}
