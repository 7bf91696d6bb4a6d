//! Process groups.
