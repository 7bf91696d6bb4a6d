//! Fake node that sends calls to another node over a link.

use std::io;
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
/// Time that each call has until its deadline, unless set otherwise.
const TIME_LEFT: Duration = Duration::from_mins(1);

/// A link to a node that is under test.
#[derive(Debug)]
pub(crate) struct FakePeer {
    /// Time that each call has until its deadline.
    pub(crate) time_left: Duration,
    runtime: Runtime,
    sender: LinkSender<NodeMessage>,
    receiver: LinkReceiver<NodeMessage>,
}

impl FakePeer {
    pub(crate) fn connect(node: SocketAddr) -> Self {
        Self::try_connect(node).unwrap()
    }

    /// Opens a link; fails when it is refused.
    pub(crate) fn try_connect(node: SocketAddr) -> io::Result<Self> {
        // The thread answers pings while the test waits elsewhere.
        let threads = Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build();
        let runtime = threads.unwrap();
        let (sender, receiver) = runtime.block_on(async {
            let stream = link::connect(node, CONNECT_TIMEOUT).await?;
            link::open(stream)
        })?;
        Ok(Self {
            time_left: TIME_LEFT,
            runtime,
            sender,
            receiver,
        })
    }

    /// Sends an unsafe call to `service`; returns whether the link was open.
    pub(crate) fn send_call(&self, id: u64, attempt: &str, service: &str) -> bool {
        self.send_call_part(id, attempt, service, true)
    }

    /// Sends an unsafe call, whose body goes on unless this is its `last` part.
    pub(crate) fn send_call_part(&self, id: u64, attempt: &str, service: &str, last: bool) -> bool {
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
            time_left: self.time_left,
            team: None,
            caller_service: Arc::from("stock"),
        };
        self.sender.send(&NodeMessage::Call {
            id,
            head: Box::new(head),
            body: Bytes::new(),
            last,
        })
    }

    /// Returns the next message of the node, or `None` when it has closed the link.
    pub(crate) fn next(&mut self) -> Option<NodeMessage> {
        self.runtime.block_on(self.receiver.next())
    }
}
