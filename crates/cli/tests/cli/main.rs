//! The command-line tool against files, and against stand-ins of control instances.

mod arguments;
mod changes;
mod fake_control;
mod files;
mod keys;
mod processes;
mod support;
