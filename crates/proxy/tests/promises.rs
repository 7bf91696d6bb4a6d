//! Retry decisions over all sequences of attempt outcomes, and the lease on the configuration.

use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use fleet::AnswerHead;
use fleet::CallerLimits;
use fleet::FailCause;
use fleet::FleetConfig;
use fleet::RefuseCause;
use proxy::AttemptHistory;
use proxy::AttemptOutcome;
use proxy::LeasedConfig;
use proxy::RetryDecision;
use proxy::decide_retry;

const REVOKE: Duration = Duration::from_secs(5);

fn ends() -> Vec<AttemptOutcome> {
    let refusals = [
        RefuseCause::Overloaded,
        RefuseCause::Leaving,
        RefuseCause::ServerRefused,
        RefuseCause::ConnectFailed,
    ];
    let failures = [
        FailCause::ConnectionLost,
        FailCause::BadAnswer,
        FailCause::Timeout,
        FailCause::LinkLost,
    ];
    let refused = refusals.map(|cause| AttemptOutcome::Refused {
        cause,
        retry_after: Duration::ZERO,
    });
    let failed = failures.map(|cause| AttemptOutcome::Failed { cause });
    let answered = AttemptOutcome::Answered {
        head: AnswerHead {
            status: 200,
            headers: Vec::new(),
        },
        body: Bytes::new(),
    };
    refused
        .into_iter()
        .chain(failed)
        .chain([answered])
        .collect()
}

#[test]
fn an_unsafe_call_never_goes_on_once_it_may_have_run_and_none_exceeds_its_attempts() {
    let ends = ends();
    arbtest::arbtest(|source| {
        let idempotent: bool = source.arbitrary()?;
        let attempts = source.int_in_range(1..=4)?;
        let mut fate = AttemptHistory::default();
        let mut arrivals = 0;
        loop {
            let end = source.choose(&ends)?;
            let may_have_run = match end {
                AttemptOutcome::Answered { .. } | AttemptOutcome::Failed { .. } => true,
                AttemptOutcome::Refused { .. } => false,
            };
            arrivals += u32::from(
                may_have_run
                    || matches!(end, AttemptOutcome::Refused { cause, .. } if cause.has_arrived()),
            );
            fate.record(end);
            assert!(fate.may_have_run || !may_have_run);
            assert!(arrivals <= attempts);
            if decide_retry(fate, idempotent, attempts) == RetryDecision::Stop {
                return Ok(());
            }
            assert!(idempotent || !fate.may_have_run);
        }
    });
}

#[test]
fn a_refusal_that_reached_no_server_costs_no_budget() {
    let mut fate = AttemptHistory::default();
    fate.record(&AttemptOutcome::Refused {
        cause: RefuseCause::Leaving,
        retry_after: Duration::ZERO,
    });
    assert_eq!(decide_retry(fate, false, 1), RetryDecision::Retry);
    fate.record(&AttemptOutcome::Refused {
        cause: RefuseCause::ServerRefused,
        retry_after: Duration::ZERO,
    });
    assert_eq!(decide_retry(fate, false, 1), RetryDecision::Stop);
    assert_eq!(decide_retry(fate, false, 2), RetryDecision::RetryIfBudget);
}

fn config(version: u64) -> FleetConfig {
    FleetConfig {
        version,
        base: 0,
        routes: Vec::new(),
        services: Vec::new(),
        limits: CallerLimits {
            head_bytes: 1,
            body_bytes: 1,
            head_timeout: REVOKE,
            idle_timeout: REVOKE,
        },
        teams: Vec::new(),
    }
}

#[test]
fn a_view_never_goes_back() {
    let mut view = LeasedConfig::new(REVOKE);
    assert!(view.apply(config(7)));
    assert!(!view.apply(config(7)));
    assert!(!view.apply(config(5)));
    assert_eq!(view.version(), 7);
}

#[test]
fn a_lease_ends_before_the_bound_counted_from_when_it_was_asked_for() {
    let asked = Instant::now();
    let mut view = LeasedConfig::new(REVOKE);
    assert!(!view.is_leased(asked));
    view.apply(config(7));
    assert!(view.renew(7, asked));
    assert!(view.is_leased(asked + REVOKE / 2));
    assert!(!view.is_leased(asked + REVOKE));
}

#[test]
fn no_lease_is_renewed_while_the_version_in_force_is_missing() {
    let asked = Instant::now();
    let mut view = LeasedConfig::new(REVOKE);
    view.apply(config(7));
    assert!(!view.renew(8, asked));
    assert!(!view.is_leased(asked));
}

#[test]
fn an_answer_that_comes_late_does_not_shorten_a_lease() {
    let asked = Instant::now();
    let mut view = LeasedConfig::new(REVOKE);
    view.apply(config(7));
    view.renew(7, asked + Duration::from_secs(1));
    view.renew(7, asked);
    assert!(view.is_leased(asked + Duration::from_secs(5)));
}
