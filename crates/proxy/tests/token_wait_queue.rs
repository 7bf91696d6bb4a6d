//! Requests that wait for tokens, of teams that have used up their rate and of ones that have not.

use std::time::Duration;
use std::time::Instant;

use fleet::TeamTokens;
use model::ids::TeamName;
use proxy::TokenWaitQueue;

fn tokens(team: &TeamName, tokens: u32) -> Vec<TeamTokens> {
    vec![TeamTokens {
        team: team.clone(),
        tokens,
    }]
}

#[test]
fn one_ask_carries_what_all_who_wait_need() {
    let now = Instant::now();
    let team = TeamName::from("north");
    let mut desk = TokenWaitQueue::default();
    assert_eq!(desk.next_request(|_| 0, now), None);
    let mut waiters: Vec<_> = (0..3).map(|_| desk.enqueue(&team, now).unwrap()).collect();
    assert_eq!(desk.next_request(|_| 2, now), Some(tokens(&team, 5)));
    let mut late = desk.enqueue(&team, now).unwrap();
    assert_eq!(desk.next_request(|_| 2, now), None);
    assert_eq!(desk.distribute(tokens(&team, 5), now), tokens(&team, 1));
    waiters.push(late);
    for waiter in &mut waiters {
        assert_eq!(waiter.try_recv(), Ok(true));
    }
    late = desk.enqueue(&team, now).unwrap();
    assert_eq!(desk.next_request(|_| 0, now), Some(tokens(&team, 1)));
    drop(late);
}

/// Load pattern: one team sends many times its rate.
#[test]
fn a_team_at_its_limit_is_refused_at_once_for_a_while_and_then_asked_for_again() {
    let now = Instant::now();
    let team = TeamName::from("north");
    let mut desk = TokenWaitQueue::default();
    let mut first = desk.enqueue(&team, now).unwrap();
    let mut second = desk.enqueue(&team, now).unwrap();
    desk.next_request(|_| 0, now).unwrap();
    assert!(desk.distribute(tokens(&team, 1), now).is_empty());
    assert_eq!(first.try_recv(), Ok(true));
    assert_eq!(second.try_recv(), Ok(false));
    assert!(desk.enqueue(&team, now).is_none());
    let later = now + Duration::from_millis(150);
    let third = desk.enqueue(&team, later);
    assert!(third.is_some());
    assert!(desk.next_request(|_| 0, later).is_some());
}

#[test]
fn a_token_whose_request_was_given_up_goes_to_the_next() {
    let now = Instant::now();
    let team = TeamName::from("north");
    let mut desk = TokenWaitQueue::default();
    let first = desk.enqueue(&team, now).unwrap();
    let mut second = desk.enqueue(&team, now).unwrap();
    desk.next_request(|_| 0, now).unwrap();
    drop(first);
    desk.distribute(tokens(&team, 1), now);
    assert_eq!(second.try_recv(), Ok(true));
}

#[test]
fn an_ask_without_an_answer_is_repeated() {
    let now = Instant::now();
    let team = TeamName::from("north");
    let mut desk = TokenWaitQueue::default();
    let _first = desk.enqueue(&team, now).unwrap();
    assert!(desk.next_request(|_| 0, now).is_some());
    assert!(desk.next_request(|_| 0, now).is_none());
    assert!(
        desk.next_request(|_| 0, now + Duration::from_millis(400))
            .is_some()
    );
    let _second = desk.enqueue(&team, now).unwrap();
    desk.forget_request();
    assert!(desk.next_request(|_| 0, now).is_some());
}
