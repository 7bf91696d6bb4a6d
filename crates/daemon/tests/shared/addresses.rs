//! Loopback addresses of a deployment, reserved for as long as it exists.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::os::linux::net::SocketAddrExt;
use std::os::unix::net::SocketAddr as NameAddr;
use std::os::unix::net::UnixListener;

/// Number of ports that a deployment uses, the same at each address.
const PORT_COUNT: u16 = 8;
/// Ports to choose from; the system gives none of them to outgoing connections.
const FIRST_PORT: u16 = 12_000;
const LAST_PORT: u16 = 30_000;
/// Last byte of the address that holds the reservation.
const RESERVATION_BYTE: u8 = 1;

/// A subnet and a range of ports that no other test's deployment on this machine uses.
#[derive(Debug)]
pub(crate) struct ReservedSubnet {
    subnet: (u8, u8),
    first_port: u16,
    /// A name that only one process can hold, and listeners that keep others from binding the
    /// ports at all addresses.
    _held: (UnixListener, Vec<TcpListener>),
}

impl ReservedSubnet {
    /// Reserves a free subnet.
    pub(crate) fn take() -> Self {
        loop {
            if let Some(reserved) = Self::try_take() {
                return reserved;
            }
        }
    }

    fn try_take() -> Option<Self> {
        let subnet = (rand::random_range(1..=u8::MAX), rand::random());
        let name = format!("ragwortplank-test-{}-{}", subnet.0, subnet.1);
        let name = NameAddr::from_abstract_name(name).ok()?;
        let name = UnixListener::bind_addr(&name).ok()?;
        let first_port = rand::random_range(FIRST_PORT..LAST_PORT);
        let ip = Ipv4Addr::new(127, subnet.0, subnet.1, RESERVATION_BYTE);
        let ports = first_port..first_port + PORT_COUNT;
        let listeners: Result<_, _> = ports.map(|port| TcpListener::bind((ip, port))).collect();
        Some(Self {
            subnet,
            first_port,
            _held: (name, listeners.ok()?),
        })
    }

    /// Returns the port at this offset, the same at each address.
    pub(crate) const fn port(&self, offset: u16) -> u16 {
        self.first_port + offset
    }

    /// Returns the address with this last byte and the port at this offset.
    pub(crate) fn address(&self, last: u8, port: u16) -> SocketAddr {
        let ip = Ipv4Addr::new(127, self.subnet.0, self.subnet.1, last);
        SocketAddr::new(IpAddr::V4(ip), self.port(port))
    }
}
