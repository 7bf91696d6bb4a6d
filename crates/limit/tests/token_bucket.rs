//! Tokens that were taken for requests which were not admitted after all.

use std::time::Duration;
use std::time::Instant;

use limit::TakenToken;
use limit::TokenBucket;

/// Share of the rate in thousandths of a request per second, and the depth in seconds.
const SHARE_MILLI: u64 = 20_000;
const DEPTH_S: f64 = 1.0;
/// Tokens that the bucket holds at most.
const CAPACITY: usize = 20;

fn full_bucket(start: Instant) -> (TokenBucket, Instant) {
    let mut bucket = TokenBucket::new(start);
    bucket.set_share(SHARE_MILLI, DEPTH_S, start);
    (bucket, start + Duration::from_secs(2))
}

fn take_all(bucket: &mut TokenBucket, now: Instant) -> Vec<TakenToken> {
    std::iter::from_fn(|| bucket.take(now)).collect()
}

// Guards against tokens of refused requests that pile up beyond the burst: a team's requests were
// turned away for seconds, and twice its limit ran when they were admitted again (QUOTA).
#[test]
fn tokens_of_refused_requests_do_not_pile_up() {
    let (mut bucket, start) = full_bucket(Instant::now());
    let mut now = start;
    for _ in 0..500 {
        now += Duration::from_millis(40);
        let token = bucket.take(now).unwrap();
        bucket.return_token(token, now);
    }
    assert_eq!(take_all(&mut bucket, now).len(), CAPACITY);
}

// Guards against loans that never expire where further ones follow in time: each extended the
// validity of all that were there.
#[test]
fn a_borrowed_token_expires_whatever_is_borrowed_or_returned_later() {
    let mut now = Instant::now();
    let mut bucket = TokenBucket::new(now);
    let mut borrowed = 0;
    for _ in 0..100 {
        now += Duration::from_millis(50);
        bucket.add_borrowed_tokens(3, now);
        borrowed += 3;
        let token = bucket.take(now).unwrap();
        bucket.return_token(token, now);
    }
    // 300 ms of loans of 3 in 50 ms each.
    let held = take_all(&mut bucket, now).len();
    assert!(held <= 18, "{held} of {borrowed}");
}

#[test]
fn a_token_that_is_returned_late_has_expired() {
    let start = Instant::now();
    let mut bucket = TokenBucket::new(start);
    bucket.add_borrowed_tokens(1, start);
    let token = bucket.take(start).unwrap();
    let later = start + Duration::from_millis(301);
    bucket.return_token(token, later);
    assert_eq!(bucket.take(later), None);
    bucket.return_token(TakenToken::borrowed(start), later);
    assert_eq!(bucket.take(later), None);
}

#[test]
fn returned_tokens_never_exceed_a_share_that_was_lowered_meanwhile() {
    let (mut bucket, now) = full_bucket(Instant::now());
    let taken = take_all(&mut bucket, now);
    assert_eq!(taken.len(), CAPACITY);
    bucket.set_share(SHARE_MILLI / 4, DEPTH_S, now);
    for token in taken {
        bucket.return_token(token, now);
    }
    assert_eq!(take_all(&mut bucket, now).len(), CAPACITY / 4);
}

#[test]
fn what_is_admitted_stays_within_rate_burst_and_loans_however_tokens_are_returned() {
    arbtest::arbtest(|source| {
        let start = Instant::now();
        let mut bucket = TokenBucket::new(start);
        bucket.set_share(SHARE_MILLI, DEPTH_S, start);
        let mut open: Vec<TakenToken> = Vec::new();
        let mut lent = 0_u32;
        let mut admitted = 0_u32;
        let steps = source.int_in_range(50..=400_u32)?;
        for step in 0..steps {
            let now = start + Duration::from_millis(20) * step;
            match source.int_in_range(0..=5_u32)? {
                0 => {
                    let loan = source.int_in_range(0..=4_u32)?;
                    bucket.add_borrowed_tokens(loan, now);
                    lent += loan;
                }
                1 | 2 => open.extend(bucket.take(now)),
                3 | 4 => {
                    if let Some(token) = open.pop() {
                        bucket.return_token(token, now);
                    }
                }
                _ => admitted += u32::from(open.pop().is_some()),
            }
        }
        admitted += u32::try_from(open.len()).unwrap();
        let refilled = steps * 20 * 20 / 1000;
        let most = 20 + refilled + lent;
        assert!(admitted <= most, "{admitted} of {most}");
        Ok(())
    });
}
