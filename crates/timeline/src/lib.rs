//! Events of one process, stamped so that the merged time line keeps causes before effects.

mod hybrid_clock;
mod ring_buffer;

pub use hybrid_clock::HybridLogicalClock;
pub use hybrid_clock::HybridTimestamp;
pub use ring_buffer::EventField;
pub use ring_buffer::EventRecord;
pub use ring_buffer::EventRingBuffer;
