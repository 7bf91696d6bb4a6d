//! Fake node that sends calls to another node over a link.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use fleet::CallHead;
use fleet::NodeMessage;
use link::LinkReceiver;
use link::LinkSender;
use model::context::CallRank;
use tokio::runtime::Builder;
use tokio::runtime::Runtime;

/// Timeout for connecting.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);
/// Time that each call has until its deadline.
const TIME_LEFT: Duration = Duration::from_mins(1);

/// A link to a node that is under test.
#[derive(Debug)]
pub(crate) struct FakePeer {
    runtime: Runtime,
    sender: LinkSender<NodeMessage>,
    receiver: LinkReceiver<NodeMessage>,
}

impl FakePeer {
    pub(crate) fn connect(node: SocketAddr) -> Self {
        // The thread answers pings while the test waits elsewhere.
        let threads = Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build();
        let runtime = threads.unwrap();
        let (sender, receiver) = runtime.block_on(async {
            let stream = link::connect(node, CONNECT_TIMEOUT).await.unwrap();
            link::open(stream).unwrap()
        });
        Self {
            runtime,
            sender,
            receiver,
        }
    }

    /// Sends an unsafe call to `service`; returns whether the link was open.
    pub(crate) fn send_call(&self, id: u64, attempt: &str, service: &str) -> bool {
        let head = CallHead {
            attempt: attempt.to_owned(),
            method: "POST".to_owned(),
            path: format!("/{service}/1"),
            headers: Vec::new(),
            route: Arc::from(service),
            service: Arc::from(service),
            idempotent: false,
            repeated: false,
            rank: CallRank::MAX,
            time_left: TIME_LEFT,
            team: None,
            caller_service: Arc::from("stock"),
        };
        self.sender.send(&NodeMessage::Call {
            id,
            head: Box::new(head),
            body: Bytes::new(),
            last: true,
        })
    }

    /// Returns the next message of the node, or `None` when it has closed the link.
    pub(crate) fn next(&mut self) -> Option<NodeMessage> {
        self.runtime.block_on(self.receiver.next())
    }
}
