//! Plan of a group: its processes and their listeners.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use crate::group::PortPool;

/// Processes of a group.
#[derive(Clone, Debug)]
pub struct GroupPlan {
    /// Control instances.
    pub controls: Vec<ControlPlan>,
    /// Nodes with their backend servers.
    pub nodes: Vec<NodePlan>,
    /// Source of further ports.
    pub ports: PortPool,
}

/// One control instance.
#[derive(Clone, Debug)]
pub struct ControlPlan {
    /// Name of the process.
    pub name: String,
    /// Instance id in the group.
    pub instance: u64,
    /// UDP address for nodes and peers.
    pub quic: SocketAddr,
    /// Listener for operators.
    pub admin: SocketAddr,
    /// Address that the other instances use for it, if it is not its own, such as
    /// that of a relay.
    pub relay: Option<SocketAddr>,
}

/// One node.
#[derive(Clone, Debug)]
pub struct NodePlan {
    /// Name of the process.
    pub name: String,
    /// Data centre.
    pub data_centre: String,
    /// Listener for callers.
    pub callers: SocketAddr,
    /// Listener for other nodes.
    pub peers: SocketAddr,
    /// Listener for the backend server.
    pub local: SocketAddr,
    /// Listener for operators.
    pub admin: SocketAddr,
    /// The backend server beside it.
    pub server: ServerPlan,
    /// Addresses of the control instances in this node's settings, if they are not the
    /// instances' own, such as those of relays.
    pub control_addresses: Option<Vec<SocketAddr>>,
}

/// One stub backend server.
#[derive(Clone, Debug)]
pub struct ServerPlan {
    /// Service that it announces.
    pub service: String,
    /// Requests that it runs concurrently.
    pub slots: usize,
    /// Duration of a request.
    pub delay: Duration,
    /// Time for which it reports that it is starting.
    pub warm_up: Duration,
    /// Paths that it calls through its node for each request.
    pub calls: Vec<String>,
    /// Its listener.
    pub listen: SocketAddr,
}

impl GroupPlan {
    /// Plans a group with this many control instances and no nodes.
    ///
    /// # Errors
    ///
    /// Fails when there are no free ports.
    pub fn new(controls: u64) -> std::io::Result<Self> {
        let ports = PortPool::new();
        let mut plans = Vec::new();
        for instance in 1..=controls {
            plans.push(ControlPlan {
                name: format!("control-{instance}"),
                instance,
                quic: ports.udp()?,
                admin: ports.tcp()?,
                relay: None,
            });
        }
        Ok(Self {
            controls: plans,
            nodes: Vec::new(),
            ports,
        })
    }

    /// Adds nodes with backend servers of one service.
    ///
    /// # Errors
    ///
    /// Fails when there are no free ports.
    pub fn service(
        mut self,
        service: &str,
        count: usize,
        delay: Duration,
        calls: &[&str],
    ) -> std::io::Result<Self> {
        for number in 1..=count {
            let node = NodePlan {
                name: format!("{service}-{number}"),
                data_centre: format!("dc-{number}"),
                callers: self.ports.tcp()?,
                peers: self.ports.tcp()?,
                local: self.ports.tcp()?,
                admin: self.ports.tcp()?,
                server: ServerPlan {
                    service: service.to_owned(),
                    slots: 16,
                    delay,
                    warm_up: Duration::ZERO,
                    calls: calls.iter().map(|call| (*call).to_owned()).collect(),
                    listen: self.ports.tcp()?,
                },
                control_addresses: None,
            };
            self.nodes.push(node);
        }
        Ok(self)
    }
}

impl ServerPlan {
    /// Returns the arguments of the `standin` program.
    #[must_use]
    pub fn arguments(&self, node: &NodePlan, journals: &Path) -> Vec<String> {
        let journal = journals.join(format!("{}.journal", node.name));
        let mut arguments = Vec::new();
        let mut add = |name: &str, value: String| {
            arguments.push(format!("--{name}"));
            arguments.push(value);
        };
        add("service", self.service.clone());
        add("listen", self.listen.to_string());
        add("node", node.local.to_string());
        add("journal", journal.display().to_string());
        add("slots", self.slots.to_string());
        add("delay-ms", self.delay.as_millis().to_string());
        add("warm-up-ms", self.warm_up.as_millis().to_string());
        for call in &self.calls {
            add("call", call.clone());
        }
        arguments
    }
}
