//! Claims: results of repeated requests, memory limits, and copies at the standby home.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use carawayrill_core::answer::claims::CLAIM_OVERHEAD_BYTES;
use carawayrill_core::answer::claims::Claim;
use carawayrill_core::answer::claims::ClaimConfig;
use carawayrill_core::answer::claims::ClaimError;
use carawayrill_core::answer::claims::ClaimKey;
use carawayrill_core::answer::claims::ClaimTable;
use carawayrill_core::answer::claims::Fingerprint;
use carawayrill_core::answer::claims::IdempotencyKey;
use carawayrill_core::answer::claims::Lineage;
use carawayrill_core::answer::claims::Origin;
use carawayrill_core::answer::claims::origin_of;
use carawayrill_core::answer::mirror::MirrorRequirement;
use carawayrill_core::answer::mirror::MirrorTable;
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
const INCARNATION: Incarnation = Incarnation(1);
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

fn home_table(cfg: ClaimConfig) -> ClaimTable {
    let mut table = ClaimTable::new(cfg);
    table.set_home(Time(0), &shard(), TERM, Origin::Initial, WINDOW);
    table
}

fn claim(table: &mut ClaimTable, now: u64, name: &str) -> String {
    claim_with_fingerprint(table, now, name, Fingerprint(1))
}

fn claim_with_fingerprint(
    table: &mut ClaimTable,
    now: u64,
    name: &str,
    fingerprint: Fingerprint,
) -> String {
    match table.claim(Time(now), &key(name), fingerprint, WINDOW) {
        Ok(()) => "fresh".into(),
        Err(ClaimError::AlreadyAnswered(answer)) => {
            format!("first answer of {} bytes", answer.body.len())
        }
        Err(ClaimError::Refused(refusal)) => refusal.reason.to_string(),
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
fn repeated_requests_get_the_known_state(
    #[case] steps: &str,
    #[case] later: u64,
    #[case] expected: &str,
) {
    let mut table = home_table(ClaimConfig::default().max_answer(1_000));
    assert_eq!(claim(&mut table, 0, "k"), "fresh");
    for step in steps.split_whitespace() {
        match step {
            "answered" => table.record_answer(Time(0), &key("k"), &answer(10)),
            "too-long" => table.record_answer(Time(0), &key("k"), &answer(2_000)),
            "lost" => table.record_loss(Time(0), &key("k")),
            _ => table.remove_not_run(&key("k")),
        }
    }
    table.expire(Time(later), 100);
    assert_eq!(claim(&mut table, later, "k"), expected);
}

#[test]
fn another_body_under_the_same_key_is_refused() {
    let mut table = home_table(ClaimConfig::default());
    assert_eq!(claim(&mut table, 0, "k"), "fresh");
    assert_eq!(
        claim_with_fingerprint(&mut table, 0, "k", Fingerprint(2)),
        "body-differs"
    );
    table.record_answer(Time(0), &key("k"), &answer(10));
    assert_eq!(
        claim_with_fingerprint(&mut table, 0, "k", Fingerprint(2)),
        "body-differs"
    );
}

#[test]
fn a_full_table_refuses_new_claims_and_drops_none() {
    let mut table = home_table(ClaimConfig::default().max_bytes(3 * (CLAIM_OVERHEAD_BYTES + 2)));
    for name in ["k0", "k1", "k2"] {
        assert_eq!(claim(&mut table, 0, name), "fresh");
    }
    assert_eq!(claim(&mut table, 0, "k3"), "claim-table-full");
    // The table has no space for the answer either; the answer is dropped and the claim stays.
    table.record_answer(Time(0), &key("k0"), &answer(10));
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
fn invalid_idempotency_keys_are_rejected(#[case] text: &str) {
    IdempotencyKey::try_from(text).unwrap_err();
}

/// Creates a standby home whose copy holds one claim in progress and one answered claim.
fn standby_table(complete: Option<Lineage>) -> ClaimTable {
    let mut source = home_table(ClaimConfig::default());
    claim(&mut source, 0, "running");
    claim(&mut source, 0, "answered");
    source.record_answer(Time(0), &key("answered"), &answer(10));
    let mut table = ClaimTable::new(ClaimConfig::default());
    table.begin_copy(&shard(), &home(), INCARNATION);
    for claim in source.export(Time(0), &shard()) {
        assert!(table.keep_copy(Time(0), claim, &home(), INCARNATION));
    }
    if let Some(lineage) = complete {
        assert!(table.complete_copy(&shard(), &home(), INCARNATION, lineage, Time(0)));
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
    let mut table = standby_table(complete);
    assert_eq!(claim(&mut table, 0, "other"), "not-home");
    let origin = Origin::TakenOver(LINEAGE);
    table.set_home(Time(1_000), &shard(), TERM.reserved(), origin, WINDOW);
    assert!(table.is_home_in_term(&shard(), TERM.reserved()));
    assert_eq!(claim(&mut table, 1_000, "running"), "first-answer-lost");
    assert_eq!(
        claim(&mut table, 1_000, "answered"),
        "first answer of 10 bytes"
    );
    assert_eq!(claim(&mut table, 60_999, "other"), expected);
    assert_eq!(claim(&mut table, 61_000, "another"), "fresh");
}

const APPOINTED: Origin = Origin::Appointed(LINEAGE);
const TAKEN_OVER: Origin = Origin::TakenOver(LINEAGE);

#[rstest]
#[case::same_term(4, 4, APPOINTED, "fresh")]
#[case::own_takeover_is_recorded(5, 6, APPOINTED, "fresh")]
#[case::appointed_again(4, 6, APPOINTED, "fresh")]
#[case::another_was_appointed_between(4, 8, APPOINTED, "claims-not-known")]
#[case::another_was_appointed_after_its_takeover(5, 8, APPOINTED, "claims-not-known")]
#[case::took_over_from_another_home(4, 7, TAKEN_OVER, "claims-not-known")]
#[case::took_over_from_itself(4, 5, TAKEN_OVER, "claims-not-known")]
fn claims_known_after_a_change_of_term(
    #[case] first: u64,
    #[case] second: u64,
    #[case] origin: Origin,
    #[case] expected: &str,
) {
    let mut table = ClaimTable::new(ClaimConfig::default());
    table.set_home(Time(0), &shard(), Term(first), Origin::Initial, WINDOW);
    table.set_home(Time(0), &shard(), Term(second), origin, WINDOW);
    assert_eq!(claim(&mut table, 0, "k"), expected);
}

fn assignment() -> Assignment {
    Assignment {
        shard: shard(),
        owner: "renewals-1".parse().unwrap(),
        standby: None,
        home: home(),
        home_run: INCARNATION,
        standby_home: Some(MirroredPair::standby_id()),
        standby_home_run: INCARNATION,
        token: Token::new(4, 1),
        reason: Reason::Initial,
        since: WallTime(0),
    }
}

#[rstest]
#[case::first_home("router-1", 1, 4, Reason::Initial, "initial")]
#[case::first_home_restarted("router-1", 2, 4, Reason::Initial, "unknown lineage")]
#[case::appointed_later("router-1", 1, 4, Reason::Drain, "appointed, this lineage")]
#[case::standby_home("router-2", 1, 5, Reason::Initial, "taken over, this lineage")]
#[case::standby_home_restarted("router-2", 2, 5, Reason::Initial, "unknown lineage")]
#[case::another("router-3", 1, 4, Reason::Initial, "unknown lineage")]
#[case::under_a_later_term("router-1", 1, 6, Reason::Initial, "term of another assignment")]
#[case::under_an_earlier_term("router-1", 1, 2, Reason::Initial, "term of another assignment")]
fn origin_derived_from_an_assignment(
    #[case] router: &str,
    #[case] run: u64,
    #[case] term: u64,
    #[case] reason: Reason,
    #[case] expected: &str,
) {
    let own_run = RouterIncarnation {
        router: router.parse().unwrap(),
        incarnation: Incarnation(run),
    };
    let row = Assignment {
        reason,
        ..assignment()
    };
    let result = match origin_of(&row, &own_run, Term(term)) {
        None => "term of another assignment",
        Some(Origin::Initial) => "initial",
        Some(Origin::Appointed(lineage)) if lineage == Lineage::of(&row) => {
            "appointed, this lineage"
        }
        Some(Origin::TakenOver(Lineage::UNKNOWN)) => "unknown lineage",
        Some(Origin::TakenOver(lineage)) if lineage == Lineage::of(&row) => {
            "taken over, this lineage"
        }
        Some(Origin::Appointed(_) | Origin::TakenOver(_)) => "another lineage",
    };
    assert_eq!(result, expected);
}

#[test]
fn a_rewritten_assignment_has_another_lineage() {
    let again = Assignment {
        since: WallTime(1),
        ..assignment()
    };
    assert_ne!(Lineage::of(&assignment()), Lineage::of(&again));
}

#[test]
fn fingerprints_depend_on_each_part_of_a_request() {
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
fn a_copy_rejects_claims_from_another_incarnation_of_the_home() {
    let mut table = standby_table(Some(LINEAGE));
    let left = WINDOW;
    let late_claim = Claim {
        key: key("stray"),
        fingerprint: Fingerprint(1),
        state: carawayrill_core::answer::claims::ClaimState::InProgress,
        left,
    };
    assert!(!table.keep_copy(Time(0), late_claim, &home(), Incarnation(2)));
    assert!(!table.complete_copy(&shard(), &home(), Incarnation(2), LINEAGE, Time(0)));
}

#[test]
fn claims_move_with_a_hot_key_that_is_split_out() {
    let mut table = home_table(ClaimConfig::default());
    claim(&mut table, 0, "k");
    let hot = ShardId::hot(shard().service, KeyHash(3));
    let bytes = table.bytes();
    table.move_key(KeyHash(3), &shard(), &hot);
    let moved = ClaimKey {
        shard: hot,
        ..key("k")
    };
    assert_eq!(
        table.claim(Time(0), &moved, Fingerprint(1), WINDOW),
        Err(ClaimError::Refused(RefusalReason::InProgress.into()))
    );
    assert_eq!(table.bytes(), bytes);
}

/// A step of the home, of the link to its standby home, or of the standby home.
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

/// A home and its standby home, connected by a link that loses messages and replies.
struct MirroredPair {
    home: ClaimTable,
    mirror: MirrorTable,
    standby: ClaimTable,
    standby_run: Incarnation,
    lineage: Lineage,
    sent: BTreeSet<u8>,
}

impl MirroredPair {
    fn new() -> Self {
        let mut pair = Self {
            home: home_table(ClaimConfig::default()),
            mirror: MirrorTable::default(),
            standby: ClaimTable::new(ClaimConfig::default()),
            standby_run: Incarnation(1),
            lineage: LINEAGE,
            sent: BTreeSet::new(),
        };
        pair.set_standby();
        pair
    }

    fn standby_id() -> RouterId {
        "router-2".parse().unwrap()
    }

    fn set_standby(&mut self) {
        let standby = Self::standby_id();
        self.mirror
            .set_standby(&shard(), Some(&standby), self.lineage);
    }

    fn claim(&mut self, number: u8, delivered: bool) {
        let key = key(&format!("k{number}"));
        if claim(&mut self.home, 0, key.idempotency.as_str()) != "fresh" {
            return;
        }
        if self.mirror.requirement(&shard()) == MirrorRequirement::Nothing {
            self.sent.insert(number);
            return;
        }
        let copy = self.home.get(Time(0), &key).unwrap();
        if delivered && self.standby.keep_copy(Time(0), copy, &home(), INCARNATION) {
            self.sent.insert(number);
        } else {
            self.home.remove_not_run(&key);
        }
    }

    fn copy(&mut self, lost: bool, unanswered: bool) {
        let standby = Self::standby_id();
        let Some(pending) = self.mirror.pending_copies(&standby, 1).pop() else {
            return;
        };
        let claims = self.home.export(Time(0), &shard());
        assert!(self.mirror.mark_maybe_complete(&pending));
        if lost {
            return;
        }
        self.standby.begin_copy(&shard(), &home(), INCARNATION);
        for claim in claims {
            assert!(self.standby.keep_copy(Time(0), claim, &home(), INCARNATION));
        }
        assert!(self.standby.complete_copy(
            &shard(),
            &home(),
            INCARNATION,
            pending.lineage,
            Time(0)
        ));
        if !unanswered {
            self.mirror.mark_complete(&pending, self.standby_run);
        }
    }

    fn run(&mut self, step: Step) {
        match step {
            Step::Claim(number) => self.claim(number, number % 2 == 0),
            Step::Answer(number) => {
                let key = key(&format!("k{number}"));
                self.home.record_answer(Time(0), &key, &answer(1));
            }
            Step::Copy { lost, unanswered } => self.copy(lost, unanswered),
            Step::RestartStandby => {
                self.standby = ClaimTable::new(ClaimConfig::default());
                self.standby_run = self.standby_run.next();
                self.mirror
                    .observe_standby(&Self::standby_id(), self.standby_run);
            }
            Step::NewLineage => {
                self.lineage = Lineage(self.lineage.0 + 1);
                self.set_standby();
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

    /// A standby home that takes over at any point runs no request that may have run before.
    #[test]
    fn a_takeover_runs_nothing_twice(steps in steps()) {
        let mut pair = MirroredPair::new();
        for step in steps {
            pair.run(step);
        }
        let origin = Origin::TakenOver(pair.lineage);
        pair.standby
            .set_home(Time(0), &shard(), TERM.reserved(), origin, WINDOW);
        for number in pair.sent {
            let result = claim(&mut pair.standby, 0, &format!("k{number}"));
            prop_assert_ne!(result, "fresh", "k{} runs twice", number);
        }
    }

    /// The table never exceeds its size limit, and its byte count matches its claims.
    #[test]
    fn memory_is_bounded(
        steps in prop::collection::vec((0_u8..5, 0_u16..40, 0_usize..900, 0_u64..30_000), 1..200)
    ) {
        let max = 8_000;
        let mut table = home_table(ClaimConfig::default().max_bytes(max));
        let mut now = 0;
        for (kind, number, bytes, elapsed) in steps {
            let name = format!("k{number}");
            match kind {
                0 | 1 => drop(claim(&mut table, now, &name)),
                2 => table.record_answer(Time(now), &key(&name), &answer(bytes)),
                3 => table.remove_not_run(&key(&name)),
                _ => {
                    now += elapsed;
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
                CLAIM_OVERHEAD_BYTES + u64::try_from(name).unwrap() + kept
            });
            prop_assert_eq!(table.bytes(), sizes.sum::<u64>());
        }
    }
}
