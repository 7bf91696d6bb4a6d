//! Odd announcements.
