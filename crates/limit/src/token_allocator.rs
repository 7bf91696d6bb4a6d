//! Central token bucket of one team, from which nodes lease tokens.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use clock::Clock;
use model::exchange::TokenDemand;
use model::exchange::TokenGrant;
use model::ids::NodeId;

use crate::CALL_COST_MILLI;
use crate::ledger::TeamLimit;
use crate::ledger::TokenLedger;
use crate::whole_calls;

/// Shortest delay that a node is told to wait before it asks again, in milliseconds.
const RETRY_MIN_MS: u64 = 1;

/// Longest such delay, in milliseconds, since other nodes may return tokens earlier.
const RETRY_MAX_MS: u64 = 1000;

/// Delay while all tokens are at nodes, so that only returned ones can be granted, in
/// milliseconds.
const RETRY_NONE_FREE_MS: u64 = 50;

/// Grants one team's tokens to nodes so that the free tokens and those
/// outstanding at nodes never exceed the burst.
///
/// Therefore no time window sees more calls than rate × time + burst. A node's
/// tokens expire with the lease of the reply that carried the last grant; they
/// count as outstanding until then and as spent afterwards. See
/// `docs/LIMITS.md`.
#[derive(Clone, Debug)]
pub struct TokenAllocator<C> {
    clock: C,
    term: u64,
    lease_length: Duration,
    ledger: TokenLedger,
    reserve_milli: u64,
    unreported_until: Instant,
    next_expiry: Option<Instant>,
    nodes: HashMap<NodeId, NodeAllocation>,
}

/// Tokens granted to one node.
#[derive(Clone, Debug, Default)]
struct NodeAllocation {
    /// Last grant, sent again when its demand is repeated.
    last_grant: Option<TokenGrant>,
    /// Tokens that the node may still hold.
    outstanding_milli: u64,
    /// When the tokens expire with the node's lease.
    lease_end: Option<Instant>,
    /// Whether the node has reported its tokens since this allocator took over.
    reported: bool,
}

impl<C: Clock> TokenAllocator<C> {
    /// Creates the allocator of a team that never had tokens before; the whole burst is free.
    ///
    /// `term` must be above 0 and grow with every takeover, and `lease_length`
    /// must include the allowance for clock drift.
    #[must_use]
    pub fn new(limit: TeamLimit, term: u64, lease_length: Duration, clock: C) -> Self {
        let ledger = TokenLedger::new(limit, limit.burst_milli, 0, clock.now());
        Self::with_ledger(ledger, term, lease_length, clock)
    }

    /// Takes over from an allocator whose own lease has expired.
    ///
    /// Everything but `reserved_milli`, which the previous allocator promised
    /// through the log not to grant, counts as outstanding at nodes until
    /// `lease_length` has passed or [`Self::finish_takeover`] returns true. Pass
    /// the largest burst in force within the last `lease_length`, and then call
    /// [`Self::set_limit`] with the present limit.
    #[must_use]
    pub fn take_over(
        limit: TeamLimit,
        term: u64,
        lease_length: Duration,
        reserved_milli: u64,
        clock: C,
    ) -> Self {
        let free_milli = reserved_milli.min(limit.burst_milli);
        let unreported_milli = limit.burst_milli - free_milli;
        let ledger = TokenLedger::new(limit, free_milli, unreported_milli, clock.now());
        Self::with_ledger(ledger, term, lease_length, clock)
    }

    fn with_ledger(ledger: TokenLedger, term: u64, lease_length: Duration, clock: C) -> Self {
        Self {
            term,
            lease_length,
            ledger,
            reserve_milli: 0,
            unreported_until: clock.now() + lease_length,
            next_expiry: None,
            nodes: HashMap::new(),
            clock,
        }
    }

    /// Changes rate and burst; tokens already granted stay valid.
    pub fn set_limit(&mut self, limit: TeamLimit) {
        self.advance();
        self.ledger.set_limit(limit, self.clock.now());
    }

    /// Withholds up to `wanted_milli` of the free tokens from grants; returns how many.
    ///
    /// Commit the amount to the log before a takeover may rely on it, and
    /// commit a smaller one before lowering it here.
    pub fn reserve(&mut self, wanted_milli: u64) -> u64 {
        self.advance();
        self.reserve_milli = wanted_milli.min(self.ledger.free_milli);
        self.reserve_milli
    }

    /// Answers a node's demand; a repeated demand gets the same grant again.
    pub fn grant(&mut self, node: NodeId, demand: &TokenDemand) -> TokenGrant {
        let now = self.advance();
        let lease_end = now + self.lease_length;
        let mut allocation = self.nodes.remove(&node).unwrap_or_default();
        let answered_sequence = allocation
            .last_grant
            .as_ref()
            .map_or(0, |last| last.sequence);
        if demand.sequence > answered_sequence {
            self.apply_report(&mut allocation, demand);
            let grant = self.allocate(demand);
            allocation.outstanding_milli += grant.granted_milli;
            allocation.last_grant = Some(grant);
        }
        let last_grant = allocation.last_grant.clone();
        allocation.lease_end = Some(lease_end);
        self.next_expiry = Some(
            self.next_expiry
                .map_or(lease_end, |next| next.min(lease_end)),
        );
        self.nodes.insert(node, allocation);
        last_grant
            .filter(|last| last.sequence == demand.sequence)
            .unwrap_or_else(|| self.empty_grant(demand))
    }

    /// Completes a takeover once every node has reported its tokens.
    ///
    /// `nodes` must contain every node that had a lease at the time of the
    /// takeover. Tokens that none of them holds count as spent now. Returns
    /// whether the takeover is complete.
    pub fn finish_takeover(&mut self, nodes: &[NodeId]) -> bool {
        self.advance();
        let reported = |node| {
            self.nodes
                .get(node)
                .is_some_and(|allocation| allocation.reported)
        };
        if nodes.iter().all(reported) {
            self.ledger.unreported_milli = 0;
        }
        self.ledger.unreported_milli == 0
    }

    /// Returns the tokens that are free now, in thousandths of a token.
    pub fn free_milli(&mut self) -> u64 {
        self.advance();
        self.ledger.free_milli
    }

    /// Returns the tokens that nodes may hold now, in thousandths of a token.
    pub fn outstanding_milli(&mut self) -> u64 {
        self.advance();
        self.ledger.outstanding_milli + self.ledger.unreported_milli
    }

    /// Returns the term that this allocator puts into its grants.
    #[must_use]
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Applies refills and expired leases up to now, in chronological order.
    fn advance(&mut self) -> Instant {
        let now = self.clock.now();
        while let Some(lease_end) = self.next_lease_end().filter(|end| *end <= now) {
            self.ledger.refill(lease_end);
            self.expire_leases(lease_end);
        }
        self.ledger.refill(now);
        now
    }

    /// Returns when the next tokens expire.
    fn next_lease_end(&self) -> Option<Instant> {
        let unreported = (self.ledger.unreported_milli > 0).then_some(self.unreported_until);
        match (unreported, self.next_expiry) {
            (Some(unreported), Some(expiry)) => Some(unreported.min(expiry)),
            (unreported, expiry) => unreported.or(expiry),
        }
    }

    /// Counts the tokens that expired with their leases as spent.
    fn expire_leases(&mut self, now: Instant) {
        if now >= self.unreported_until {
            self.ledger.unreported_milli = 0;
        }
        let ledger = &mut self.ledger;
        self.nodes.retain(|_, allocation| {
            let is_valid = allocation
                .lease_end
                .is_some_and(|lease_end| now < lease_end);
            if !is_valid {
                ledger.outstanding_milli -= allocation.outstanding_milli;
            }
            is_valid
        });
        self.next_expiry = self
            .nodes
            .values()
            .filter_map(|allocation| allocation.lease_end)
            .min();
    }

    /// Applies a node's report of held, returned and spent tokens.
    ///
    /// A demand that carries an earlier term may have been made before the
    /// takeover, so its amounts may be stale and are not used.
    fn apply_report(&mut self, allocation: &mut NodeAllocation, demand: &TokenDemand) {
        if demand.term != self.term {
            return;
        }
        let now = self.clock.now();
        let spent_at = now.checked_sub(demand.spent_age).unwrap_or(now);
        let claimed_milli = demand.held_milli.saturating_add(demand.returned_milli);
        let carried_over_milli = claimed_milli.saturating_sub(allocation.outstanding_milli);
        if !allocation.reported {
            let moved_milli = carried_over_milli.min(self.ledger.unreported_milli);
            self.ledger.unreported_milli -= moved_milli;
            self.ledger.outstanding_milli += moved_milli;
            allocation.outstanding_milli += moved_milli;
        }
        allocation.reported = true;
        let returned_milli = demand.returned_milli.min(allocation.outstanding_milli);
        let held_milli = demand
            .held_milli
            .min(allocation.outstanding_milli - returned_milli);
        let spent_milli = allocation.outstanding_milli - held_milli - returned_milli;
        let dated_milli = spent_milli.min(demand.spent_milli);
        self.ledger.outstanding_milli -= spent_milli - dated_milli;
        self.ledger.record_spent(dated_milli, spent_at);
        self.ledger.return_tokens(returned_milli);
        allocation.outstanding_milli = held_milli;
    }

    /// Grants free tokens for a demand that is not a repetition.
    ///
    /// Waiting calls may use all free tokens. Fetching in advance may use only
    /// half of those above half the burst, so that a small burst is never
    /// scattered over nodes that do not need it.
    fn allocate(&mut self, demand: &TokenDemand) -> TokenGrant {
        let usable_milli = self.ledger.free_milli.saturating_sub(self.reserve_milli);
        let urgent_milli = whole_calls(demand.urgent_milli.min(usable_milli));
        let withheld_milli = self.ledger.limit.burst_milli / 2;
        let spare_milli = (usable_milli - urgent_milli).saturating_sub(withheld_milli) / 2;
        let prefetch_milli = demand.want_milli.saturating_sub(demand.urgent_milli);
        let granted_milli = urgent_milli + whole_calls(prefetch_milli.min(spare_milli));
        self.ledger.free_milli -= granted_milli;
        self.ledger.outstanding_milli += granted_milli;
        let insufficient = urgent_milli < demand.urgent_milli;
        TokenGrant {
            granted_milli,
            retry_after: insufficient.then(|| self.retry_after()),
            ..self.empty_grant(demand)
        }
    }

    fn retry_after(&self) -> Duration {
        let target_milli = self.reserve_milli + CALL_COST_MILLI;
        let until_free = self.ledger.time_until_free(target_milli);
        until_free
            .unwrap_or(Duration::from_millis(RETRY_NONE_FREE_MS))
            .clamp(
                Duration::from_millis(RETRY_MIN_MS),
                Duration::from_millis(RETRY_MAX_MS),
            )
    }

    fn empty_grant(&self, demand: &TokenDemand) -> TokenGrant {
        TokenGrant {
            team: demand.team.clone(),
            sequence: demand.sequence,
            term: self.term,
            granted_milli: 0,
            retry_after: None,
        }
    }
}
