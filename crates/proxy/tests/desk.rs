//! Requests that wait for tokens, of teams that have used up their rate and of ones that have not.

use std::time::Duration;
use std::time::Instant;

use fleet::TeamTokens;
use model::ids::TeamName;
use proxy::TokenDesk;

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
    let mut desk = TokenDesk::default();
    assert_eq!(desk.next_ask(|_| 0, now), None);
    let mut waiters: Vec<_> = (0..3).map(|_| desk.wait(&team, now).unwrap()).collect();
    assert_eq!(desk.next_ask(|_| 2, now), Some(tokens(&team, 5)));
    let mut late = desk.wait(&team, now).unwrap();
    assert_eq!(desk.next_ask(|_| 2, now), None);
    assert_eq!(desk.take(tokens(&team, 5), now), tokens(&team, 1));
    waiters.push(late);
    for waiter in &mut waiters {
        assert_eq!(waiter.try_recv(), Ok(true));
    }
    late = desk.wait(&team, now).unwrap();
    assert_eq!(desk.next_ask(|_| 0, now), Some(tokens(&team, 1)));
    drop(late);
}

/// Load pattern: one team sends many times its rate.
#[test]
fn a_team_at_its_limit_is_refused_at_once_for_a_while_and_then_asked_for_again() {
    let now = Instant::now();
    let team = TeamName::from("north");
    let mut desk = TokenDesk::default();
    let mut first = desk.wait(&team, now).unwrap();
    let mut second = desk.wait(&team, now).unwrap();
    desk.next_ask(|_| 0, now).unwrap();
    assert!(desk.take(tokens(&team, 1), now).is_empty());
    assert_eq!(first.try_recv(), Ok(true));
    assert_eq!(second.try_recv(), Ok(false));
    assert!(desk.wait(&team, now).is_none());
    let later = now + Duration::from_millis(150);
    let third = desk.wait(&team, later);
    assert!(third.is_some());
    assert!(desk.next_ask(|_| 0, later).is_some());
}

#[test]
fn a_token_whose_request_was_given_up_goes_to_the_next() {
    let now = Instant::now();
    let team = TeamName::from("north");
    let mut desk = TokenDesk::default();
    let first = desk.wait(&team, now).unwrap();
    let mut second = desk.wait(&team, now).unwrap();
    desk.next_ask(|_| 0, now).unwrap();
    drop(first);
    desk.take(tokens(&team, 1), now);
    assert_eq!(second.try_recv(), Ok(true));
}

#[test]
fn an_ask_without_an_answer_is_repeated() {
    let now = Instant::now();
    let team = TeamName::from("north");
    let mut desk = TokenDesk::default();
    let _first = desk.wait(&team, now).unwrap();
    assert!(desk.next_ask(|_| 0, now).is_some());
    assert!(desk.next_ask(|_| 0, now).is_none());
    assert!(
        desk.next_ask(|_| 0, now + Duration::from_millis(400))
            .is_some()
    );
    let _second = desk.wait(&team, now).unwrap();
    desk.link_lost();
    assert!(desk.next_ask(|_| 0, now).is_some());
}
