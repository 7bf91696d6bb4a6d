//! Runs the command-line tool against files and fake control instances.

mod arguments;
mod changes;
mod config_check;
mod fake_control;
mod files;
mod keys;
mod processes;
mod support;
