//! What a link does with messages that are queued when it closes.

use std::time::Duration;

use link::LinkReceiver;
use link::LinkSender;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Number of messages, so many that the buffers of a connection cannot hold them.
const MESSAGE_COUNT: u32 = 160;
/// Size of each message, in bytes.
const MESSAGE_BYTES: usize = 64 * 1024;

type Message = (u32, Vec<u8>);

#[tokio::test]
async fn messages_queued_before_the_end_of_a_flush_arrive_although_the_link_closes() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (near, far) = tokio::join!(TcpStream::connect(address), listener.accept());
    let (sender, receiver): (LinkSender<Message>, LinkReceiver<Message>) =
        link::open(near.unwrap()).unwrap();
    for number in 0..MESSAGE_COUNT {
        assert!(sender.send(&(number, vec![0; MESSAGE_BYTES])));
    }
    let early = timeout(Duration::from_millis(50), sender.flushed()).await;
    assert!(early.is_err(), "nobody has read yet");
    let closing = tokio::spawn(async move {
        sender.flushed().await;
        drop(receiver);
    });
    let (_far_sender, mut far): (LinkSender<Message>, LinkReceiver<Message>) =
        link::open(far.unwrap().0).unwrap();
    for number in 0..MESSAGE_COUNT {
        assert_eq!(far.next().await.unwrap().0, number);
    }
    assert!(far.next().await.is_none());
    closing.await.unwrap();
}
