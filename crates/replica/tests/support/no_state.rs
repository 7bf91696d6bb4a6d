//! State machine for tests that apply nothing.

use replica::LogIndex;
use replica::StateMachine;

/// State machine without a state.
pub(crate) struct NoState;

impl StateMachine for NoState {
    type Output = ();

    fn apply(&mut self, _index: LogIndex, _entry: &[u8]) {}

    fn snapshot(&self) -> Vec<u8> {
        Vec::new()
    }

    fn restore(&mut self, _snapshot: &[u8]) -> anyhow::Result<()> {
        Ok(())
    }
}
