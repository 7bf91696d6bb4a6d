//! Checks of configurations: each kind of finding, the differences, and agreement with control.

mod agreement;
mod differences;
mod findings;
mod support;
