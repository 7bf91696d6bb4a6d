//! Properties of the phases of a stop, over random grace periods.

use std::time::Duration;
use std::time::Instant;

use proxy::StopPhase;
use proxy::StopSchedule;

/// Requests that are sent later than this after the stop request may not be cut.
const LATEST_CUT: Duration = Duration::from_secs(3);

/// Draws a grace period and a time after the stop request.
fn with_schedule(test: impl Fn(StopSchedule, Duration, Duration)) {
    let requested = Instant::now();
    arbtest::arbtest(|unstructured| {
        let grace = Duration::from_millis(unstructured.int_in_range(1..=600_000)?);
        let after = Duration::from_millis(unstructured.int_in_range(0..=700_000)?);
        test(StopSchedule::new(requested, grace), grace, after);
        Ok(())
    });
}

#[test]
fn nothing_is_taken_that_is_sent_so_late_that_it_may_not_be_cut() {
    with_schedule(|schedule, grace, after| {
        if schedule.phase(schedule.requested_at() + after) == StopPhase::Lingering {
            assert!(after < LATEST_CUT && after <= grace / 2);
        }
    });
}

#[test]
fn what_was_taken_is_given_up_in_the_last_sixth_of_the_grace_period_only() {
    with_schedule(|schedule, grace, after| {
        if schedule.phase(schedule.requested_at() + after) >= StopPhase::Ending {
            assert!(after >= grace.mul_f64(5.0 / 6.0));
        }
    });
}

#[test]
fn calls_of_the_local_server_have_ended_before_anything_is_given_up() {
    with_schedule(|schedule, _, after| {
        let deadline = schedule.requested_at() + after;
        if schedule.has_time_for_child(deadline) {
            assert!(schedule.phase(deadline) < StopPhase::Ending);
        }
    });
}

#[test]
fn the_process_ends_within_the_grace_period() {
    with_schedule(|schedule, grace, after| {
        assert!(schedule.over_at() < schedule.requested_at() + grace);
        if after >= grace {
            assert!(
                schedule
                    .phase(schedule.requested_at() + after)
                    .may_end(usize::MAX)
            );
        }
    });
}

#[test]
fn phases_follow_one_another() {
    with_schedule(|schedule, _, after| {
        let now = schedule.requested_at() + after;
        let next = now + Duration::from_millis(1);
        assert!(schedule.phase(now) <= schedule.phase(next));
    });
}

#[test]
fn a_deadline_is_never_extended_and_ends_before_the_answers_are_due() {
    with_schedule(|schedule, _, after| {
        let deadline = schedule.requested_at() + after;
        let limited = schedule.limit_deadline(deadline);
        assert!(limited <= deadline);
        assert!(limited == deadline || schedule.phase(limited) == StopPhase::Ending);
        assert!(schedule.phase(limited) <= StopPhase::Ending);
    });
}

#[test]
fn a_node_without_open_calls_ends_as_soon_as_it_takes_none() {
    assert!(!StopPhase::Lingering.may_end(0));
    for phase in [StopPhase::Finishing, StopPhase::Ending] {
        assert!(phase.may_end(0));
        assert!(!phase.may_end(1));
    }
    assert!(StopPhase::Over.may_end(1));
}
