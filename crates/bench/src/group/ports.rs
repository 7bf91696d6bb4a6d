//! Free ports on a loopback address that no other group uses.

use std::collections::HashSet;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

/// Groups that this process has created so far.
static GROUPS: AtomicU32 = AtomicU32::new(0);
/// Groups that one process can create before addresses repeat.
const GROUPS_MAX: u32 = 64;
/// Attempts to find a port that was not handed out before.
const TRIES_MAX: u32 = 64;

/// Hands out ports of one loopback address.
///
/// Outgoing connections come from 127.0.0.1, so on any other address of
/// 127.0.0.0/8 a port stays free between its reservation and its use.
///
/// The pool remembers the ports that it handed out, because the system offers a
/// port again until a process binds it. Clones share this memory.
#[derive(Clone, Debug)]
pub struct PortPool {
    address: Ipv4Addr,
    taken: Arc<Mutex<HashSet<SocketAddr>>>,
}

impl PortPool {
    /// Creates a pool with a separate address for a new group.
    #[must_use]
    pub fn new() -> Self {
        let group = GROUPS.fetch_add(1, Ordering::Relaxed) % GROUPS_MAX;
        let number = std::process::id().wrapping_mul(GROUPS_MAX) + group;
        let [_, second, third, fourth] = number.to_be_bytes();
        let address = Ipv4Addr::new(127, 1 | second, third, fourth.clamp(1, 254));
        Self {
            address,
            taken: Arc::default(),
        }
    }

    /// Returns the address of the group.
    #[must_use]
    pub fn address(&self) -> IpAddr {
        IpAddr::V4(self.address)
    }

    /// Reserves a TCP port.
    ///
    /// # Errors
    ///
    /// Fails when the address has no free port.
    pub fn tcp(&self) -> std::io::Result<SocketAddr> {
        self.reserve(|| TcpListener::bind((self.address, 0))?.local_addr())
    }

    /// Reserves a UDP port.
    ///
    /// # Errors
    ///
    /// Fails when the address has no free port.
    pub fn udp(&self) -> std::io::Result<SocketAddr> {
        self.reserve(|| UdpSocket::bind((self.address, 0))?.local_addr())
    }

    fn reserve(
        &self,
        find: impl Fn() -> std::io::Result<SocketAddr>,
    ) -> std::io::Result<SocketAddr> {
        let mut taken = self.taken.lock().unwrap_or_else(PoisonError::into_inner);
        for _ in 0..TRIES_MAX {
            let found = find()?;
            if taken.insert(found) {
                return Ok(found);
            }
        }
        Err(std::io::Error::from(std::io::ErrorKind::AddrInUse))
    }
}

impl Default for PortPool {
    fn default() -> Self {
        Self::new()
    }
}
