//! Refusals: outcome, status, name on the wire and retry delay of each reason.

use std::fmt::Write as _;
use std::time::Duration;

use carawayrill_core::answer::refusal::Refusal;
use carawayrill_core::answer::refusal::RefusalReason;
use carawayrill_core::answer::refusal::ServerRefusal;
use carawayrill_core::outcome::Outcome;
use rstest::rstest;

#[test]
fn table_of_reasons() {
    let mut table = String::new();
    for reason in RefusalReason::ALL {
        let refusal = Refusal::from(*reason);
        writeln!(
            table,
            "{:24} {:8} {} {:?}",
            reason.as_str(),
            refusal.outcome().to_string(),
            refusal.status(),
            refusal.retry_after_secs(),
        )
        .unwrap();
    }
    insta::assert_snapshot!(table);
}

#[test]
fn names_round_trip_and_match_the_json_form() {
    for reason in RefusalReason::ALL {
        assert_eq!(reason.as_str().parse::<RefusalReason>().unwrap(), *reason);
        let json = serde_json::to_string(reason).unwrap();
        assert_eq!(json, format!("\"{reason}\""));
    }
    "sometimes".parse::<RefusalReason>().unwrap_err();
}

#[rstest]
#[case("fenced", RefusalReason::Fenced)]
#[case("no-grant", RefusalReason::NoGrant)]
#[case("shed", RefusalReason::Shed)]
#[case("draining", RefusalReason::Draining)]
#[case("deadline", RefusalReason::DeadlinePassed)]
#[case("cancelled", RefusalReason::CallerGone)]
fn a_server_refusal_always_means_not_run(#[case] word: &str, #[case] expected: RefusalReason) {
    let refusal = word.parse::<ServerRefusal>().unwrap();
    assert_eq!(RefusalReason::from(refusal), expected);
    assert_eq!(expected.outcome(), Outcome::NotRun);
}

#[rstest]
#[case(0, 1)]
#[case(1, 1)]
#[case(1_000, 1)]
#[case(1_001, 2)]
fn retry_after_is_rounded_up_to_seconds(#[case] millis: u64, #[case] secs: u64) {
    let refusal =
        Refusal::from(RefusalReason::Shed).with_retry_after(Duration::from_millis(millis));
    assert_eq!(refusal.retry_after_secs(), Some(secs));
}

#[test]
fn body_as_json() {
    let refusal = Refusal::new(RefusalReason::QueueFull, "40 requests wait for forms-3");
    insta::assert_json_snapshot!(refusal.body());
}
