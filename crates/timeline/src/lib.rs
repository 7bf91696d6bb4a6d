//! Events of one process, stamped so that the merged time line keeps causes before effects.

mod ring;
mod stamp;

pub use ring::EventField;
pub use ring::EventRecord;
pub use ring::EventRing;
pub use stamp::EventStamp;
pub use stamp::StampClock;
