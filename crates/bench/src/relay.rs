//! A relay for datagrams that can silently drop everything, as a cut network does.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use tokio::net::UdpSocket;
use tokio::sync::Mutex;

/// Largest datagram passed on, in bytes.
const DATAGRAM_BYTES: usize = 65_536;

/// Sockets towards the target, one for each sender.
type SenderSockets = Arc<Mutex<HashMap<SocketAddr, Arc<UdpSocket>>>>;

/// Passes datagrams between senders and one target, in both directions.
pub struct DatagramRelay {
    address: SocketAddr,
    is_cut: Arc<AtomicBool>,
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
        let is_cut = Arc::new(AtomicBool::new(false));
        let task = tokio::spawn(pass_on(socket, target, Arc::clone(&is_cut)));
        Ok(Self {
            address,
            is_cut,
            task,
        })
    }

    /// Returns the address that senders use in place of the target's.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Drops everything from now on.
    pub fn cut(&self) {
        self.is_cut.store(true, Ordering::Relaxed);
    }

    /// Passes everything on again.
    pub fn heal(&self) {
        self.is_cut.store(false, Ordering::Relaxed);
    }
}

impl Drop for DatagramRelay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn pass_on(socket: Arc<UdpSocket>, target: SocketAddr, is_cut: Arc<AtomicBool>) {
    let sockets = SenderSockets::default();
    let mut datagram = vec![0; DATAGRAM_BYTES];
    while let Ok((length, sender)) = socket.recv_from(&mut datagram).await {
        if is_cut.load(Ordering::Relaxed) {
            continue;
        }
        let Ok(upstream) = upstream(&sockets, &socket, sender, target, &is_cut).await else {
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
    is_cut: &Arc<AtomicBool>,
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
    let is_cut = Arc::clone(is_cut);
    tokio::spawn(async move {
        let mut datagram = vec![0; DATAGRAM_BYTES];
        while let Ok(length) = answers.recv(&mut datagram).await {
            if !is_cut.load(Ordering::Relaxed) {
                let _ = socket.send_to(&datagram[..length], sender).await;
            }
        }
    });
    Ok(upstream)
}
