//! Until when a front that shuts down passes requests on.

use std::time::Duration;

use carawayrill_core::direct::shutdown::ShutdownSchedule;
use carawayrill_core::time::Time;
use rstest::rstest;

/// The time after the stop signal until which a request may be aborted near the end of the grace
/// period.
const EXEMPT: Duration = Duration::from_secs(3);
/// The share of the grace period before which no request at work may be aborted.
const NO_ABORT_SHARE: f64 = 5.0 / 6.0;
/// The share of the grace period during which callers' requests are still served, if it is short.
const MIN_ADMIT_SHARE: f64 = 0.4;
/// When the shutdown begins.
const BEGUN: Time = Time(5_000);

/// A request that is passed on too late for its deadline is aborted while its server is at work.
#[rstest]
fn no_request_is_aborted_that_its_server_has_time_for(
    #[values(1, 2, 3, 6, 7, 10, 30, 120)] grace_s: u64,
    #[values(100, 500, 1_000, 2_500, 5_000, 8_000, 20_000, 60_000)] timeout_ms: u64,
) {
    let grace = Duration::from_secs(grace_s);
    let timeout = Duration::from_millis(timeout_ms);
    let schedule = ShutdownSchedule::new(BEGUN, grace, EXEMPT);
    assert!(schedule.abort_at >= BEGUN + grace.mul_f64(NO_ABORT_SHARE));
    assert!(schedule.end_by < BEGUN + grace);
    for after_ms in (0..=grace_s * 1_000).step_by(10) {
        let after = Duration::from_millis(after_ms);
        let now = BEGUN + after;
        let deadline = now + timeout;
        let ends_before_abort = deadline <= schedule.abort_at;
        if schedule.admits(now, deadline) {
            assert!(ends_before_abort || after < EXEMPT, "taken at {after:?}");
            assert!(now <= schedule.abort_at, "taken at {after:?}");
        } else {
            assert!(!ends_before_abort, "refused at {after:?}");
            let is_early = after < EXEMPT.mul_f64(0.85) && after < grace.mul_f64(MIN_ADMIT_SHARE);
            assert!(!is_early, "refused at {after:?}");
        }
        let admits_of_peer = schedule.admits_of_peer(deadline);
        assert_eq!(admits_of_peer, ends_before_abort, "of a peer at {after:?}");
    }
}

/// A request that has waited starts at a server just before all requests are aborted.
#[rstest]
#[case::enough(8_000, 500, true)]
#[case::just_enough(8_000, 501, false)]
#[case::after_the_abort(8_600, 0, false)]
fn a_send_begins_only_if_its_server_has_time(
    #[case] after_ms: u64,
    #[case] expected_ms: u64,
    #[case] begins: bool,
) {
    let schedule = ShutdownSchedule::new(BEGUN, Duration::from_secs(10), EXEMPT);
    let now = BEGUN + Duration::from_millis(after_ms);
    let expected = Duration::from_millis(expected_ms);
    assert_eq!(schedule.has_time_for(now, expected), begins);
}
