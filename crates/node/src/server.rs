//! State of the local backend server, from its announcements.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use clock::Clock;
use model::announce::ServerAnnouncement;
use model::exchange::ServerState;
use model::ids::ServiceName;

/// Time without an announcement after which the backend server counts as absent, in milliseconds.
const ANNOUNCEMENT_TIMEOUT_MS: u64 = 3_000;

/// Time until every node knows that a backend server is draining, in milliseconds.
const DRAIN_PROPAGATION_MS: u64 = 1_500;

/// The last announcement, and what was observed since.
#[derive(Clone, Debug)]
struct AnnouncedServer {
    announcement: ServerAnnouncement,
    announced_at: Instant,
    draining_since: Option<Instant>,
    crashed: bool,
}

/// Tracks whether the local backend server is running and accepts calls.
#[derive(Debug)]
pub(crate) struct ServerTracker<C> {
    clock: C,
    server: Mutex<Option<AnnouncedServer>>,
}

/// The backend server's address, service and state.
#[derive(Clone, Debug)]
pub(crate) struct ServerTarget {
    /// Service that it provides.
    pub service: ServiceName,
    /// Address at which it accepts calls.
    pub address: SocketAddr,
    /// State that it announced.
    pub state: ServerState,
    /// Number of concurrent requests that it announced.
    pub slots: u32,
}

impl<C: Clock> ServerTracker<C> {
    /// Creates a tracker without an announcement.
    pub(crate) fn new(clock: C) -> Self {
        Self {
            clock,
            server: Mutex::new(None),
        }
    }

    /// Records an announcement; returns whether the state changed.
    pub(crate) fn record_announcement(&self, announcement: ServerAnnouncement) -> bool {
        let previous_state = self.state();
        let now = self.clock.now();
        let mut server = self.lock();
        let draining_since = server.as_ref().and_then(|server| server.draining_since);
        let is_draining = announcement.state == ServerState::Draining;
        *server = Some(AnnouncedServer {
            announcement,
            announced_at: now,
            draining_since: is_draining.then_some(draining_since.unwrap_or(now)),
            crashed: false,
        });
        drop(server);
        self.state() != previous_state
    }

    /// Records that the backend server at `address` crashed.
    ///
    /// Returns false when that was known already, or when a backend server at another
    /// address has announced itself since.
    pub(crate) fn mark_crashed(&self, address: SocketAddr) -> bool {
        match self.lock().as_mut() {
            Some(server) if server.announcement.address == address => {
                !std::mem::replace(&mut server.crashed, true)
            }
            _ => false,
        }
    }

    /// Returns the backend server, unless it crashed or stopped announcing itself.
    pub(crate) fn target(&self) -> Option<ServerTarget> {
        let now = self.clock.now();
        let server = self.lock();
        let server = server.as_ref()?;
        let silence = now.saturating_duration_since(server.announced_at);
        if server.crashed || silence > Duration::from_millis(ANNOUNCEMENT_TIMEOUT_MS) {
            return None;
        }
        Some(ServerTarget {
            service: server.announcement.service.clone(),
            address: server.announcement.address,
            state: server.announcement.state,
            slots: server.announcement.slots,
        })
    }

    /// Returns whether the backend server has been draining for long enough that every node
    /// knows.
    pub(crate) fn is_drain_propagated(&self) -> bool {
        let propagation = Duration::from_millis(DRAIN_PROPAGATION_MS);
        let since = self
            .lock()
            .as_ref()
            .and_then(|server| server.draining_since);
        since.is_some_and(|since| self.clock.now().saturating_duration_since(since) >= propagation)
    }

    /// Returns the backend server's state; absent without a target.
    pub(crate) fn state(&self) -> ServerState {
        self.target()
            .map_or(ServerState::Absent, |target| target.state)
    }

    fn lock(&self) -> MutexGuard<'_, Option<AnnouncedServer>> {
        self.server.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
