//! Retry decisions over all sequences of attempt outcomes, and the lease on the configuration.

use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use fleet::CallerLimits;
use fleet::FailureReason;
use fleet::FleetConfig;
use fleet::RefusalReason;
use fleet::ResponseHead;
use proxy::AttemptHistory;
use proxy::AttemptOutcome;
use proxy::LeasedConfig;
use proxy::RetryDecision;
use proxy::decide_retry;

const REVOCATION_BOUND: Duration = Duration::from_secs(5);

fn outcomes() -> Vec<AttemptOutcome> {
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
        FailureReason::Stalled,
    ];
    let refused = refusals.map(|cause| AttemptOutcome::Refused {
        cause,
        retry_after: Duration::ZERO,
    });
    let failed = failures.map(|cause| AttemptOutcome::Failed { cause });
    let answered = AttemptOutcome::Answered {
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
fn non_idempotent_call_is_not_retried_once_it_may_have_run_and_attempts_are_limited() {
    let outcomes = outcomes();
    arbtest::arbtest(|source| {
        let idempotent: bool = source.arbitrary()?;
        let attempts = source.int_in_range(1..=4)?;
        let mut history = AttemptHistory::default();
        let mut delivered = 0;
        loop {
            let outcome = source.choose(&outcomes)?;
            let may_have_run = match outcome {
                AttemptOutcome::Answered { .. } | AttemptOutcome::Failed { .. } => true,
                AttemptOutcome::Refused { .. } => false,
            };
            delivered += u32::from(
                may_have_run
                    || matches!(outcome, AttemptOutcome::Refused { cause, .. } if cause.reached_server()),
            );
            history.record(outcome);
            assert!(history.may_have_run || !may_have_run);
            assert!(delivered <= attempts);
            if decide_retry(history, idempotent, attempts) == RetryDecision::Stop {
                return Ok(());
            }
            assert!(idempotent || !history.may_have_run);
        }
    });
}

#[test]
fn undelivered_attempt_is_retried_without_budget() {
    let mut history = AttemptHistory::default();
    history.record(&AttemptOutcome::Refused {
        cause: RefusalReason::Draining,
        retry_after: Duration::ZERO,
    });
    assert_eq!(decide_retry(history, false, 1), RetryDecision::Retry);
    history.record(&AttemptOutcome::Refused {
        cause: RefusalReason::ServerRefused,
        retry_after: Duration::ZERO,
    });
    assert_eq!(decide_retry(history, false, 1), RetryDecision::Stop);
    assert_eq!(
        decide_retry(history, false, 2),
        RetryDecision::RetryIfBudget
    );
}

fn fleet_config(version: u64) -> FleetConfig {
    FleetConfig {
        version,
        base_version: 0,
        routes: Vec::new(),
        services: Vec::new(),
        limits: CallerLimits {
            head_bytes: 1,
            body_bytes: 1,
            head_timeout: REVOCATION_BOUND,
            idle_timeout: REVOCATION_BOUND,
        },
        requires_keys: false,
        teams: Vec::new(),
    }
}

#[test]
fn older_configuration_is_ignored() {
    let mut config = LeasedConfig::new(REVOCATION_BOUND);
    assert!(config.apply(fleet_config(7)));
    assert!(!config.apply(fleet_config(7)));
    assert!(!config.apply(fleet_config(5)));
    assert_eq!(config.version(), 7);
}

#[test]
fn lease_ends_within_the_revocation_bound_of_the_report() {
    let sent_at = Instant::now();
    let mut config = LeasedConfig::new(REVOCATION_BOUND);
    assert!(!config.is_leased(sent_at));
    config.apply(fleet_config(7));
    assert!(config.renew(7, sent_at));
    assert!(config.is_leased(sent_at + REVOCATION_BOUND / 2));
    assert!(!config.is_leased(sent_at + REVOCATION_BOUND));
}

#[test]
fn lease_is_not_renewed_while_the_current_version_is_missing() {
    let sent_at = Instant::now();
    let mut config = LeasedConfig::new(REVOCATION_BOUND);
    config.apply(fleet_config(7));
    assert!(!config.renew(8, sent_at));
    assert!(!config.is_leased(sent_at));
}

// Guards against nodes that stay with a control group older than the one they know, such as one
// that removed instances formed anew: it would renew their leases for withdrawn keys for good.
#[test]
fn lease_is_not_renewed_by_an_older_control_group() {
    let sent_at = Instant::now();
    let mut config = LeasedConfig::new(REVOCATION_BOUND);
    config.apply(fleet_config(7));
    assert!(!config.renew(0, sent_at));
    assert!(!config.renew(6, sent_at));
    assert!(!config.is_leased(sent_at));
}

#[test]
fn late_reply_does_not_shorten_the_lease() {
    let sent_at = Instant::now();
    let mut config = LeasedConfig::new(REVOCATION_BOUND);
    config.apply(fleet_config(7));
    config.renew(7, sent_at + Duration::from_secs(1));
    config.renew(7, sent_at);
    assert!(config.is_leased(sent_at + Duration::from_secs(5)));
}
