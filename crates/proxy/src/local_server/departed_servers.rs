//! Backend servers that left before they were known.

use std::collections::VecDeque;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use fleet::ServerName;

/// Most servers that are remembered.
const MAX_DEPARTED_SERVERS: usize = 64;

/// A backend server that left.
#[derive(Debug)]
struct DepartedServer {
    server: ServerName,
    left_at: Instant,
    /// When it left last, in Unix milliseconds, to compare with the start of its process.
    left_at_ms: u128,
}

/// The backend servers that left while this node did not know them, oldest first.
#[derive(Debug, Default)]
pub(super) struct DepartedServers {
    servers: VecDeque<DepartedServer>,
}

impl DepartedServers {
    /// Notes that `server` left.
    pub(super) fn insert(&mut self, server: &ServerName, now: Instant, wall: SystemTime) {
        // A clock before 1970 makes every start a later one, as if nothing were remembered.
        let left_at_ms = wall
            .duration_since(UNIX_EPOCH)
            .map_or(0, |since| since.as_millis());
        let known = self
            .servers
            .iter_mut()
            .find(|known| known.server == *server);
        if let Some(known) = known {
            known.left_at_ms = left_at_ms;
            return;
        }
        if self.servers.len() >= MAX_DEPARTED_SERVERS {
            self.servers.pop_front();
        }
        self.servers.push_back(DepartedServer {
            server: server.clone(),
            left_at: now,
            left_at_ms,
        });
    }

    /// Returns when `server` left, unless its process was started after that.
    pub(super) fn left_at(&self, server: &ServerName, started_at_ms: u64) -> Option<Instant> {
        let known = self.servers.iter().find(|known| known.server == *server)?;
        (u128::from(started_at_ms) <= known.left_at_ms).then_some(known.left_at)
    }
}
