//! The retry budget that all fronts have in common, while fronts end, start and lose the granter.

use std::time::Duration;

use carawayrill_core::direct::budget::Allowance;
use carawayrill_core::direct::budget::RetryWindow;
use carawayrill_core::direct::fronts::DEFAULT_FRONT_COUNT;
use carawayrill_core::direct::fronts::FrontCount;
use carawayrill_core::time::Time;
use rstest::rstest;

const ALLOWANCE: Allowance = Allowance {
    ratio: 0.2,
    slack: 196.0,
    window: Duration::from_secs(10),
};
/// The time of one round, in which each front gets a request.
const ROUND_MS: u64 = 140;
/// The rounds of the longest window that the allowance covers.
const WINDOW_ROUNDS: usize = 10_000 / 140;
const RUN_MS: u64 = 40_000;

/// One process of a front.
struct Front {
    budget: RetryWindow,
    count: FrontCount,
}

impl Front {
    fn start(now: Time) -> Self {
        Self {
            budget: RetryWindow::new(ALLOWANCE),
            count: FrontCount::new(DEFAULT_FRONT_COUNT, ALLOWANCE.window, now),
        }
    }

    /// Starts a front together with the whole system.
    fn start_first(now: Time) -> Self {
        let front = Self::start(now);
        Self {
            count: front.count.without_predecessor(),
            ..front
        }
    }
}

/// What happens to a fleet in one round.
struct Round {
    now: Time,
    fronts: Vec<Front>,
    /// The number of fronts that the granter tells, if there is one.
    told: Option<u32>,
}

/// Plays a fleet whose fronts retry each request as often as they may. Returns, for each round, the
/// requests and the retries.
fn play(fronts: usize, disturb: impl Fn(&mut Round)) -> Vec<(u32, u32)> {
    let start = Time(1_000_000);
    let mut round = Round {
        now: start,
        fronts: (0..fronts).map(|_| Front::start_first(start)).collect(),
        told: u32::try_from(fronts).ok(),
    };
    let mut history = Vec::new();
    while round.now < start + Duration::from_millis(RUN_MS) {
        disturb(&mut round);
        let now = round.now;
        let mut retries = 0;
        for front in &mut round.fronts {
            if let Some(told) = round.told {
                front.count.update(told, now);
            }
            front.budget.record_request(now);
            for _ in 0..8 {
                retries += u32::from(front.budget.try_acquire(now, front.count.sharing(now)));
            }
        }
        history.push((u32::try_from(round.fronts.len()).unwrap(), retries));
        round.now = now + Duration::from_millis(ROUND_MS);
    }
    history
}

/// Asserts that in no window the retries exceed what the requests of that window allow.
fn assert_within_budget(history: &[(u32, u32)]) {
    for window in history.windows(WINDOW_ROUNDS) {
        let requests: u32 = window.iter().map(|(requests, _)| requests).sum();
        let retries: u32 = window.iter().map(|(_, retries)| retries).sum();
        let allowed = f64::from(requests) * ALLOWANCE.ratio + ALLOWANCE.slack;
        assert!(
            f64::from(retries) <= allowed,
            "{retries} retries in a window, allowed {allowed}"
        );
    }
}

fn elapsed_ms(round: &Round) -> u64 {
    round.now.0 - 1_000_000
}

/// Returns whether an event that comes every `every_ms` falls into this round.
fn is_due(round: &Round, every_ms: u64) -> bool {
    elapsed_ms(round) % every_ms < ROUND_MS
}

#[rstest]
#[case::each_two_seconds(31, 2_000, 17)]
#[case::each_second_a_few(31, 1_000, 4)]
#[case::all_of_a_large_fleet(300, 5_000, 300)]
fn fronts_that_are_killed_again_and_again_do_not_spend_the_constant_anew(
    #[case] fronts: usize,
    #[case] every_ms: u64,
    #[case] killed: usize,
) {
    let history = play(fronts, |round| {
        if is_due(round, every_ms) {
            let first = usize::try_from(elapsed_ms(round) / every_ms).unwrap() * 7;
            for index in first..first + killed {
                round.fronts[index % fronts] = Front::start(round.now);
            }
        }
    });
    assert_within_budget(&history);
}

#[rstest]
#[case::few(31)]
#[case::many(300)]
fn fronts_that_start_without_a_granter_do_not_guess_their_share(#[case] fronts: usize) {
    let history = play(fronts, |round| round.told = None);
    assert_within_budget(&history);
}

#[test]
fn fronts_that_join_do_not_add_to_what_the_others_have_spent() {
    let history = play(10, |round| {
        if is_due(round, 500) && elapsed_ms(round) > 3_000 {
            round.fronts.push(Front::start(round.now));
        }
        round.told = u32::try_from(round.fronts.len()).ok();
    });
    assert_within_budget(&history);
}

#[test]
fn fronts_that_lost_the_granter_leave_the_constant_to_those_that_have_it() {
    let mut history = Vec::new();
    let with_granter = play(31, |round| {
        // Half of the fronts go on with the granter, which counts them alone.
        round.told = Some(if elapsed_ms(round) < 12_000 { 31 } else { 16 });
    });
    let without = play(31, |round| {
        round.told = (elapsed_ms(round) < 12_000).then_some(31);
    });
    for (with, without) in with_granter.iter().zip(&without) {
        history.push((31, with.1 * 16 / 31 + without.1 * 15 / 31));
    }
    assert_within_budget(&history);
}

#[test]
fn a_granter_that_has_heard_of_few_fronts_yet_does_not_give_out_the_constant_to_each() {
    let history = play(31, |round| {
        round.told = match elapsed_ms(round) {
            // No front is the granter for longer than the window.
            10_000..24_000 => None,
            // The fronts join the new one.
            24_000..24_300 => Some(1),
            24_300..24_600 => Some(9),
            _ => Some(31),
        };
    });
    assert_within_budget(&history);
}

#[test]
fn a_steady_fleet_gets_most_of_its_budget() {
    let history = play(31, |_| {});
    let window = &history[history.len() - WINDOW_ROUNDS..];
    let retries: u32 = window.iter().map(|(_, retries)| retries).sum();
    let requests: u32 = window.iter().map(|(requests, _)| requests).sum();
    let allowed = f64::from(requests) * ALLOWANCE.ratio + ALLOWANCE.slack;
    assert!(
        f64::from(retries) >= allowed * 0.7,
        "{retries} of {allowed}"
    );
}
