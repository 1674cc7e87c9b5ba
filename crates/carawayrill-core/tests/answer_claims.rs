//! Claims: what a repeat is told, bounded memory, and copies at the standby home.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use carawayrill_core::answer::claims::CLAIM_BYTES;
use carawayrill_core::answer::claims::Claim;
use carawayrill_core::answer::claims::ClaimConfig;
use carawayrill_core::answer::claims::ClaimKey;
use carawayrill_core::answer::claims::ClaimTable;
use carawayrill_core::answer::claims::Fingerprint;
use carawayrill_core::answer::claims::IdempotencyKey;
use carawayrill_core::answer::claims::Lineage;
use carawayrill_core::answer::claims::Origin;
use carawayrill_core::answer::claims::Repeat;
use carawayrill_core::answer::claims::origin_of;
use carawayrill_core::answer::mirror::MirrorTable;
use carawayrill_core::answer::mirror::Need;
use carawayrill_core::answer::refusal::RefusalReason;
use carawayrill_core::answer::reply::Answer;
use carawayrill_core::assignment::Assignment;
use carawayrill_core::assignment::Reason;
use carawayrill_core::id::Incarnation;
use carawayrill_core::id::KeyHash;
use carawayrill_core::id::RouterId;
use carawayrill_core::id::ShardId;
use carawayrill_core::ownership::evidence::RouterIncarnation;
use carawayrill_core::time::Time;
use carawayrill_core::time::WallTime;
use carawayrill_core::token::Term;
use carawayrill_core::token::Token;
use proptest::prelude::*;
use rstest::rstest;

const WINDOW: Duration = Duration::from_mins(1);
const RUN: Incarnation = Incarnation(1);
const LINEAGE: Lineage = Lineage(9);
const TERM: Term = Term(4);

fn shard() -> ShardId {
    ShardId::range("renewals".parse().unwrap(), 0)
}

fn home() -> RouterId {
    "router-1".parse().unwrap()
}

fn key(name: &str) -> ClaimKey {
    ClaimKey {
        shard: shard(),
        key: KeyHash(3),
        idempotency: IdempotencyKey::try_from(name).unwrap(),
    }
}

fn answer(bytes: usize) -> Arc<Answer> {
    Arc::new(Answer {
        status: 200,
        headers: Vec::new(),
        body: vec![b'x'; bytes].into(),
        server: "renewals-1".parse().unwrap(),
        token: Token::new(4, 1),
    })
}

fn owned(cfg: ClaimConfig) -> ClaimTable {
    let mut table = ClaimTable::new(cfg);
    table.own(Time(0), &shard(), TERM, Origin::Initial, WINDOW);
    table
}

fn claim(table: &mut ClaimTable, now: u64, name: &str) -> String {
    claim_as(table, now, name, Fingerprint(1))
}

fn claim_as(table: &mut ClaimTable, now: u64, name: &str, fingerprint: Fingerprint) -> String {
    match table.claim(Time(now), &key(name), fingerprint, WINDOW) {
        Ok(()) => "fresh".into(),
        Err(Repeat::First(answer)) => format!("first answer of {} bytes", answer.body.len()),
        Err(Repeat::Refused(refusal)) => refusal.reason.to_string(),
    }
}

#[rstest]
#[case::in_progress("", 0, "in-progress")]
#[case::in_progress_for_long("", 999_000, "in-progress")]
#[case::answered("answered", 0, "first answer of 10 bytes")]
#[case::too_long("too-long", 0, "answer-not-kept")]
#[case::lost("lost", 0, "first-answer-lost")]
#[case::lost_then_answered("lost answered", 0, "first answer of 10 bytes")]
#[case::answered_then_lost("answered lost", 0, "first answer of 10 bytes")]
#[case::not_run("not-run", 0, "fresh")]
#[case::just_before_its_end("answered", 59_999, "first answer of 10 bytes")]
#[case::at_its_end("answered", 60_000, "fresh")]
fn what_a_repeat_is_told(#[case] steps: &str, #[case] later: u64, #[case] expected: &str) {
    let mut table = owned(ClaimConfig::default().max_answer(1_000));
    assert_eq!(claim(&mut table, 0, "k"), "fresh");
    for step in steps.split_whitespace() {
        match step {
            "answered" => table.answered(Time(0), &key("k"), &answer(10)),
            "too-long" => table.answered(Time(0), &key("k"), &answer(2_000)),
            "lost" => table.lost(Time(0), &key("k")),
            _ => table.not_run(&key("k")),
        }
    }
    table.expire(Time(later), 100);
    assert_eq!(claim(&mut table, later, "k"), expected);
}

#[test]
fn another_body_under_the_same_key_is_refused() {
    let mut table = owned(ClaimConfig::default());
    assert_eq!(claim(&mut table, 0, "k"), "fresh");
    assert_eq!(claim_as(&mut table, 0, "k", Fingerprint(2)), "body-differs");
    table.answered(Time(0), &key("k"), &answer(10));
    assert_eq!(claim_as(&mut table, 0, "k", Fingerprint(2)), "body-differs");
}

#[test]
fn a_full_table_refuses_and_forgets_nothing() {
    let mut table = owned(ClaimConfig::default().max_bytes(3 * (CLAIM_BYTES + 2)));
    for name in ["k0", "k1", "k2"] {
        assert_eq!(claim(&mut table, 0, name), "fresh");
    }
    assert_eq!(claim(&mut table, 0, "k3"), "claim-table-full");
    // No room is left for the answer either: it is not kept, and the claim stays.
    table.answered(Time(0), &key("k0"), &answer(10));
    assert_eq!(claim(&mut table, 0, "k0"), "answer-not-kept");
    assert_eq!(claim(&mut table, 0, "k1"), "in-progress");
    table.expire(Time(60_000), 100);
    assert_eq!(claim(&mut table, 60_000, "k3"), "fresh");
    assert_eq!(table.len(), 3);
}

#[rstest]
#[case::empty("")]
#[case::blank("a b")]
#[case::too_long(&"k".repeat(129))]
fn unusable_idempotency_keys(#[case] text: &str) {
    IdempotencyKey::try_from(text).unwrap_err();
}

/// Makes a standby home whose copy holds one claim in progress and one that was answered.
fn standby(complete: Option<Lineage>) -> ClaimTable {
    let mut source = owned(ClaimConfig::default());
    claim(&mut source, 0, "running");
    claim(&mut source, 0, "answered");
    source.answered(Time(0), &key("answered"), &answer(10));
    let mut table = ClaimTable::new(ClaimConfig::default());
    table.begin_copy(&shard(), &home(), RUN);
    for claim in source.export(Time(0), &shard()) {
        assert!(table.keep_copy(Time(0), claim, &home(), RUN));
    }
    if let Some(lineage) = complete {
        assert!(table.complete_copy(&shard(), &home(), RUN, lineage));
    }
    table
}

#[rstest]
#[case::complete(Some(LINEAGE), "fresh")]
#[case::incomplete(None, "claims-not-known")]
#[case::of_a_former_assignment(Some(Lineage(8)), "claims-not-known")]
fn a_takeover_without_all_claims_refuses_for_the_window(
    #[case] complete: Option<Lineage>,
    #[case] expected: &str,
) {
    let mut table = standby(complete);
    assert_eq!(claim(&mut table, 0, "other"), "not-home");
    let origin = Origin::TakenOver(LINEAGE);
    table.own(Time(1_000), &shard(), TERM.reserved(), origin, WINDOW);
    assert!(table.owns(&shard(), TERM.reserved()));
    assert_eq!(claim(&mut table, 1_000, "running"), "first-answer-lost");
    assert_eq!(
        claim(&mut table, 1_000, "answered"),
        "first answer of 10 bytes"
    );
    assert_eq!(claim(&mut table, 60_999, "other"), expected);
    assert_eq!(claim(&mut table, 61_000, "another"), "fresh");
}

const APPOINTED: Origin = Origin::Appointed(LINEAGE);
const STOOD_IN: Origin = Origin::TakenOver(LINEAGE);

#[rstest]
#[case::same_term(4, 4, APPOINTED, "fresh")]
#[case::own_takeover_is_recorded(5, 6, APPOINTED, "fresh")]
#[case::appointed_again(4, 6, APPOINTED, "fresh")]
#[case::another_was_appointed_between(4, 8, APPOINTED, "claims-not-known")]
#[case::another_was_appointed_after_it_stood_in(5, 8, APPOINTED, "claims-not-known")]
#[case::stands_in_for_another(4, 7, STOOD_IN, "claims-not-known")]
#[case::stands_in_for_itself(4, 5, STOOD_IN, "claims-not-known")]
fn what_a_change_of_term_means(
    #[case] first: u64,
    #[case] second: u64,
    #[case] origin: Origin,
    #[case] expected: &str,
) {
    let mut table = ClaimTable::new(ClaimConfig::default());
    table.own(Time(0), &shard(), Term(first), Origin::Initial, WINDOW);
    table.own(Time(0), &shard(), Term(second), origin, WINDOW);
    assert_eq!(claim(&mut table, 0, "k"), expected);
}

fn assignment() -> Assignment {
    Assignment {
        shard: shard(),
        owner: "renewals-1".parse().unwrap(),
        standby: None,
        home: home(),
        home_run: RUN,
        standby_home: Some(Pair::standby_id()),
        standby_home_run: RUN,
        token: Token::new(4, 1),
        reason: Reason::Initial,
        since: WallTime(0),
    }
}

#[rstest]
#[case::first_home("router-1", 1, 4, Reason::Initial, "initial")]
#[case::first_home_restarted("router-1", 2, 4, Reason::Initial, "nothing is known")]
#[case::appointed_later("router-1", 1, 4, Reason::Drain, "appointed by this assignment")]
#[case::standby_home("router-2", 1, 5, Reason::Initial, "this assignment")]
#[case::standby_home_restarted("router-2", 2, 5, Reason::Initial, "nothing is known")]
#[case::another("router-3", 1, 4, Reason::Initial, "nothing is known")]
#[case::under_a_later_term("router-1", 1, 6, Reason::Initial, "not this assignment")]
#[case::under_an_earlier_term("router-1", 1, 2, Reason::Initial, "not this assignment")]
fn what_an_assignment_tells_of_claims(
    #[case] router: &str,
    #[case] run: u64,
    #[case] term: u64,
    #[case] reason: Reason,
    #[case] expected: &str,
) {
    let me = RouterIncarnation {
        router: router.parse().unwrap(),
        incarnation: Incarnation(run),
    };
    let row = Assignment {
        reason,
        ..assignment()
    };
    let told = match origin_of(&row, &me, Term(term)) {
        None => "not this assignment",
        Some(Origin::Initial) => "initial",
        Some(Origin::Appointed(lineage)) if lineage == Lineage::of(&row) => {
            "appointed by this assignment"
        }
        Some(Origin::TakenOver(Lineage::UNKNOWN)) => "nothing is known",
        Some(Origin::TakenOver(lineage)) if lineage == Lineage::of(&row) => "this assignment",
        Some(Origin::Appointed(_) | Origin::TakenOver(_)) => "another assignment",
    };
    assert_eq!(told, expected);
}

#[test]
fn an_assignment_that_is_written_again_has_another_lineage() {
    let again = Assignment {
        since: WallTime(1),
        ..assignment()
    };
    assert_ne!(Lineage::of(&assignment()), Lineage::of(&again));
}

#[test]
fn requests_differ_by_each_of_their_parts() {
    let parts = [
        ("POST", "/a", "xy"),
        ("PUT", "/a", "xy"),
        ("POST", "/ax", "y"),
        ("POST", "/a", "x"),
    ];
    let prints = parts.map(|(method, path, body)| Fingerprint::of(method, path, body.as_bytes()));
    let different: BTreeSet<_> = prints.into_iter().collect();
    assert_eq!(different.len(), parts.len());
}

#[test]
fn a_copy_takes_nothing_from_another_run_of_the_home() {
    let mut table = standby(Some(LINEAGE));
    let left = WINDOW;
    let stray = Claim {
        key: key("stray"),
        fingerprint: Fingerprint(1),
        state: carawayrill_core::answer::claims::ClaimState::InProgress,
        left,
    };
    assert!(!table.keep_copy(Time(0), stray, &home(), Incarnation(2)));
    assert!(!table.complete_copy(&shard(), &home(), Incarnation(2), LINEAGE));
}

#[test]
fn claims_go_along_when_a_hot_key_is_split_out() {
    let mut table = owned(ClaimConfig::default());
    claim(&mut table, 0, "k");
    let hot = ShardId::hot(shard().service, KeyHash(3));
    let bytes = table.bytes();
    table.resplit(KeyHash(3), &shard(), &hot);
    let moved = ClaimKey {
        shard: hot,
        ..key("k")
    };
    assert_eq!(
        table.claim(Time(0), &moved, Fingerprint(1), WINDOW),
        Err(Repeat::Refused(RefusalReason::InProgress.into()))
    );
    assert_eq!(table.bytes(), bytes);
}

/// One step of the home, the link to its standby home, or the standby home.
#[derive(Debug, Clone, Copy)]
enum Step {
    Claim(u8),
    Answer(u8),
    Copy { lost: bool, unanswered: bool },
    RestartStandby,
    NewLineage,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        6 => (0_u8..6).prop_map(Step::Claim),
        2 => (0_u8..6).prop_map(Step::Answer),
        3 => (any::<bool>(), any::<bool>())
            .prop_map(|(lost, unanswered)| Step::Copy { lost, unanswered }),
        1 => Just(Step::RestartStandby),
        1 => Just(Step::NewLineage),
    ];
    prop::collection::vec(step, 1..60)
}

/// A home and its standby home, with a link that loses messages and answers.
struct Pair {
    home: ClaimTable,
    mirror: MirrorTable,
    standby: ClaimTable,
    standby_run: Incarnation,
    lineage: Lineage,
    sent: BTreeSet<u8>,
}

impl Pair {
    fn new() -> Self {
        let mut pair = Self {
            home: owned(ClaimConfig::default()),
            mirror: MirrorTable::default(),
            standby: ClaimTable::new(ClaimConfig::default()),
            standby_run: Incarnation(1),
            lineage: LINEAGE,
            sent: BTreeSet::new(),
        };
        pair.name_standby();
        pair
    }

    fn standby_id() -> RouterId {
        "router-2".parse().unwrap()
    }

    fn name_standby(&mut self) {
        let standby = Self::standby_id();
        self.mirror
            .set_standby(&shard(), Some(&standby), self.lineage);
    }

    fn claim(&mut self, number: u8, reaches: bool) {
        let key = key(&format!("k{number}"));
        if claim(&mut self.home, 0, key.idempotency.as_str()) != "fresh" {
            return;
        }
        if self.mirror.need(&shard()) == Need::Nothing {
            self.sent.insert(number);
            return;
        }
        let copy = self.home.get(Time(0), &key).unwrap();
        if reaches && self.standby.keep_copy(Time(0), copy, &home(), RUN) {
            self.sent.insert(number);
        } else {
            self.home.not_run(&key);
        }
    }

    fn copy(&mut self, lost: bool, unanswered: bool) {
        let standby = Self::standby_id();
        let Some(sync) = self.mirror.to_sync(&standby, 1).pop() else {
            return;
        };
        let claims = self.home.export(Time(0), &shard());
        assert!(self.mirror.completing(&sync));
        if lost {
            return;
        }
        self.standby.begin_copy(&shard(), &home(), RUN);
        for claim in claims {
            assert!(self.standby.keep_copy(Time(0), claim, &home(), RUN));
        }
        assert!(
            self.standby
                .complete_copy(&shard(), &home(), RUN, sync.lineage)
        );
        if !unanswered {
            self.mirror.completed(&sync, self.standby_run);
        }
    }

    fn run(&mut self, step: Step) {
        match step {
            Step::Claim(number) => self.claim(number, number % 2 == 0),
            Step::Answer(number) => {
                let key = key(&format!("k{number}"));
                self.home.answered(Time(0), &key, &answer(1));
            }
            Step::Copy { lost, unanswered } => self.copy(lost, unanswered),
            Step::RestartStandby => {
                self.standby = ClaimTable::new(ClaimConfig::default());
                self.standby_run = self.standby_run.next();
                self.mirror.seen(&Self::standby_id(), self.standby_run);
            }
            Step::NewLineage => {
                self.lineage = Lineage(self.lineage.0 + 1);
                self.name_standby();
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 500,
        rng_seed: proptest::test_runner::RngSeed::Fixed(23),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Wherever the home stops, its standby home runs nothing that may have run before.
    #[test]
    fn a_takeover_runs_nothing_twice(steps in steps()) {
        let mut pair = Pair::new();
        for step in steps {
            pair.run(step);
        }
        let origin = Origin::TakenOver(pair.lineage);
        pair.standby
            .own(Time(0), &shard(), TERM.reserved(), origin, WINDOW);
        for number in pair.sent {
            let told = claim(&mut pair.standby, 0, &format!("k{number}"));
            prop_assert_ne!(told, "fresh", "k{} runs twice", number);
        }
    }

    /// The table never takes more than its bytes, and counts them right.
    #[test]
    fn memory_is_bounded(
        steps in prop::collection::vec((0_u8..5, 0_u16..40, 0_usize..900, 0_u64..30_000), 1..200)
    ) {
        let max = 8_000;
        let mut table = owned(ClaimConfig::default().max_bytes(max));
        let mut now = 0;
        for (verb, number, bytes, pass) in steps {
            let name = format!("k{number}");
            match verb {
                0 | 1 => drop(claim(&mut table, now, &name)),
                2 => table.answered(Time(now), &key(&name), &answer(bytes)),
                3 => table.not_run(&key(&name)),
                _ => {
                    now += pass;
                    table.expire(Time(now), 1_000);
                }
            }
            prop_assert!(table.bytes() <= max);
            let sizes = table.export(Time(now), &shard()).into_iter().map(|claim| {
                let kept = match claim.state {
                    carawayrill_core::answer::claims::ClaimState::Answered(answer) => answer.size(),
                    _ => 0,
                };
                let name = claim.key.idempotency.as_str().len();
                CLAIM_BYTES + u64::try_from(name).unwrap() + kept
            });
            prop_assert_eq!(table.bytes(), sizes.sum::<u64>());
        }
    }
}
