//! The current speed of servers: alone, and among many fronts in virtual time.

mod pace_fleet;

use std::time::Duration;

use carawayrill_core::direct::load::AttemptResult;
use carawayrill_core::direct::load::ServerLoad;
use carawayrill_core::direct::pace::Pace;
use carawayrill_core::time::Time;
use rstest::rstest;

use self::pace_fleet::Figures;
use self::pace_fleet::Outcome;
use self::pace_fleet::Settings;
use self::pace_fleet::run;

/// The number of seeds of each fleet test.
const SEEDS: u64 = 24;
/// The most requests of a server, as a multiple of the mean.
const MAX_SHARE: f64 = 1.6;
/// The most by which the time that 99 % of the responses don't exceed may change over all seeds. In
/// one seed it varies by a tenth.
const MAX_P99_RATIO: f64 = 1.02;
/// The usual service time in the tests of one estimate, in milliseconds.
const USUAL_MS: f64 = 100.0;

fn pace(percent: f64) -> Pace {
    Pace::from_percent(percent).expect("a valid pace")
}

fn load() -> ServerLoad {
    ServerLoad::new(4, Duration::ZERO, Some(USUAL_MS), Time(0))
}

/// Ends a request that took `took`, with a report of the server's speed.
fn measure(load: &mut ServerLoad, now: Time, took: Duration, percent: Option<f64>) {
    load.begin_request();
    if let Some(pace) = percent.and_then(Pace::from_percent) {
        load.record_pace(now, pace);
    }
    load.end_request(now, AttemptResult::Served, took, 0.0);
}

/// Guards against a figure that makes an estimate useless, or lets one server attract all requests.
#[rstest]
#[case::lowest(10.0, Some(0.1))]
#[case::usual(100.0, Some(1.0))]
#[case::fraction(112.4, Some(1.12))]
#[case::highest(1_000.0, Some(10.0))]
#[case::too_low(9.9, None)]
#[case::zero(0.0, None)]
#[case::negative(-100.0, None)]
#[case::too_high(1_000.1, None)]
#[case::not_a_number(f64::NAN, None)]
#[case::infinite(f64::INFINITY, None)]
fn a_bad_figure_is_ignored(#[case] percent: f64, #[case] factor: Option<f64>) {
    assert_eq!(Pace::from_percent(percent).map(Pace::factor), factor);
}

/// Guards against other estimates where servers report no speed, or always the usual one.
#[test]
fn the_usual_speed_changes_no_estimate() {
    let (mut without, mut with) = (load(), load());
    for (at, took_ms) in [(100, 90), (350, 310), (900, 40), (6_000, 1_700)] {
        let took = Duration::from_millis(took_ms);
        measure(&mut without, Time(at), took, None);
        measure(&mut with, Time(at), took, Some(100.0));
        for now in [Time(at), Time(at + 70), Time(at + 5_000)] {
            let bits = |load: &ServerLoad| {
                let service_ms = load.service_ms(now).expect("measured");
                (service_ms.to_bits(), load.response_ms(now).to_bits())
            };
            assert_eq!(bits(&without), bits(&with));
        }
    }
}

/// Guards against figures that count when they no longer hold.
#[test]
fn a_figure_counts_less_with_its_age() {
    let mut load = load();
    load.record_pace(Time(1_000), pace(300.0));
    let factor = |age_ms: u64| load.response_ms(Time(1_000 + age_ms)) / USUAL_MS;
    assert!(factor(0) > 2.5, "{}", factor(0));
    assert!((1.5..2.0).contains(&factor(200)), "{}", factor(200));
    assert!(factor(800) < 1.15, "{}", factor(800));
    assert!(factor(5_000) < 1.001, "{}", factor(5_000));
}

/// Guards against a figure of one moment that counts for a response that takes seconds.
#[test]
fn a_figure_counts_only_for_the_start_of_a_long_request() {
    let mut load = ServerLoad::new(4, Duration::ZERO, Some(2_000.0), Time(0));
    load.record_pace(Time(0), pace(300.0));
    assert!(load.response_ms(Time(0)) < 2_000.0 * 1.4);
}

/// Guards against a slow moment that raises the average for seconds.
#[test]
fn a_time_that_was_measured_at_low_speed_hardly_changes_the_average() {
    let mut load = load();
    measure(
        &mut load,
        Time(1_000),
        Duration::from_millis(300),
        Some(300.0),
    );
    let service_ms = load.service_ms(Time(1_000)).expect("measured");
    assert!(
        (USUAL_MS..USUAL_MS * 1.5).contains(&service_ms),
        "{service_ms}"
    );
}

/// Guards against an average that is too low because the speed changed just before the response.
#[test]
fn a_long_time_is_not_divided_by_a_figure_of_its_last_moment() {
    let mut load = load();
    measure(&mut load, Time(9_000), Duration::from_secs(4), Some(300.0));
    let service_ms = load.service_ms(Time(9_000)).expect("measured");
    assert!(service_ms > 3_300.0, "{service_ms}");
}

fn outcomes(fronts: usize, requests_per_s: f64, figures: Figures) -> Vec<Outcome> {
    let settings = |seed| Settings {
        seed,
        fronts,
        requests_per_s,
        figures,
    };
    (0..SEEDS).map(|seed| run(settings(seed))).collect()
}

/// Guards against fronts that act on old figures, or all choose the server that has become fast.
#[rstest]
#[case::few_fronts(11, 400.0)]
#[case::many_fronts(70, 300.0)]
#[case::busy(70, 400.0)]
#[case::nearly_full(70, 460.0)]
fn callers_are_answered_no_later_with_the_figure(
    #[case] fronts: usize,
    #[case] requests_per_s: f64,
) {
    let without = outcomes(fronts, requests_per_s, Figures::Absent);
    let with = outcomes(fronts, requests_per_s, Figures::True);
    let pairs = || without.iter().zip(&with);
    let sooner = pairs()
        .filter(|(without, with)| with.mean_ms() < without.mean_ms())
        .count();
    assert!(2 * sooner > with.len(), "sooner in {sooner} seeds");
    let total = |all: &[Outcome], figure: fn(&Outcome) -> f64| all.iter().map(figure).sum::<f64>();
    let mean_ratio = total(&with, Outcome::mean_ms) / total(&without, Outcome::mean_ms);
    let p99_ratio = total(&with, Outcome::p99_ms) / total(&without, Outcome::p99_ms);
    eprintln!("sooner in {sooner} seeds; mean x {mean_ratio:.4}, 99 % x {p99_ratio:.4}");
    assert!(mean_ratio <= 1.0, "the mean changes by {mean_ratio}");
    assert!(p99_ratio <= MAX_P99_RATIO, "99 % change by {p99_ratio}");
    for (without, with) in pairs() {
        assert!(with.refused <= without.refused, "{} refused", with.refused);
        let share = with.largest_share();
        assert!(share < MAX_SHARE, "a share of {share}");
    }
}

/// Guards against a server that attracts requests by a wrong figure.
#[rstest]
fn a_server_gains_nothing_by_a_figure_that_is_too_low(#[values(11, 70)] fronts: usize) {
    for outcome in outcomes(fronts, 400.0, Figures::OneTooLow) {
        let share = outcome.share(0);
        assert!(share < 1.0, "a share of {share}");
        let largest = outcome.largest_share();
        assert!(largest < MAX_SHARE, "a share of {largest}");
    }
}
