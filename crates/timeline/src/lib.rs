//! Recent events of one process, with hybrid logical timestamps that order a cause before its
//! effects when the events of several processes are merged.

mod hybrid_clock;
mod ring_buffer;

pub use hybrid_clock::HybridLogicalClock;
pub use hybrid_clock::HybridTimestamp;
pub use ring_buffer::EventField;
pub use ring_buffer::EventRecord;
pub use ring_buffer::EventRingBuffer;
