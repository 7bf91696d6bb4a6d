//! Measures the distributed token allocation alone: how many requests are refused although
//! their team is within its rate.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use clock::Clock;
use clock::VirtualClock;
use limit::GrantOutcome;
use limit::TakeOutcome;
use limit::TeamLimit;
use limit::TokenAllocator;
use limit::TokenHolder;
use model::exchange::TokenDemand;
use model::exchange::TokenGrant;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::experiment::queue::EventQueue;
use crate::experiment::reference_bucket::ReferenceBucket;
use crate::experiment::scenario::TeamRate;

/// Period of the exchange between a node and the token allocator, in milliseconds.
const PERIOD_MS: u64 = 600;
/// Shortest time between two exchanges of a node, in milliseconds.
const SPACING_MS: u64 = 25;
/// Longest time that a request waits for a token, in milliseconds.
const TOKEN_WAIT_MS: u64 = 400;
/// Duration of a node's lease, in milliseconds.
const LEASE_MS: u64 = 2000;
/// One-way delay between a node and the token allocator, in microseconds.
const ONE_WAY_DELAY_US: u64 = 1500;
/// Data centres between which bursts move.
const DATA_CENTRES: usize = 3;
/// Time between two bursts, in milliseconds.
const BURST_PERIOD_MS: u64 = 2000;
/// Time over which a burst is sent, in milliseconds.
const BURST_LENGTH_MS: u64 = 100;
/// Demand as a fraction of the rate.
const DEMAND_SHARE: f64 = 0.8;

/// How a team's requests are distributed over nodes and time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DemandShape {
    /// Poisson arrivals at any node.
    Even,
    /// Bursts at the nodes of one data centre, each in another one than the burst before.
    Moving,
}

/// One measurement.
#[derive(Clone, Copy, Debug)]
pub struct RateCase {
    /// Rate and burst of the team.
    pub rate: TeamRate,
    /// Entry nodes.
    pub nodes: usize,
    /// How requests are distributed.
    pub shape: DemandShape,
    /// Length of the run.
    pub total: Duration,
}

/// Counters of one measurement.
#[derive(Clone, Copy, Debug, Default)]
pub struct RateFigures {
    /// Requests sent while the team was within its rate by a central token bucket.
    pub within_rate: u64,
    /// Requests among [`Self::within_rate`] that were refused.
    pub refused: u64,
    /// Requests admitted beyond rate and burst.
    pub over_issued: u64,
    /// Times that a request had to wait for a token.
    pub waited: u64,
    /// Demands sent to the token allocator.
    pub demands: u64,
}

enum RateEvent {
    Arrive,
    ExchangeDue(usize),
    SpacingOver(usize),
    AllocatorReached {
        node: usize,
        demand: TokenDemand,
        sent: Instant,
    },
    NodeReached {
        node: usize,
        grant: TokenGrant,
        sent: Instant,
    },
    GiveUp {
        node: usize,
        request: u64,
    },
}

/// A request that waits for a token.
#[derive(Clone, Copy)]
struct WaitingRequest {
    request: u64,
    within_rate: bool,
}

struct RateNode {
    holder: TokenHolder<VirtualClock>,
    waiting: VecDeque<WaitingRequest>,
    exchange_in_progress: bool,
    exchange_wanted: bool,
}

struct RateRun {
    case: RateCase,
    clock: VirtualClock,
    queue: EventQueue<RateEvent>,
    random: StdRng,
    allocator: TokenAllocator<VirtualClock>,
    nodes: Vec<RateNode>,
    reference: ReferenceBucket,
    admitted: ReferenceBucket,
    requests: u64,
    figures: RateFigures,
}

/// Runs one case.
#[must_use]
pub fn measure(case: RateCase, seed: u64) -> RateFigures {
    let mut run = RateRun::new(case, seed);
    while let Some(event) = run.queue.pop_until(case.total) {
        run.handle(event);
    }
    run.figures
}

impl RateRun {
    fn new(case: RateCase, seed: u64) -> Self {
        let clock = VirtualClock::new();
        let limit = TeamLimit::from(case.rate);
        let lease = Duration::from_millis(LEASE_MS);
        let node = || RateNode {
            holder: TokenHolder::new(
                Arc::from("team"),
                Duration::from_millis(2 * PERIOD_MS),
                clock.clone(),
            ),
            waiting: VecDeque::new(),
            exchange_in_progress: false,
            exchange_wanted: false,
        };
        let mut queue = EventQueue::new(clock.clone());
        for number in 0..case.nodes {
            let first = Duration::from_millis(number as u64 * 37 % PERIOD_MS);
            queue.schedule_after(first, RateEvent::ExchangeDue(number));
        }
        queue.schedule_after(Duration::ZERO, RateEvent::Arrive);
        Self {
            nodes: (0..case.nodes).map(|_| node()).collect(),
            allocator: TokenAllocator::new(limit, 1, lease, clock.clone()),
            reference: ReferenceBucket::new(&case.rate),
            admitted: ReferenceBucket::new(&case.rate),
            random: StdRng::seed_from_u64(seed),
            requests: 0,
            figures: RateFigures::default(),
            queue,
            clock,
            case,
        }
    }

    fn handle(&mut self, event: RateEvent) {
        match event {
            RateEvent::Arrive => self.arrive(),
            RateEvent::ExchangeDue(node) => {
                let period = Duration::from_millis(PERIOD_MS);
                self.queue
                    .schedule_after(period, RateEvent::ExchangeDue(node));
                self.send_demand(node);
            }
            RateEvent::SpacingOver(node) => {
                self.nodes[node].exchange_in_progress = false;
                if std::mem::take(&mut self.nodes[node].exchange_wanted) {
                    self.send_demand(node);
                }
            }
            RateEvent::AllocatorReached { node, demand, sent } => {
                let grant = self.allocator.grant(node as u64, &demand);
                let reached = RateEvent::NodeReached { node, grant, sent };
                self.queue
                    .schedule_after(Duration::from_micros(ONE_WAY_DELAY_US), reached);
            }
            RateEvent::NodeReached { node, grant, sent } => self.receive_grant(node, &grant, sent),
            RateEvent::GiveUp { node, request } => self.give_up(node, request),
        }
    }

    fn arrive(&mut self) {
        let per_s = self.case.rate.per_s * DEMAND_SHARE;
        let gap_s = match self.case.shape {
            DemandShape::Even => -self.random.random_range(f64::EPSILON..1.0_f64).ln() / per_s,
            DemandShape::Moving => self.burst_gap_s(per_s),
        };
        let node = self.pick_node();
        let next = Duration::from_secs_f64(gap_s);
        self.queue.schedule_after(next, RateEvent::Arrive);
        let now = self.queue.now();
        let within_rate = self.reference.take(now) && self.reference.is_within_rate(now);
        self.figures.within_rate += u64::from(within_rate);
        self.requests += 1;
        let outcome = self.nodes[node].holder.take();
        let waiting = WaitingRequest {
            request: self.requests,
            within_rate,
        };
        self.handle_outcome(node, waiting, outcome);
    }

    /// Returns the gap to the next request of the burst, or to the next burst.
    fn burst_gap_s(&mut self, per_s: f64) -> f64 {
        let period_s = Duration::from_millis(BURST_PERIOD_MS).as_secs_f64();
        let length_s = Duration::from_millis(BURST_LENGTH_MS).as_secs_f64();
        let calls = (per_s * period_s)
            .min(self.case.rate.burst * DEMAND_SHARE)
            .max(1.0);
        let at_s = self.queue.now().as_secs_f64() % period_s;
        if at_s >= length_s {
            period_s - at_s
        } else {
            length_s / calls
        }
    }

    fn pick_node(&mut self) -> usize {
        let any = self.random.random_range(0..self.case.nodes);
        if self.case.shape == DemandShape::Even || self.case.nodes < DATA_CENTRES {
            return any;
        }
        let burst = self.queue.now().as_millis() / u128::from(BURST_PERIOD_MS);
        let centre = usize::try_from(burst).unwrap_or(0) % DATA_CENTRES;
        let in_centre = self.case.nodes / DATA_CENTRES;
        centre + DATA_CENTRES * self.random.random_range(0..in_centre)
    }

    fn handle_outcome(&mut self, node: usize, waiting: WaitingRequest, outcome: TakeOutcome) {
        match outcome {
            TakeOutcome::Taken => {
                let now = self.queue.now();
                self.figures.over_issued += u64::from(!self.admitted.take(now));
            }
            TakeOutcome::NoToken { retry_after, .. } if !retry_after.is_zero() => {
                self.figures.refused += u64::from(waiting.within_rate);
            }
            TakeOutcome::NoToken { ask_now, .. } => {
                self.nodes[node].waiting.push_back(waiting);
                self.figures.waited += 1;
                let give_up = RateEvent::GiveUp {
                    node,
                    request: waiting.request,
                };
                self.queue
                    .schedule_after(Duration::from_millis(TOKEN_WAIT_MS), give_up);
                if ask_now {
                    self.send_demand(node);
                }
            }
        }
    }

    fn send_demand(&mut self, node: usize) {
        let sent = self.clock.now();
        let state = &mut self.nodes[node];
        if state.exchange_in_progress {
            state.exchange_wanted = true;
            return;
        }
        let Some(demand) = state.holder.demand() else {
            return;
        };
        state.exchange_in_progress = true;
        self.figures.demands += 1;
        let reached = RateEvent::AllocatorReached { node, demand, sent };
        self.queue
            .schedule_after(Duration::from_micros(ONE_WAY_DELAY_US), reached);
    }

    fn receive_grant(&mut self, node: usize, grant: &TokenGrant, sent: Instant) {
        let lease_end = sent + Duration::from_millis(LEASE_MS);
        let state = &mut self.nodes[node];
        let effect = state.holder.accept(grant, lease_end);
        state.exchange_wanted |= matches!(effect, GrantOutcome::Accepted { ask_now: true });
        let spacing = Duration::from_millis(SPACING_MS);
        self.queue
            .schedule_after(spacing, RateEvent::SpacingOver(node));
        for waiting in std::mem::take(&mut self.nodes[node].waiting) {
            let outcome = self.nodes[node].holder.retry_take();
            self.handle_outcome(node, waiting, outcome);
        }
    }

    fn give_up(&mut self, node: usize, request: u64) {
        let waiting = &mut self.nodes[node].waiting;
        let position = waiting.iter().position(|other| other.request == request);
        if let Some(given_up) = position.and_then(|position| waiting.remove(position)) {
            self.figures.refused += u64::from(given_up.within_rate);
        }
    }
}
