//! Relays stay whole beside targets that start late, and take no port of a process group.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use bench::group::PortPool;
use bench::relay::DatagramRelay;
use tokio::net::UdpSocket;
use tokio::time::interval;
use tokio::time::timeout;

/// Longest wait for a datagram on loopback before it counts as lost, in seconds.
const LOST_AFTER_S: u64 = 10;
/// Interval between two attempts to send a datagram, in milliseconds.
const RESEND_INTERVAL_MS: u64 = 20;

async fn receive(socket: &UdpSocket) -> (String, SocketAddr) {
    let mut datagram = [0; 64];
    let received = socket.recv_from(&mut datagram);
    let received = timeout(Duration::from_secs(LOST_AFTER_S), received).await;
    let (length, sender) = received.expect("in time").expect("a datagram");
    let text = String::from_utf8_lossy(&datagram[..length]);
    (text.into_owned(), sender)
}

/// Binds a sender's socket, at the address that outgoing connections have.
async fn sender() -> UdpSocket {
    let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await;
    socket.expect("a socket")
}

/// Sends `text` again and again, as QUIC does, until `target` gets its first datagram, which is
/// returned.
async fn first_received(
    sender: &UdpSocket,
    relay: &DatagramRelay,
    target: &UdpSocket,
    text: &str,
) -> (String, SocketAddr) {
    let mut resend = interval(Duration::from_millis(RESEND_INTERVAL_MS));
    let received = receive(target);
    tokio::pin!(received);
    loop {
        tokio::select! {
            received = &mut received => return received,
            _ = resend.tick() => {
                sender.send_to(text.as_bytes(), relay.address()).await.expect("sent");
            }
        }
    }
}

/// Returns a target that has started after the relay had tried to reach it, and the address from
/// which the relay reaches it.
async fn late_target(
    sender: &UdpSocket,
    relay: &DatagramRelay,
    address: SocketAddr,
) -> (UdpSocket, SocketAddr) {
    loop {
        sender
            .send_to(b"early", relay.address())
            .await
            .expect("sent");
        tokio::time::sleep(Duration::from_millis(RESEND_INTERVAL_MS)).await;
        let target = UdpSocket::bind(address).await.expect("a target");
        let (text, upstream) = first_received(sender, relay, &target, "late").await;
        // Otherwise the target was there before the relay forwarded the first datagram.
        if text == "late" {
            return (target, upstream);
        }
    }
}

#[tokio::test]
async fn answers_of_a_target_that_starts_after_the_first_datagram_are_forwarded() {
    let address = PortPool::new().udp().expect("a port");
    let relay = DatagramRelay::start(address).await.expect("a relay");
    let sender = sender().await;
    let (target, upstream) = late_target(&sender, &relay, address).await;
    target.send_to(b"answer", upstream).await.expect("sent");
    assert_eq!(receive(&sender).await.0, "answer");
}

#[tokio::test]
async fn a_relay_takes_no_port_of_the_address_of_its_target() {
    let target_address = PortPool::new().udp().expect("a port");
    let target = UdpSocket::bind(target_address).await.expect("a target");
    let relay = DatagramRelay::start(target_address).await.expect("a relay");
    let sender = sender().await;
    sender
        .send_to(b"call", relay.address())
        .await
        .expect("sent");
    let (_, upstream) = receive(&target).await;
    assert_ne!(relay.address().ip(), target_address.ip());
    assert_ne!(upstream.ip(), target_address.ip());
}
