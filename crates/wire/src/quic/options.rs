//! Transport options of QUIC connections.

use std::sync::Arc;
use std::time::Duration;

use quinn::TransportConfig;
use quinn::VarInt;

/// Time after which a connection without received packets counts as lost, in milliseconds.
const IDLE_TIMEOUT_MS: u32 = 1_500;
/// Interval of keep-alive packets on an idle connection, in milliseconds; longer than the
/// period of the exchange between nodes and control, whose connections then need none.
const KEEP_ALIVE_MS: u64 = 700;
/// Round-trip time assumed before the first measurement, in milliseconds; sets the first probe
/// timeouts.
const INITIAL_RTT_MS: u64 = 10;

/// Keep-alive, idle timeout and stream limit of a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QuicOptions {
    /// Interval of keep-alive packets; `None` sends none.
    pub keep_alive_interval: Option<Duration>,
    /// Time after which a connection without received packets counts as lost, in milliseconds.
    pub idle_timeout_ms: u32,
    /// Largest number of streams that a peer may have open at once.
    pub max_streams: u32,
}

impl Default for QuicOptions {
    fn default() -> Self {
        Self {
            keep_alive_interval: Some(Duration::from_millis(KEEP_ALIVE_MS)),
            idle_timeout_ms: IDLE_TIMEOUT_MS,
            max_streams: 1_024,
        }
    }
}

impl QuicOptions {
    pub(super) fn transport(self) -> Arc<TransportConfig> {
        let mut config = TransportConfig::default();
        config
            .keep_alive_interval(self.keep_alive_interval)
            .max_idle_timeout(Some(VarInt::from_u32(self.idle_timeout_ms).into()))
            .max_concurrent_bidi_streams(VarInt::from_u32(self.max_streams))
            .max_concurrent_uni_streams(VarInt::from_u32(0))
            .datagram_receive_buffer_size(None)
            .initial_rtt(Duration::from_millis(INITIAL_RTT_MS));
        Arc::new(config)
    }
}
