//! How connections behave.

use std::sync::Arc;
use std::time::Duration;

use quinn::TransportConfig;
use quinn::VarInt;

/// Time after which a silent connection counts as cut, in milliseconds.
const IDLE_TIMEOUT_MS: u32 = 1_500;
/// Interval of keep-alives on an idle connection, in milliseconds; longer than the
/// period of the exchange, which then needs none.
const KEEP_ALIVE_MS: u64 = 700;
/// First guess of the round trip, in milliseconds; decides the first probes.
const INITIAL_RTT_MS: u64 = 10;
/// How a connection behaves when it is silent, and how many streams it allows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QuicOptions {
    /// Interval of keep-alives; none leaves it to the traffic.
    pub keep_alive_interval: Option<Duration>,
    /// Time after which a silent connection counts as cut.
    pub idle_timeout_ms: u32,
    /// Streams that a peer may have open at once.
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
