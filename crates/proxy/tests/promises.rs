//! What may be said of a call, over all orders in which its attempts can end.

use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use fleet::CallerLimits;
use fleet::FailureReason;
use fleet::FleetConfig;
use fleet::RefusalReason;
use fleet::ResponseHead;
use proxy::CallEnd;
use proxy::CallFate;
use proxy::ConfigView;
use proxy::NextStep;
use proxy::next_step;

const REVOKE: Duration = Duration::from_secs(5);

fn ends() -> Vec<CallEnd> {
    let refusals = [
        RefusalReason::Overloaded,
        RefusalReason::Draining,
        RefusalReason::ServerRefused,
        RefusalReason::ConnectFailed,
    ];
    let failures = [
        FailureReason::ConnectionLost,
        FailureReason::BadResponse,
        FailureReason::Timeout,
        FailureReason::LinkLost,
    ];
    let refused = refusals.map(|cause| CallEnd::Refused {
        cause,
        retry_after: Duration::ZERO,
    });
    let failed = failures.map(|cause| CallEnd::Failed { cause });
    let answered = CallEnd::Answered {
        head: ResponseHead {
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
        let mut fate = CallFate::default();
        let mut arrivals = 0;
        loop {
            let end = source.choose(&ends)?;
            let may_have_run = match end {
                CallEnd::Answered { .. } | CallEnd::Failed { .. } => true,
                CallEnd::Refused { .. } => false,
            };
            arrivals += u32::from(
                may_have_run
                    || matches!(end, CallEnd::Refused { cause, .. } if cause.reached_server()),
            );
            fate.note(end);
            assert!(fate.may_have_run || !may_have_run);
            assert!(arrivals <= attempts);
            if next_step(fate, idempotent, attempts) == NextStep::GiveUp {
                return Ok(());
            }
            assert!(idempotent || !fate.may_have_run);
        }
    });
}

#[test]
fn a_refusal_that_reached_no_server_costs_no_budget() {
    let mut fate = CallFate::default();
    fate.note(&CallEnd::Refused {
        cause: RefusalReason::Draining,
        retry_after: Duration::ZERO,
    });
    assert_eq!(next_step(fate, false, 1), NextStep::Again);
    fate.note(&CallEnd::Refused {
        cause: RefusalReason::ServerRefused,
        retry_after: Duration::ZERO,
    });
    assert_eq!(next_step(fate, false, 1), NextStep::GiveUp);
    assert_eq!(next_step(fate, false, 2), NextStep::AgainIfBudget);
}

fn config(version: u64) -> FleetConfig {
    FleetConfig {
        version,
        base_version: 0,
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
    let mut view = ConfigView::new(REVOKE);
    assert!(view.apply(config(7)));
    assert!(!view.apply(config(7)));
    assert!(!view.apply(config(5)));
    assert_eq!(view.version(), 7);
}

#[test]
fn a_lease_ends_before_the_bound_counted_from_when_it_was_asked_for() {
    let asked = Instant::now();
    let mut view = ConfigView::new(REVOKE);
    assert!(!view.is_leased(asked));
    view.apply(config(7));
    assert!(view.renew(7, asked));
    assert!(view.is_leased(asked + REVOKE / 2));
    assert!(!view.is_leased(asked + REVOKE));
}

#[test]
fn no_lease_is_renewed_while_the_version_in_force_is_missing() {
    let asked = Instant::now();
    let mut view = ConfigView::new(REVOKE);
    view.apply(config(7));
    assert!(!view.renew(8, asked));
    assert!(!view.is_leased(asked));
}

#[test]
fn an_answer_that_comes_late_does_not_shorten_a_lease() {
    let asked = Instant::now();
    let mut view = ConfigView::new(REVOKE);
    view.apply(config(7));
    view.renew(7, asked + Duration::from_secs(1));
    view.renew(7, asked);
    assert!(view.is_leased(asked + Duration::from_secs(5)));
}
