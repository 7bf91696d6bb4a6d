//! Traffic counters of a connection.

use quinn::ConnectionStats;

/// Traffic of one connection, in UDP payload bytes and datagrams.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ConnectionTraffic {
    /// Bytes sent.
    pub sent_bytes: u64,
    /// Datagrams sent.
    pub sent_datagrams: u64,
    /// Bytes received.
    pub received_bytes: u64,
    /// Datagrams received.
    pub received_datagrams: u64,
}

impl From<&ConnectionStats> for ConnectionTraffic {
    fn from(stats: &ConnectionStats) -> Self {
        Self {
            sent_bytes: stats.udp_tx.bytes,
            sent_datagrams: stats.udp_tx.datagrams,
            received_bytes: stats.udp_rx.bytes,
            received_datagrams: stats.udp_rx.datagrams,
        }
    }
}
