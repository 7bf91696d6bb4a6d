//! Requests that wait for tokens, of teams that have used up their rate and of ones that have not.

use std::time::Duration;
use std::time::Instant;

use fleet::LentTokens;
use fleet::TeamTokens;
use limit::TakenToken;
use model::ids::TeamName;
use proxy::TokenWaitQueue;
use proxy::drop_late_loan;

fn tokens(team: &TeamName, tokens: u32) -> Vec<TeamTokens> {
    vec![TeamTokens {
        team: team.clone(),
        tokens,
    }]
}

fn lent(team: &TeamName, number: u32) -> LentTokens {
    LentTokens {
        tokens: tokens(team, number),
        up_to_limit: true,
    }
}

#[test]
fn one_token_request_covers_all_waiting_requests() {
    let now = Instant::now();
    let team = TeamName::from("north");
    let mut queue = TokenWaitQueue::default();
    assert_eq!(queue.next_request(|_| 0, now), None);
    let mut waiters: Vec<_> = (0..3).map(|_| queue.enqueue(&team, now).unwrap()).collect();
    assert_eq!(queue.next_request(|_| 2, now), Some(tokens(&team, 5)));
    let mut late = queue.enqueue(&team, now).unwrap();
    assert_eq!(queue.next_request(|_| 2, now), None);
    assert_eq!(queue.distribute(lent(&team, 5), now), tokens(&team, 1));
    waiters.push(late);
    for waiter in &mut waiters {
        assert_eq!(waiter.try_recv(), Ok(Some(TakenToken::borrowed(now))));
    }
    late = queue.enqueue(&team, now).unwrap();
    assert_eq!(queue.next_request(|_| 0, now), Some(tokens(&team, 1)));
    drop(late);
}

/// Load pattern: one team sends many times its rate.
#[test]
fn requests_of_an_exhausted_team_are_refused_at_once_until_a_delay_has_passed() {
    let now = Instant::now();
    let team = TeamName::from("north");
    let mut queue = TokenWaitQueue::default();
    let mut first = queue.enqueue(&team, now).unwrap();
    let mut second = queue.enqueue(&team, now).unwrap();
    queue.next_request(|_| 0, now).unwrap();
    assert!(queue.distribute(lent(&team, 1), now).is_empty());
    assert_eq!(first.try_recv(), Ok(Some(TakenToken::borrowed(now))));
    assert_eq!(second.try_recv(), Ok(None));
    assert!(queue.enqueue(&team, now).is_none());
    let later = now + Duration::from_millis(150);
    let third = queue.enqueue(&team, later);
    assert!(third.is_some());
    assert!(queue.next_request(|_| 0, later).is_some());
}

#[test]
fn token_of_a_cancelled_request_goes_to_the_next() {
    let now = Instant::now();
    let team = TeamName::from("north");
    let mut queue = TokenWaitQueue::default();
    let first = queue.enqueue(&team, now).unwrap();
    let mut second = queue.enqueue(&team, now).unwrap();
    queue.next_request(|_| 0, now).unwrap();
    drop(first);
    queue.distribute(lent(&team, 1), now);
    assert_eq!(second.try_recv(), Ok(Some(TakenToken::borrowed(now))));
}

#[test]
fn unanswered_token_request_is_sent_again() {
    let now = Instant::now();
    let team = TeamName::from("north");
    let mut queue = TokenWaitQueue::default();
    let _first = queue.enqueue(&team, now).unwrap();
    assert!(queue.next_request(|_| 0, now).is_some());
    assert!(queue.next_request(|_| 0, now).is_none());
    assert!(
        queue
            .next_request(|_| 0, now + Duration::from_millis(400))
            .is_some()
    );
    let _second = queue.enqueue(&team, now).unwrap();
    queue.forget_request();
    assert!(queue.next_request(|_| 0, now).is_some());
}

/// Guards against a team within its limit that is told it is over it while a new leader does not
/// know all nodes yet.
#[test]
fn requests_go_on_waiting_while_the_leader_lends_less_than_the_limit() {
    let now = Instant::now();
    let team = TeamName::from("north");
    let mut queue = TokenWaitQueue::default();
    let mut first = queue.enqueue(&team, now).unwrap();
    let mut second = queue.enqueue(&team, now).unwrap();
    queue.next_request(|_| 0, now).unwrap();
    let partial = LentTokens {
        up_to_limit: false,
        ..lent(&team, 1)
    };
    assert!(queue.distribute(partial, now).is_empty());
    assert_eq!(first.try_recv(), Ok(Some(TakenToken::borrowed(now))));
    assert!(second.try_recv().is_err());
    assert!(queue.enqueue(&team, now).is_some());
    assert_eq!(queue.next_request(|_| 0, now), None);
    let later = now + Duration::from_millis(50);
    assert_eq!(queue.next_request(|_| 0, later), Some(tokens(&team, 1)));
}

/// Guards against a request that waits in vain since nothing but the arrival of another request
/// causes the next token request.
#[test]
fn tokens_are_requested_again_for_as_long_as_a_request_waits() {
    let now = Instant::now();
    let team = TeamName::from("north");
    let mut queue = TokenWaitQueue::default();
    assert_eq!(queue.next_request_delay(now), None);
    let waiter = queue.enqueue(&team, now).unwrap();
    assert_eq!(queue.next_request_delay(now), Some(Duration::ZERO));
    queue.next_request(|_| 0, now).unwrap();
    let nothing = LentTokens {
        up_to_limit: false,
        ..lent(&team, 0)
    };
    queue.distribute(nothing, now);
    let delay = queue.next_request_delay(now).unwrap();
    assert!(delay < Duration::from_millis(100), "{delay:?}");
    assert!(queue.next_request(|_| 0, now + delay).is_some());
    queue.forget_request();
    assert_eq!(queue.next_request_delay(now), Some(Duration::ZERO));
    drop(waiter);
    assert_eq!(queue.next_request_delay(now), None);
}

// Guards against loans that a frozen node gets seconds later, on top of what is lent by then.
#[test]
fn tokens_that_arrive_late_are_not_used_and_requested_again() {
    let now = Instant::now();
    let team = TeamName::from("north");
    let mut queue = TokenWaitQueue::default();
    let mut waiter = queue.enqueue(&team, now).unwrap();
    queue.next_request(|_| 4, now).unwrap();
    let later = now + Duration::from_secs(5);
    let late = drop_late_loan(lent(&team, 5), later - now);
    assert!(queue.distribute(late, later).is_empty());
    assert!(waiter.try_recv().is_err());
    let delay = queue.next_request_delay(later).unwrap();
    assert!(delay < Duration::from_millis(100), "{delay:?}");
    let in_time = Duration::from_millis(200);
    let loan = drop_late_loan(lent(&team, 5), in_time);
    assert_eq!(queue.distribute(loan, later), tokens(&team, 4));
}
