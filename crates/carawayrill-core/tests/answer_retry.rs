//! Retries, requests in flight and traffic between regions.

use std::fmt::Write as _;
use std::time::Duration;

use carawayrill_core::answer::inflight::InFlightTable;
use carawayrill_core::answer::inflight::Unmatched;
use carawayrill_core::answer::refusal::Refusal;
use carawayrill_core::answer::refusal::RefusalReason;
use carawayrill_core::answer::retry::Backoff;
use carawayrill_core::answer::retry::FailedTry;
use carawayrill_core::answer::retry::RetryBudget;
use carawayrill_core::answer::retry::RetryDecision;
use carawayrill_core::answer::retry::decide;
use carawayrill_core::answer::traffic::TrafficTable;
use carawayrill_core::id::RequestId;
use carawayrill_core::id::ServerId;
use carawayrill_core::id::ShardId;
use carawayrill_core::outcome::Outcome;
use carawayrill_core::time::Time;
use carawayrill_core::token::Token;
use proptest::prelude::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

fn failed(reason: RefusalReason, repeatable: bool) -> FailedTry {
    FailedTry {
        refusal: reason.into(),
        tries: 1,
        deadline: Time(10_000),
        repeatable,
        crossing_bytes: 0,
    }
}

fn decide_once(failed: &FailedTry, budget: &mut RetryBudget) -> RetryDecision {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    decide(failed, Time(0), &Backoff::default(), budget, &mut rng)
}

#[test]
fn which_reasons_are_tried_again() {
    let mut table = String::new();
    for reason in RefusalReason::ALL {
        let again = [false, true].map(|repeatable| {
            let decision = decide_once(&failed(*reason, repeatable), &mut RetryBudget::default());
            matches!(decision, RetryDecision::After(_))
        });
        let word = match again {
            [true, true] => "always",
            [false, true] => "if repeatable",
            _ => continue,
        };
        writeln!(table, "{reason}: {word}").unwrap();
    }
    insta::assert_snapshot!(table);
}

#[rstest]
#[case::in_time(10_000, 1, 0, true)]
#[case::past_the_deadline(5, 1, 0, false)]
#[case::too_many_tries(10_000, 8, 0, false)]
#[case::too_much_across_regions(10_000, 1, 10 << 20, false)]
fn limits_of_a_retry(
    #[case] deadline: u64,
    #[case] tries: u32,
    #[case] crossing_bytes: u64,
    #[case] again: bool,
) {
    let failed = FailedTry {
        tries,
        deadline: Time(deadline),
        crossing_bytes,
        ..failed(RefusalReason::HomeUnreachable, false)
    };
    let decision = decide_once(&failed, &mut RetryBudget::default());
    let expected = RetryDecision::GiveUp(Refusal::from(RefusalReason::HomeUnreachable));
    assert_eq!(decision != expected, again, "{decision:?}");
}

#[test]
fn waits_between_tries() {
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let waits: Vec<_> = (1..=10)
        .map(|tries| Backoff::default().wait(tries, &mut rng))
        .collect();
    insta::assert_debug_snapshot!(waits);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        rng_seed: proptest::test_runner::RngSeed::Fixed(29),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// If all requests fail, the number of retries is at most the burst plus a tenth of the first
    /// tries.
    #[test]
    fn retries_stay_within_the_budget(tries_of_each in prop::collection::vec(1_u32..8, 1..400)) {
        let mut budget = RetryBudget::default();
        let mut retries = 0;
        let mut rng = ChaCha8Rng::seed_from_u64(5);
        for tries in &tries_of_each {
            budget.deposit();
            for tries in 1..=*tries {
                let failed = FailedTry { tries, ..failed(RefusalReason::NoHome, false) };
                let decision = decide(&failed, Time(0), &Backoff::default(), &mut budget, &mut rng);
                retries += usize::from(matches!(decision, RetryDecision::After(_)));
            }
        }
        prop_assert!(retries <= 20 + tries_of_each.len() / 10);
    }

    /// A retry starts before the deadline, and its wait never exceeds the maximum.
    #[test]
    fn a_retry_starts_before_the_deadline(tries in 1_u32..8, deadline in 0_u64..2_000, seed: u64) {
        let failed = FailedTry {
            tries,
            deadline: Time(deadline),
            ..failed(RefusalReason::NoHome, false)
        };
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut budget = RetryBudget::default();
        let decision = decide(&failed, Time(0), &Backoff::default(), &mut budget, &mut rng);
        if let RetryDecision::After(wait) = decision {
            prop_assert!(Time(0) + wait < Time(deadline));
            prop_assert!(wait <= Duration::from_secs(1));
        }
    }
}

fn request(number: u32) -> RequestId {
    format!("r{number}").parse().unwrap()
}

fn server(number: u32) -> ServerId {
    format!("forms-{number}").parse().unwrap()
}

#[rstest]
#[case::matching(1, 1, 1, Ok(()))]
#[case::unknown_request(9, 1, 1, Err(Unmatched::NotInFlight))]
#[case::other_server(1, 2, 1, Err(Unmatched::OtherToken))]
#[case::other_token(1, 1, 2, Err(Unmatched::OtherToken))]
#[case::not_sent(2, 1, 1, Err(Unmatched::NotSent))]
fn an_answer_is_matched_to_its_own_request(
    #[case] number: u32,
    #[case] at: u32,
    #[case] epoch: u64,
    #[case] expected: Result<(), Unmatched>,
) {
    let mut table = InFlightTable::new(10);
    for number in 1..=2 {
        table.open(Time(0), &request(number), Time(100)).unwrap();
    }
    assert!(table.mark_sending(&request(1), &server(1), Token::new(4, 1)));
    let found = table.match_answer(&request(number), &server(at), Token::new(4, epoch));
    assert_eq!(found, expected);
    let again = table.match_answer(&request(number), &server(at), Token::new(4, epoch));
    assert_eq!(again, expected.and(Err(Unmatched::NotInFlight)));
    let counts = table.unmatched();
    let counted = counts.not_in_flight + counts.other_token + counts.not_sent;
    assert_eq!(counted, 1 + u64::from(expected.is_err()));
}

#[test]
fn the_in_flight_table_is_bounded() {
    let mut table = InFlightTable::new(1);
    table.open(Time(0), &request(1), Time(100)).unwrap();
    let again = table.open(Time(0), &request(1), Time(100)).unwrap_err();
    assert_eq!(again.reason, RefusalReason::BadRequest);
    let full = table.open(Time(0), &request(2), Time(100)).unwrap_err();
    assert_eq!(full.reason, RefusalReason::TableFull);
    assert_eq!(table.overdue(Time(99)), []);
    assert_eq!(table.overdue(Time(100)), [request(1)]);
    assert_eq!(
        table.shutdown_wait(Time(40)).longest,
        Duration::from_millis(60)
    );
}

#[test]
fn the_outcome_without_an_answer_depends_on_whether_bytes_were_written() {
    let mut table = InFlightTable::new(10);
    let reasons = (RefusalReason::DeadlinePassed, RefusalReason::AnswerLate);
    let mut outcomes = Vec::new();
    for number in 1..=3 {
        table.open(Time(0), &request(number), Time(100)).unwrap();
        if number > 1 {
            assert!(table.mark_sending(&request(number), &server(1), Token::new(4, 1)));
        }
        if number > 2 {
            table.mark_unsent(&request(number));
        }
        let given_up = table.give_up(&request(number), reasons.0, reasons.1);
        outcomes.push(given_up.unwrap().1.outcome());
        assert!(!table.mark_sending(&request(number), &server(1), Token::new(4, 1)));
    }
    assert_eq!(
        outcomes,
        [Outcome::NotRun, Outcome::Unknown, Outcome::NotRun]
    );
}

#[test]
fn only_bytes_between_regions_are_counted() {
    let mut table = TrafficTable::default();
    let shard = ShardId::range("forms".parse().unwrap(), 1);
    let east = "mids-east".parse().unwrap();
    let west = "mids-west".parse().unwrap();
    assert_eq!(table.count(&shard, &east, &east, 100), 0);
    assert_eq!(table.count(&shard, &east, &west, 200), 200);
    assert_eq!(table.count(&shard, &west, &east, 50), 50);
    assert_eq!(table.service_bytes(&shard.service), 250);
    assert_eq!(table.take_shard_bytes(), [(shard, 250)]);
    assert_eq!(table.take_shard_bytes(), []);
    insta::assert_json_snapshot!(table.cross_region_traffic());
}
