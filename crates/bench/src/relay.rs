//! A relay for datagrams that can silently drop them, as a network partition does.

use std::collections::HashMap;
use std::io::Error;
use std::io::ErrorKind;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use tokio::net::UdpSocket;
use tokio::sync::Mutex;

/// Largest datagram that is forwarded, in bytes.
const DATAGRAM_BYTES: usize = 65_536;

/// Address that the sockets of relays have; no process group listens there, so a relay never takes
/// a port that is reserved for one of its processes.
const RELAY_ADDRESS: Ipv4Addr = Ipv4Addr::LOCALHOST;

/// Sockets connected to the target, one per sender.
type SenderSockets = Arc<Mutex<HashMap<SocketAddr, Arc<UdpSocket>>>>;

/// Which datagrams a relay drops.
#[derive(Debug, Default)]
struct DropRules {
    all: AtomicBool,
    senders: std::sync::Mutex<Vec<SocketAddr>>,
}

impl DropRules {
    fn drops(&self, sender: SocketAddr) -> bool {
        self.all.load(Ordering::Relaxed) || self.senders().contains(&sender)
    }

    fn senders(&self) -> std::sync::MutexGuard<'_, Vec<SocketAddr>> {
        self.senders.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Forwards datagrams between senders and one target, in both directions.
pub struct DatagramRelay {
    address: SocketAddr,
    rules: Arc<DropRules>,
    task: tokio::task::JoinHandle<()>,
}

impl DatagramRelay {
    /// Starts a relay to `target`, on any free port of 127.0.0.1.
    ///
    /// # Errors
    ///
    /// Fails when no socket can be bound.
    pub async fn start(target: SocketAddr) -> std::io::Result<Self> {
        let socket = Arc::new(UdpSocket::bind((RELAY_ADDRESS, 0)).await?);
        let address = socket.local_addr()?;
        let rules = Arc::<DropRules>::default();
        let task = tokio::spawn(forward(socket, target, Arc::clone(&rules)));
        Ok(Self {
            address,
            rules,
            task,
        })
    }

    /// Returns the address that senders use in place of the target's.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Drops all datagrams from now on.
    pub fn drop_all(&self) {
        self.rules.all.store(true, Ordering::Relaxed);
    }

    /// Drops all datagrams from and to one sender from now on.
    pub fn drop_sender(&self, sender: SocketAddr) {
        self.rules.senders().push(sender);
    }

    /// Forwards all datagrams again.
    pub fn restore(&self) {
        self.rules.all.store(false, Ordering::Relaxed);
        self.rules.senders().clear();
    }
}

impl Drop for DatagramRelay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn forward(socket: Arc<UdpSocket>, target: SocketAddr, rules: Arc<DropRules>) {
    let sockets = SenderSockets::default();
    let mut datagram = vec![0; DATAGRAM_BYTES];
    loop {
        let (length, sender) = match socket.recv_from(&mut datagram).await {
            Ok(received) => received,
            Err(error) if is_passing(&error) => continue,
            Err(error) => {
                tracing::warn!(event = "relay-ended", %target, %error);
                return;
            }
        };
        if rules.drops(sender) {
            continue;
        }
        let Ok(upstream) = upstream(&sockets, &socket, sender, target, &rules).await else {
            continue;
        };
        // A network may lose datagrams as well.
        let _ = upstream.send(&datagram[..length]).await;
    }
}

/// Returns the sender's socket to the target, creating it if needed; a task forwards the
/// target's datagrams back to the sender.
async fn upstream(
    sockets: &SenderSockets,
    socket: &Arc<UdpSocket>,
    sender: SocketAddr,
    target: SocketAddr,
    rules: &Arc<DropRules>,
) -> std::io::Result<Arc<UdpSocket>> {
    let mut sockets = sockets.lock().await;
    if let Some(known) = sockets.get(&sender) {
        return Ok(Arc::clone(known));
    }
    let upstream = Arc::new(UdpSocket::bind((RELAY_ADDRESS, 0)).await?);
    upstream.connect(target).await?;
    sockets.insert(sender, Arc::clone(&upstream));
    let responses = Arc::clone(&upstream);
    let socket = Arc::clone(socket);
    let rules = Arc::clone(rules);
    tokio::spawn(async move {
        let mut datagram = vec![0; DATAGRAM_BYTES];
        loop {
            match responses.recv(&mut datagram).await {
                Ok(length) if !rules.drops(sender) => {
                    let _ = socket.send_to(&datagram[..length], sender).await;
                }
                Ok(_) => {}
                Err(error) if is_passing(&error) => {}
                Err(error) => {
                    tracing::warn!(event = "relay-ended", %target, %sender, %error);
                    return;
                }
            }
        }
    });
    Ok(upstream)
}

/// Returns whether an error tells of an earlier datagram only, which nobody listened for.
fn is_passing(error: &Error) -> bool {
    matches!(
        error.kind(),
        ErrorKind::ConnectionRefused | ErrorKind::ConnectionReset
    )
}
