//! A relay for datagrams that can silently drop everything, as a cut network does.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use tokio::net::UdpSocket;
use tokio::sync::Mutex;

/// Largest datagram passed on, in bytes.
const DATAGRAM_BYTES: usize = 65_536;

/// Sockets towards the target, one for each sender.
type SenderSockets = Arc<Mutex<HashMap<SocketAddr, Arc<UdpSocket>>>>;

/// What a relay drops.
#[derive(Debug, Default)]
struct DropRules {
    everything: AtomicBool,
    senders: std::sync::Mutex<Vec<SocketAddr>>,
}

impl DropRules {
    fn drops(&self, sender: SocketAddr) -> bool {
        self.everything.load(Ordering::Relaxed) || self.senders().contains(&sender)
    }

    fn senders(&self) -> std::sync::MutexGuard<'_, Vec<SocketAddr>> {
        self.senders.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Passes datagrams between senders and one target, in both directions.
pub struct DatagramRelay {
    address: SocketAddr,
    cut: Arc<DropRules>,
    task: tokio::task::JoinHandle<()>,
}

impl DatagramRelay {
    /// Starts a relay to `target`, on any free port of the target's address.
    ///
    /// # Errors
    ///
    /// Fails when no socket can be bound.
    pub async fn start(target: SocketAddr) -> std::io::Result<Self> {
        let socket = Arc::new(UdpSocket::bind((target.ip(), 0)).await?);
        let address = socket.local_addr()?;
        let cut = Arc::<DropRules>::default();
        let task = tokio::spawn(pass_on(socket, target, Arc::clone(&cut)));
        Ok(Self { address, cut, task })
    }

    /// Returns the address that senders use in place of the target's.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Drops everything from now on.
    pub fn drop_all(&self) {
        self.cut.everything.store(true, Ordering::Relaxed);
    }

    /// Drops everything from and to one sender from now on.
    pub fn drop_sender(&self, sender: SocketAddr) {
        self.cut.senders().push(sender);
    }

    /// Passes everything on again.
    pub fn restore(&self) {
        self.cut.everything.store(false, Ordering::Relaxed);
        self.cut.senders().clear();
    }
}

impl Drop for DatagramRelay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn pass_on(socket: Arc<UdpSocket>, target: SocketAddr, cut: Arc<DropRules>) {
    let sockets = SenderSockets::default();
    let mut datagram = vec![0; DATAGRAM_BYTES];
    while let Ok((length, sender)) = socket.recv_from(&mut datagram).await {
        if cut.drops(sender) {
            continue;
        }
        let Ok(upstream) = upstream(&sockets, &socket, sender, target, &cut).await else {
            continue;
        };
        // A lost datagram is what a network does as well.
        let _ = upstream.send(&datagram[..length]).await;
    }
}

/// Returns the sender's socket towards the target, and passes its answers back.
async fn upstream(
    sockets: &SenderSockets,
    socket: &Arc<UdpSocket>,
    sender: SocketAddr,
    target: SocketAddr,
    cut: &Arc<DropRules>,
) -> std::io::Result<Arc<UdpSocket>> {
    let mut sockets = sockets.lock().await;
    if let Some(known) = sockets.get(&sender) {
        return Ok(Arc::clone(known));
    }
    let upstream = Arc::new(UdpSocket::bind((target.ip(), 0)).await?);
    upstream.connect(target).await?;
    sockets.insert(sender, Arc::clone(&upstream));
    let answers = Arc::clone(&upstream);
    let socket = Arc::clone(socket);
    let cut = Arc::clone(cut);
    tokio::spawn(async move {
        let mut datagram = vec![0; DATAGRAM_BYTES];
        while let Ok(length) = answers.recv(&mut datagram).await {
            if !cut.drops(sender) {
                let _ = socket.send_to(&datagram[..length], sender).await;
            }
        }
    });
    Ok(upstream)
}
