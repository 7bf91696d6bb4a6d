//! Exact escrow of one team's tokens at their owner.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use clock::Clock;
use model::exchange::TokenDemand;
use model::exchange::TokenGrant;
use model::ids::NodeId;

use crate::CALL_MILLI;
use crate::ledger::TeamLimit;
use crate::ledger::TokenLedger;
use crate::whole_calls;

/// Shortest delay that a node is told to wait before it asks again.
const RETRY_MIN_MS: u64 = 1;

/// Longest such delay, since tokens may also come back from other nodes.
const RETRY_MAX_MS: u64 = 1000;

/// Delay while all tokens are out, so that only returned ones can be granted.
const RETRY_ALL_OUT_MS: u64 = 50;

/// Owner of one team's tokens: grants them to nodes so that the free tokens
/// and those out at nodes never exceed the burst.
///
/// Therefore no window of time sees more calls than rate × time + burst. A
/// node's tokens die with the lease of the reply that carried the last grant;
/// the owner counts them as out until then, and as spent afterwards. See
/// `docs/LIMITS.md`, "Exact escrow".
#[derive(Clone, Debug)]
pub struct EscrowOwner<C> {
    clock: C,
    term: u64,
    lease_length: Duration,
    ledger: TokenLedger,
    reserve_milli: u64,
    unknown_until: Instant,
    next_expiry: Option<Instant>,
    nodes: HashMap<NodeId, NodeEscrow>,
}

/// What the owner knows of one node.
#[derive(Clone, Debug, Default)]
struct NodeEscrow {
    /// Last grant, for a repeated demand.
    last: Option<TokenGrant>,
    /// Tokens that the node may hold.
    out_milli: u64,
    /// When the tokens have died with the node's lease.
    expires: Option<Instant>,
    /// Whether the node reported its holdings to this owner after the takeover.
    reported: bool,
}

impl<C: Clock> EscrowOwner<C> {
    /// Creates the first owner of a team that never had tokens before; the burst is free.
    ///
    /// `term` must be above 0 and grow with every change of owner, and
    /// `lease_length` must include the allowance for clock drift.
    #[must_use]
    pub fn new(limit: TeamLimit, term: u64, lease_length: Duration, clock: C) -> Self {
        let ledger = TokenLedger::new(limit, limit.burst_milli, 0, clock.now());
        Self::with_ledger(ledger, term, lease_length, clock)
    }

    /// Takes over from an owner whose own lease has passed.
    ///
    /// Everything but `reserved_milli`, which the earlier owner had promised
    /// through the log not to grant, counts as out at nodes until
    /// `lease_length` has passed or [`Self::all_reported`] says otherwise. Pass
    /// the largest burst in force within the last `lease_length`, and then
    /// [`Self::declare`] the present limit.
    #[must_use]
    pub fn take_over(
        limit: TeamLimit,
        term: u64,
        lease_length: Duration,
        reserved_milli: u64,
        clock: C,
    ) -> Self {
        let free_milli = reserved_milli.min(limit.burst_milli);
        let unknown_milli = limit.burst_milli - free_milli;
        let ledger = TokenLedger::new(limit, free_milli, unknown_milli, clock.now());
        Self::with_ledger(ledger, term, lease_length, clock)
    }

    fn with_ledger(ledger: TokenLedger, term: u64, lease_length: Duration, clock: C) -> Self {
        Self {
            term,
            lease_length,
            ledger,
            reserve_milli: 0,
            unknown_until: clock.now() + lease_length,
            next_expiry: None,
            nodes: HashMap::new(),
            clock,
        }
    }

    /// Changes rate and burst; tokens already out stay valid.
    pub fn declare(&mut self, limit: TeamLimit) {
        self.advance();
        self.ledger.declare(limit, self.clock.now());
    }

    /// Promises not to grant up to `wanted_milli` of the free tokens and returns how many.
    ///
    /// Commit the amount to the log before a takeover may rely on it, and
    /// commit a smaller one before lowering it here.
    pub fn reserve(&mut self, wanted_milli: u64) -> u64 {
        self.advance();
        self.reserve_milli = wanted_milli.min(self.ledger.free_milli);
        self.reserve_milli
    }

    /// Answers a node's demand; a repeated one gets the same grant again.
    pub fn grant(&mut self, node: NodeId, demand: &TokenDemand) -> TokenGrant {
        let now = self.advance();
        let expires = now + self.lease_length;
        let mut escrow = self.nodes.remove(&node).unwrap_or_default();
        let answered = escrow.last.as_ref().map_or(0, |last| last.sequence);
        if demand.sequence > answered {
            self.take_report(&mut escrow, demand);
            let grant = self.decide(demand);
            escrow.out_milli += grant.granted_milli;
            escrow.last = Some(grant);
        }
        let repeated = escrow.last.clone();
        escrow.expires = Some(expires);
        self.next_expiry = Some(self.next_expiry.map_or(expires, |next| next.min(expires)));
        self.nodes.insert(node, escrow);
        repeated
            .filter(|last| last.sequence == demand.sequence)
            .unwrap_or_else(|| self.empty_grant(demand))
    }

    /// Ends the uncertainty of a takeover once every node has reported.
    ///
    /// `nodes` must hold every node that had a lease when this owner took
    /// over. What none of them holds counts as spent at this moment. Returns
    /// whether the uncertainty is over.
    pub fn all_reported(&mut self, nodes: &[NodeId]) -> bool {
        self.advance();
        let reported = |node| self.nodes.get(node).is_some_and(|escrow| escrow.reported);
        if nodes.iter().all(reported) {
            self.ledger.unknown_milli = 0;
        }
        self.ledger.unknown_milli == 0
    }

    /// Returns the tokens that are free now, in thousandths of a call.
    pub fn free_milli(&mut self) -> u64 {
        self.advance();
        self.ledger.free_milli
    }

    /// Returns the tokens that may be out at nodes now, in thousandths of a call.
    pub fn out_milli(&mut self) -> u64 {
        self.advance();
        self.ledger.out_milli + self.ledger.unknown_milli
    }

    /// Returns the term under which this owner grants.
    #[must_use]
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Books refills and ended leases up to now, in the order of time.
    fn advance(&mut self) -> Instant {
        let now = self.clock.now();
        while let Some(ended) = self.next_end().filter(|end| *end <= now) {
            self.ledger.refill(ended);
            self.end_leases(ended);
        }
        self.ledger.refill(now);
        now
    }

    /// Returns when the next tokens die.
    fn next_end(&self) -> Option<Instant> {
        let unknown = (self.ledger.unknown_milli > 0).then_some(self.unknown_until);
        match (unknown, self.next_expiry) {
            (Some(unknown), Some(expiry)) => Some(unknown.min(expiry)),
            (unknown, expiry) => unknown.or(expiry),
        }
    }

    /// Counts the tokens that died with their leases as spent.
    fn end_leases(&mut self, now: Instant) {
        if now >= self.unknown_until {
            self.ledger.unknown_milli = 0;
        }
        let ledger = &mut self.ledger;
        self.nodes.retain(|_, escrow| {
            let alive = escrow.expires.is_some_and(|expires| now < expires);
            if !alive {
                ledger.out_milli -= escrow.out_milli;
            }
            alive
        });
        self.next_expiry = self
            .nodes
            .values()
            .filter_map(|escrow| escrow.expires)
            .min();
    }

    /// Books what a node says about its holdings, if it says so to this owner.
    ///
    /// A demand that carries an earlier term may have been made before the
    /// takeover, so its figures could be stale and are not used.
    fn take_report(&mut self, escrow: &mut NodeEscrow, demand: &TokenDemand) {
        if demand.term != self.term {
            return;
        }
        let now = self.clock.now();
        let spent_at = now.checked_sub(demand.spent_age).unwrap_or(now);
        let claimed_milli = demand.held_milli.saturating_add(demand.returned_milli);
        let inherited_milli = claimed_milli.saturating_sub(escrow.out_milli);
        if !escrow.reported {
            let moved_milli = inherited_milli.min(self.ledger.unknown_milli);
            self.ledger.unknown_milli -= moved_milli;
            self.ledger.out_milli += moved_milli;
            escrow.out_milli += moved_milli;
        }
        escrow.reported = true;
        let returned_milli = demand.returned_milli.min(escrow.out_milli);
        let held_milli = demand.held_milli.min(escrow.out_milli - returned_milli);
        let spent_milli = escrow.out_milli - held_milli - returned_milli;
        let known_milli = spent_milli.min(demand.spent_milli);
        self.ledger.out_milli -= spent_milli - known_milli;
        self.ledger.book_spent(known_milli, spent_at);
        self.ledger.give_back(returned_milli);
        escrow.out_milli = held_milli;
    }

    /// Moves tokens from free to out for a demand seen for the first time.
    ///
    /// Waiting calls may use all free tokens. Fetching ahead may only use half
    /// of those above half the burst, so that a small burst is never scattered
    /// over nodes that do not need it.
    fn decide(&mut self, demand: &TokenDemand) -> TokenGrant {
        let usable_milli = self.ledger.free_milli.saturating_sub(self.reserve_milli);
        let urgent_milli = whole_calls(demand.urgent_milli.min(usable_milli));
        let kept_milli = self.ledger.limit.burst_milli / 2;
        let spare_milli = (usable_milli - urgent_milli).saturating_sub(kept_milli) / 2;
        let ahead_milli = demand.want_milli.saturating_sub(demand.urgent_milli);
        let granted_milli = urgent_milli + whole_calls(ahead_milli.min(spare_milli));
        self.ledger.free_milli -= granted_milli;
        self.ledger.out_milli += granted_milli;
        let dry = urgent_milli < demand.urgent_milli;
        TokenGrant {
            granted_milli,
            retry_after: dry.then(|| self.retry_after()),
            ..self.empty_grant(demand)
        }
    }

    fn retry_after(&self) -> Duration {
        let target_milli = self.reserve_milli + CALL_MILLI;
        let until_free = self.ledger.time_until_free(target_milli);
        until_free
            .unwrap_or(Duration::from_millis(RETRY_ALL_OUT_MS))
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
