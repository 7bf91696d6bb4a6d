//! What a listener does when its process is out of descriptors.

use std::time::Duration;

use rustix::process::Resource;
use rustix::process::Rlimit;
use rustix::process::getrlimit;
use rustix::process::setrlimit;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::timeout;

#[tokio::test]
async fn a_listener_out_of_descriptors_accepts_again_once_there_are_some() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let _client = TcpStream::connect(listener.local_addr().unwrap())
        .await
        .unwrap();
    let limit = getrlimit(Resource::Nofile);
    let none = Rlimit {
        current: Some(0),
        maximum: limit.maximum,
    };
    setrlimit(Resource::Nofile, none).unwrap();
    let refused = listener.accept().await;
    let waited = timeout(
        Duration::from_millis(50),
        link::accept(&listener, "callers"),
    )
    .await;
    setrlimit(Resource::Nofile, limit).unwrap();
    assert!(refused.is_err());
    assert!(waited.is_err());
    link::accept(&listener, "callers").await;
}
