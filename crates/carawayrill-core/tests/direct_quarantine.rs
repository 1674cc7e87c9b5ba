//! Requests that crash servers: when one is refused, and what fronts tell each other.

mod crash_fleet;

use std::time::Duration;

use carawayrill_core::direct::incarnation::Born;
use carawayrill_core::direct::quarantine::Admission;
use carawayrill_core::direct::quarantine::Crash;
use carawayrill_core::direct::quarantine::CrashTable;
use carawayrill_core::direct::quarantine::Fingerprints;
use carawayrill_core::direct::quarantine::Scope;
use carawayrill_core::time::Time;
use crash_fleet::Fleet;
use crash_fleet::MAX_LATE_ARRIVALS;
use crash_fleet::Outcome;
use crash_fleet::Play;
use crash_fleet::content;
use rstest::rstest;

fn crash(server: u64, sent: u64, ended: u64) -> Crash {
    Crash {
        server: format!("i-{server}").parse().expect("a name"),
        born: Born(1),
        sent: Time(sent),
        ended: Time(ended),
    }
}

/// Records crashes at one front.
fn record(table: &mut CrashTable, content: &Fingerprints, crashes: &[Crash]) -> usize {
    let mut counted = 0;
    for crash in crashes {
        counted = table.record_crash(content, crash, crash.ended);
    }
    counted
}

const SUCCESSIVE: [(u64, u64, u64); 3] = [(1, 0, 100), (2, 100, 400), (3, 450, 700)];

fn successive() -> Vec<Crash> {
    let crashes = SUCCESSIVE.iter();
    crashes
        .map(|(server, sent, ended)| crash(*server, *sent, *ended))
        .collect()
}

#[test]
fn a_request_is_refused_after_three_successive_crashes() {
    let request = content("/a", "");
    let mut table = CrashTable::default();
    assert_eq!(record(&mut table, &request, &successive()[..2]), 2);
    assert_eq!(table.refused_for(&request, Time(700)), None);
    assert_eq!(record(&mut table, &request, &successive()[2..]), 3);
    let left = table.refused_for(&request, Time(700));
    assert_eq!(left, Some(Duration::from_mins(10)));
    assert_eq!(table.refused_for(&content("/b", ""), Time(700)), None);
}

#[rstest]
#[case::at_the_same_time(&[crash(1, 0, 100), crash(2, 10, 100), crash(3, 20, 110)], 1)]
#[case::of_the_same_incarnation(&[crash(1, 0, 100), crash(1, 100, 350), crash(1, 350, 700)], 1)]
#[case::within_200_ms(&[crash(1, 0, 100), crash(2, 100, 180), crash(3, 190, 290)], 1)]
#[case::two_after_each_other(&[crash(1, 0, 100), crash(2, 50, 350), crash(3, 355, 360)], 2)]
#[case::reported_in_another_order(&[crash(3, 450, 700), crash(1, 0, 100), crash(2, 100, 400)], 3)]
fn crashes_count_that_follow_each_other(#[case] crashes: &[Crash], #[case] expected: usize) {
    let mut table = CrashTable::default();
    assert_eq!(record(&mut table, &content("/a", ""), crashes), expected);
}

/// Returns crashes of so many servers at once, under copies of a request that were sent at `sent`.
fn burst(first_server: u64, servers: u64, sent: u64) -> Vec<Crash> {
    (0..servers)
        .map(|number| crash(first_server + number, sent + number, sent + 100 + number))
        .collect()
}

#[rstest]
fn crashes_at_the_same_time_do_not_crowd_out_those_that_follow(
    #[values(2, 8, 9, 40)] servers: u64,
) {
    let request = content("/a", "");
    let mut table = CrashTable::default();
    for (number, sent) in [0, 500, 1_000].into_iter().enumerate() {
        let first = u64::try_from(number).expect("fits") * servers;
        record(&mut table, &request, &burst(first, servers, sent));
    }
    assert!(table.refused_for(&request, Time(1_200)).is_some());
}

#[test]
fn an_answer_ends_all_suspicion() {
    let request = content("/a", "");
    let mut table = CrashTable::default();
    record(&mut table, &request, &successive());
    assert!(table.record_served(&request, Time(800)));
    assert_eq!(table.refused_for(&request, Time(800)), None);
    // A late report of an earlier crash counts no more.
    assert_eq!(record(&mut table, &request, &[crash(4, 710, 750)]), 0);
}

#[test]
fn a_request_may_run_again_after_the_quarantine_and_is_refused_after_one_more_crash() {
    let request = content("/a", "");
    let mut table = CrashTable::default();
    record(&mut table, &request, &successive());
    let after = Time(700) + Duration::from_mins(10);
    assert_eq!(table.refused_for(&request, after), None);
    let next = crash(4, after.0 + 10, after.0 + 20);
    record(&mut table, &request, std::slice::from_ref(&next));
    assert!(table.refused_for(&request, next.ended).is_some());
}

/// Servers that crash whatever they run may have been replaced. Each trial costs a server if not.
#[test]
fn one_front_tries_a_refused_request_more_and_more_seldom() {
    let request = content("/a", "");
    let mut table = CrashTable::default();
    record(&mut table, &request, &successive());
    table.set_trier(true);
    let mut now = Time(700);
    let mut trials = Vec::new();
    while now < Time(700) + Duration::from_mins(15) {
        now = now + Duration::from_millis(500);
        if table.begin_send(&request, now) == Admission::Send {
            trials.push(now.0 / 1_000);
            let next = u64::try_from(trials.len()).expect("fits") + 3;
            record(&mut table, &request, &[crash(next, now.0, now.0 + 300)]);
        }
    }
    assert_eq!(trials, [30, 151, 631]);
}

#[test]
fn a_trial_without_a_result_is_followed_by_none_for_as_long() {
    let request = content("/a", "");
    let mut table = CrashTable::default();
    record(&mut table, &request, &successive());
    table.set_trier(true);
    let due = Time(700) + Duration::from_secs(30);
    let is_refused = |admission| matches!(admission, Admission::Refuse(_));
    assert_eq!(table.begin_send(&request, due), Admission::Send);
    assert!(is_refused(table.begin_send(&request, due)));
    let next = due + Duration::from_secs(30);
    assert!(table.refused_for(&request, Time(next.0 - 1)).is_some());
    assert_eq!(table.begin_send(&request, next), Admission::Send);
}

#[test]
fn other_fronts_don_t_try_a_refused_request() {
    let request = content("/a", "");
    let mut table = CrashTable::default();
    record(&mut table, &request, &successive());
    let due = Time(700) + Duration::from_mins(9);
    let admission = table.begin_send(&request, due);
    assert!(matches!(admission, Admission::Refuse(_)));
}

#[test]
fn a_request_is_recognised_when_only_its_query_changes() {
    let mut table = CrashTable::default();
    for (number, crash) in successive().iter().enumerate() {
        let request = content("/a", &format!("n={number}"));
        table.record_crash(&request, crash, crash.ended);
    }
    let other = content("/a", "n=9");
    assert!(table.refused_for(&other, Time(700)).is_some());
}

#[test]
fn an_answer_to_another_query_does_not_clear_a_request() {
    let request = content("/a", "n=1");
    let mut table = CrashTable::default();
    for crash in successive() {
        table.record_crash(&request, &crash, crash.ended);
        let _cleared = table.record_served(&content("/a", "n=2"), crash.ended);
    }
    assert!(table.refused_for(&request, Time(700)).is_some());
    assert_eq!(table.refused_for(&content("/a", "n=2"), Time(700)), None);
}

/// Each crash is seen by another front, and the clocks of the fronts differ.
#[test]
fn fronts_learn_of_crashes_that_others_saw() {
    let request = content("/a", "");
    let mut granter = CrashTable::default();
    for (front, seen) in (1_u64..).zip(successive()) {
        let shift = Duration::from_secs(front);
        let mut table = CrashTable::default();
        let shifted = Crash {
            sent: seen.sent + shift,
            ended: seen.ended + shift,
            ..seen
        };
        table.record_crash(&request, &shifted, shifted.ended);
        let reports = table.reports(Scope::Observed, 0, Time(700) + shift);
        for report in reports {
            granter.merge(&report, Time(700));
        }
    }
    let mut other = CrashTable::default();
    let shared = granter.reports(Scope::Shared, 0, Time(700));
    let refused: Vec<bool> = shared
        .iter()
        .map(|report| other.merge(report, Time(7_000)))
        .collect();
    assert_eq!(refused, [true]);
    assert!(other.refused_for(&request, Time(7_000)).is_some());
    // What a front was told is not reported back.
    assert_eq!(other.reports(Scope::Observed, 0, Time(7_000)), []);
    // An answer at any front reaches the others.
    let told = granter.change_count();
    let _cleared = granter.record_served(&request, Time(800));
    for report in granter.reports(Scope::Shared, told, Time(800)) {
        let _refused = other.merge(&report, Time(7_100));
    }
    assert_eq!(other.refused_for(&request, Time(7_100)), None);
}

#[test]
fn most_requests_at_a_crashed_server_are_told_to_nobody_else() {
    let mut table = CrashTable::default();
    for number in 0..20 {
        let request = content(&format!("/{number}"), "");
        table.record_crash(&request, &crash(1, 0, 100), Time(100));
    }
    assert_eq!(table.reports(Scope::Shared, 0, Time(100)), []);
    assert_eq!(table.reports(Scope::Observed, 0, Time(100)).len(), 20);
}

/// Crashes of one server that had two copies, and of two servers.
#[rstest]
#[case::two_copies(&[crash(1, 0, 100), crash(1, 20, 100)])]
#[case::two_servers(&[crash(1, 0, 100), crash(2, 10, 100)])]
#[case::one_after_the_other(&[crash(1, 0, 100), crash(2, 150, 300)])]
fn copies_of_a_suspect_request_are_sent_one_at_a_time_by_one_front(#[case] crashes: &[Crash]) {
    let request = content("/a", "");
    let mut granter = CrashTable::default();
    granter.set_trier(true);
    record(&mut granter, &request, crashes);
    let mut other = CrashTable::default();
    for report in granter.reports(Scope::Shared, 0, Time(300)) {
        other.merge_shared(&report, Time(300));
    }
    let is_held = |admission| matches!(admission, Admission::Wait(_));
    assert!(is_held(
        granter.begin_send(&request, Time(300).min(crashes[1].ended))
    ));
    let next = Time(600);
    assert_eq!(other.begin_send(&request, next), Admission::PassOn);
    assert!(is_held(other.begin_send(&request, next)));
    assert_eq!(granter.begin_send(&request, next), Admission::Send);
    assert!(is_held(granter.begin_send(&request, next)));
    // No result is known.
    let later = next + Duration::from_secs(1);
    assert_eq!(granter.begin_send(&request, later), Admission::Send);
    granter.record_served(&request, later);
    assert_eq!(granter.begin_send(&request, later), Admission::Send);
    assert_eq!(granter.begin_send(&request, later), Admission::Send);
}

#[rstest]
#[case::one(&[crash(1, 0, 100)])]
#[case::one_and_its_retry(&[crash(1, 0, 100), crash(2, 100, 140)])]
fn one_lost_copy_may_have_been_at_the_server_by_chance(#[case] crashes: &[Crash]) {
    let request = content("/a", "");
    let mut table = CrashTable::default();
    record(&mut table, &request, crashes);
    assert_eq!(table.begin_send(&request, Time(100)), Admission::Send);
    assert_eq!(table.begin_send(&request, Time(100)), Admission::Send);
}

#[test]
fn memory_is_bounded_and_the_most_suspicious_requests_are_kept() {
    let request = content("/a", "");
    let mut table = CrashTable::default();
    record(&mut table, &request, &successive());
    for number in 0..5_000 {
        let other = content(&format!("/{number}"), "");
        table.record_crash(&other, &crash(9, 700, 800), Time(800));
    }
    assert!(table.reports(Scope::All, 0, Time(800)).len() <= 1_024);
    assert!(table.refused_for(&request, Time(800)).is_some());
}

fn assert_kept_from_servers(outcome: &Outcome) {
    assert!(outcome.late_arrivals <= MAX_LATE_ARRIVALS, "{outcome:?}");
    assert_eq!(outcome.wrongly_refused, 0, "{outcome:?}");
}

#[rstest]
fn a_fleet_keeps_a_crashing_request_from_servers(
    #[values(11, 300)] fronts: usize,
    #[values(
        Play::CrashingRequest,
        Play::CrashingPath,
        Play::GranterLost,
        Play::CrashingOwner
    )]
    play: Play,
) {
    let outcome = Fleet::new(fronts, play).run(Duration::from_secs(30));
    assert_kept_from_servers(&outcome);
    insta::assert_json_snapshot!(format!("fleet_{fronts}_{play:?}"), outcome);
}

#[rstest]
fn a_fleet_refuses_no_request_because_servers_are_lost(#[values(11, 300)] fronts: usize) {
    let outcome = Fleet::new(fronts, Play::ServersLost).run(Duration::from_secs(30));
    assert_kept_from_servers(&outcome);
    insta::assert_json_snapshot!(format!("fleet_{fronts}_ServersLost"), outcome);
}
