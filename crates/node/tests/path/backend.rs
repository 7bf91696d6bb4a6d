//! A fake backend server whose behaviour is selected by the request path.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc;

/// What the backend server observed.
#[derive(Debug)]
pub(crate) enum BackendEvent {
    /// A request: its head in lower case, followed by its body.
    Request(String),
    /// The node closed the connection of a request that was not answered.
    Disconnected,
}

pub(crate) struct TestBackend {
    pub(crate) address: SocketAddr,
    pub(crate) events: mpsc::UnboundedReceiver<BackendEvent>,
}

impl TestBackend {
    pub(crate) async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (sender, events) = mpsc::unbounded_channel();
        let crashing = Arc::new(AtomicBool::new(false));
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                // When a process dies, its listener may close after its connections.
                if crashing.load(Ordering::SeqCst) {
                    return;
                }
                tokio::spawn(serve(stream, sender.clone(), Arc::clone(&crashing)));
            }
        });
        Self { address, events }
    }

    /// Waits for the next request; panics when the node disconnects instead.
    pub(crate) async fn request(&mut self) -> String {
        match self.events.recv().await.unwrap() {
            BackendEvent::Request(text) => text,
            BackendEvent::Disconnected => panic!("the node disconnected"),
        }
    }
}

async fn serve(
    mut stream: TcpStream,
    events: mpsc::UnboundedSender<BackendEvent>,
    crashing: Arc<AtomicBool>,
) {
    while let Some(request) = read_request(&mut stream).await {
        let path = request.split(' ').nth(1).unwrap().to_owned();
        let _ = events.send(BackendEvent::Request(request));
        match path.rsplit('/').next().unwrap() {
            "hang" => {
                let mut rest = [0];
                let _ = stream.read(&mut rest).await;
                let _ = events.send(BackendEvent::Disconnected);
                return;
            }
            "crash" => {
                crashing.store(true, Ordering::SeqCst);
                return;
            }
            "truncate" => {
                let partial_response = b"HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nhalf";
                stream.write_all(partial_response).await.unwrap();
                return;
            }
            name if name.starts_with("status-") => {
                let status = &name["status-".len()..];
                let odd_response =
                    format!("HTTP/1.1 {status} Trouble\r\ncontent-length: 3\r\n\r\nodd");
                stream.write_all(odd_response.as_bytes()).await.unwrap();
            }
            _ => {
                let full_response = b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\
                    ragwortplank-verdict: not-run\r\nragwortplank-context: forged\r\n\
                    ragwortplank-failure: forged\r\nragwortplank-feedback: forged\r\n\r\nwhole";
                stream.write_all(full_response).await.unwrap();
            }
        }
    }
}

async fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut text = String::new();
    while !text.contains("\r\n\r\n") {
        text.push(char::from(
            stream.read_u8().await.ok()?.to_ascii_lowercase(),
        ));
    }
    let length = text.split("content-length: ").nth(1);
    let length = length.and_then(|rest| rest.lines().next()?.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    stream.read_exact(&mut body).await.ok()?;
    text.push_str(&String::from_utf8_lossy(&body));
    Some(text)
}
