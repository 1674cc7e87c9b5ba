//! Complete requests at a home: each gets one answer and runs at most once, and "not run" is
//! reported only if it is certain.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt::Write as _;
use std::time::Duration;

use carawayrill_core::answer::claims::ClaimConfig;
use carawayrill_core::answer::claims::ClaimKey;
use carawayrill_core::answer::claims::ClaimTable;
use carawayrill_core::answer::claims::Fingerprint;
use carawayrill_core::answer::claims::IdempotencyKey;
use carawayrill_core::answer::claims::Lineage;
use carawayrill_core::answer::claims::Origin;
use carawayrill_core::answer::mirror::PendingCopy;
use carawayrill_core::answer::queue::ServerLimits;
use carawayrill_core::answer::queue::ServerQueue;
use carawayrill_core::answer::refusal::RefusalReason;
use carawayrill_core::answer::refusal::ServerRefusal;
use carawayrill_core::answer::reply::Answer;
use carawayrill_core::answer::reply::Reply;
use carawayrill_core::answer::serving::Action;
use carawayrill_core::answer::serving::ClaimRequest;
use carawayrill_core::answer::serving::IncomingRequest;
use carawayrill_core::answer::serving::SendFailure;
use carawayrill_core::answer::serving::ServingConfig;
use carawayrill_core::answer::serving::ServingState;
use carawayrill_core::id::Incarnation;
use carawayrill_core::id::KeyHash;
use carawayrill_core::id::RequestId;
use carawayrill_core::id::ServerId;
use carawayrill_core::id::ShardId;
use carawayrill_core::outcome::Outcome;
use carawayrill_core::time::Time;
use carawayrill_core::token::Token;
use proptest::prelude::*;
use rstest::rstest;

const WINDOW: Duration = Duration::from_mins(1);
const TOKEN: Token = Token::new(4, 1);
const SLOTS: u32 = 3;

fn shard() -> ShardId {
    ShardId::range("forms".parse().unwrap(), 1)
}

fn server() -> ServerId {
    "forms-1".parse().unwrap()
}

fn new_owner() -> ServerId {
    "forms-2".parse().unwrap()
}

fn answer(text: &str) -> Answer {
    Answer {
        status: 200,
        headers: Vec::new(),
        body: text.to_owned().into(),
        server: server(),
        token: TOKEN,
    }
}

fn home() -> ServingState {
    let mut serving = ServingState::new(
        ServingConfig::default(),
        ClaimTable::new(ClaimConfig::default()),
    );
    let limits = ServerLimits {
        slots: SLOTS,
        connections: 50,
        queue: 8,
        warm_up: Duration::ZERO,
    };
    for server in [server(), new_owner()] {
        serving.add_server(&server, ServerQueue::new(limits, Time(0)));
    }
    serving
        .claims
        .set_home(Time(0), &shard(), TOKEN.term, Origin::Initial, WINDOW);
    serving
}

fn with_standby(mut serving: ServingState) -> ServingState {
    let standby = "router-2".parse().unwrap();
    let sync = PendingCopy {
        shard: shard(),
        standby,
        lineage: Lineage(1),
    };
    serving
        .mirror
        .set_standby(&shard(), Some(&sync.standby), sync.lineage);
    assert!(serving.mirror.mark_maybe_complete(&sync));
    serving.mirror.mark_complete(&sync, Incarnation(1));
    serving
}

fn incoming(number: u64, key: Option<&str>, deadline: u64) -> IncomingRequest {
    IncomingRequest {
        request: format!("r{number}").parse().unwrap(),
        shard: shard(),
        caller: "caller".into(),
        deadline: Time(deadline),
        server: server(),
        claim: key.map(|key| ClaimRequest {
            key: ClaimKey {
                shard: shard(),
                key: KeyHash(1),
                idempotency: IdempotencyKey::try_from(key).unwrap(),
            },
            fingerprint: Fingerprint(7),
            window: WINDOW,
        }),
    }
}

/// Describes the actions, one phrase each.
fn describe(actions: &[Action]) -> String {
    let word = |action: &Action| match action {
        Action::Mirror(request, ..) => format!("mirror {request}"),
        Action::Update(..) => "update".into(),
        Action::Send(request, _) => format!("send {request}"),
        Action::Cancel(request, _) => format!("cancel {request}"),
        Action::Reply(request, reply) => format!("{request}: {}", describe_reply(reply)),
    };
    actions.iter().map(word).collect::<Vec<_>>().join(", ")
}

fn describe_reply(reply: &Reply) -> String {
    match reply {
        Reply::Answer(answer) => String::from_utf8(answer.body.to_vec()).unwrap(),
        Reply::Refused(refusal) => format!("{} {}", refusal.outcome(), refusal.reason),
    }
}

/// Runs a script with one step per line, `verb request`, and returns the decisions of each step.
/// Step n runs at second n.
fn run(mut serving: ServingState, script: &str) -> String {
    let at = (server(), TOKEN);
    let at = (&at.0, at.1);
    let mut out = String::new();
    for (now, step) in (0..).zip(script.lines()) {
        let now = Time(now * 1_000);
        let mut fields = step.split_whitespace();
        let verb = fields.next().unwrap();
        let number: u64 = fields.next().map_or(0, |word| word.parse().unwrap());
        let request: RequestId = format!("r{number}").parse().unwrap();
        let took = Duration::from_millis(5);
        let result = match verb {
            "arrive" | "arrive-new" => {
                let deadline = now + Duration::from_secs(5);
                let mut incoming = incoming(number, fields.next(), deadline.0);
                if verb == "arrive-new" {
                    incoming.server = new_owner();
                }
                match serving.accept(now, incoming) {
                    Ok(actions) => describe(&actions),
                    Err(reply) => format!("at once: {}", describe_reply(&reply)),
                }
            }
            "kept" => describe(&serving.mirror_result(now, &request, true)),
            "not-kept" => describe(&serving.mirror_result(now, &request, false)),
            "sending" => serving.mark_sending(&request, at.0, at.1).to_string(),
            "answer" => describe(&serving.answered(now, &request, at, answer("answer"), took)),
            "shed" => describe(&serving.refused(now, &request, at, ServerRefusal::Shed)),
            "unwritten" => {
                let how = SendFailure::NotWritten(RefusalReason::ServerUnreachable);
                describe(&serving.failed(now, &request, how))
            }
            "broken" => {
                let how = SendFailure::Lost(RefusalReason::AnswerBrokenOff);
                describe(&serving.failed(now, &request, how))
            }
            "hang-up" => describe(&serving.caller_disconnected(now, &request)),
            "cancelled" => describe(&serving.cancelled(now, &request)),
            "server-lost" => describe(&serving.server_lost(now, at.0)),
            "tick" => describe(&serving.tick(now)),
            "stop" => {
                serving.stop();
                format!(
                    "{} in flight",
                    serving.inflight().shutdown_wait(now).requests
                )
            }
            other => panic!("no such step: {other}"),
        };
        writeln!(out, "{step} -> {result}").unwrap();
    }
    out
}

#[rstest]
#[case::answered("arrive 1\nsending 1\nanswer 1\nanswer 1")]
#[case::not_written("arrive 1 k\nsending 1\nunwritten 1\narrive 2 k")]
#[case::shed("arrive 1 k\nsending 1\nshed 1\narrive 2 k")]
#[case::broken_off("arrive 1 k\nsending 1\nbroken 1\narrive 2 k\nanswer 1\narrive 3 k")]
#[case::repeat("arrive 1 k\nsending 1\narrive 2 k\nanswer 1\narrive 3 k")]
#[case::disconnected_before_send("arrive 1 k\nhang-up 1\nsending 1\narrive 2 k")]
#[case::disconnected_after_send(
    "arrive 1 k\nsending 1\nhang-up 1\narrive 2 k\ncancelled 1\narrive 3 k"
)]
#[case::late("arrive 1 k\nsending 1\ntick\ntick\ntick\ntick\nanswer 1\ntick\narrive 2 k")]
#[case::too_late("arrive 1 k\nsending 1\ntick\ntick\ntick\ntick\ntick\ntick\ntick\narrive 2 k")]
#[case::server_lost("arrive 1 k\narrive 2\nsending 1\nserver-lost\narrive 3 k")]
#[case::moved("arrive 1\narrive 2\narrive 3\narrive 4\narrive-new 5\nanswer 1")]
#[case::stopped("arrive 1\nsending 1\nstop\narrive 2\nanswer 1\nstop")]
fn life_of_a_request(#[case] script: &str) {
    let name = script.replace(['\n', ' '], "_");
    insta::assert_snapshot!(name, run(home(), script));
}

#[rstest]
#[case::kept("arrive 1 k\nkept 1\nsending 1\nanswer 1\narrive 2 k")]
#[case::not_kept("arrive 1 k\nnot-kept 1\narrive 2 k")]
#[case::disconnected_while_mirroring("arrive 1 k\nhang-up 1\nkept 1\nsending 1")]
fn requests_are_sent_after_their_claims_are_mirrored(#[case] script: &str) {
    let name = format!("mirrored_{}", script.replace(['\n', ' '], "_"));
    insta::assert_snapshot!(name, run(with_standby(home()), script));
}

/// A simulated server with its callers, driven by random steps, that checks the invariants.
#[derive(Default)]
struct Simulation {
    /// Requests that were written to the server, with their idempotency key.
    written: BTreeMap<RequestId, Option<u8>>,
    keys: BTreeMap<RequestId, Option<u8>>,
    running: BTreeSet<RequestId>,
    to_send: Vec<RequestId>,
    to_mirror: Vec<RequestId>,
    replies: BTreeMap<RequestId, Outcome>,
    accepted: BTreeSet<RequestId>,
    known_not_run: BTreeSet<RequestId>,
}

impl Simulation {
    fn apply(&mut self, actions: Vec<Action>) -> Result<(), TestCaseError> {
        for action in actions {
            match action {
                Action::Mirror(request, ..) => self.to_mirror.push(request),
                Action::Send(request, _) => self.to_send.push(request),
                Action::Reply(request, reply) => self.reply(request, &reply)?,
                Action::Cancel(..) | Action::Update(..) => {}
            }
        }
        Ok(())
    }

    fn reply(&mut self, request: RequestId, reply: &Reply) -> Result<(), TestCaseError> {
        let outcome = reply.outcome();
        let may_have_run = self.written.contains_key(&request);
        let not_run = self.known_not_run.contains(&request);
        prop_assert!(
            outcome != Outcome::NotRun || !may_have_run || not_run,
            "{request} was written, but its outcome is not-run"
        );
        prop_assert!(
            self.replies.insert(request, outcome).is_none(),
            "more than one reply"
        );
        Ok(())
    }

    fn write(&mut self, request: RequestId) -> Result<(), TestCaseError> {
        let key = self.keys[&request];
        let earlier = self.written.iter().find(|(other, used)| {
            key.is_some() && **used == key && !self.known_not_run.contains(*other)
        });
        prop_assert!(earlier.is_none(), "key {key:?} runs twice");
        self.written.insert(request.clone(), key);
        self.running.insert(request);
        prop_assert!(self.running.len() <= usize::try_from(SLOTS).unwrap());
        Ok(())
    }
}

/// Returns the element at a random index.
fn pick<T: Clone + Ord>(from: &BTreeSet<T>, index: u64) -> Option<T> {
    let index = usize::try_from(index).unwrap() % from.len().max(1);
    from.iter().nth(index).cloned()
}

fn step(
    simulation: &mut Simulation,
    serving: &mut ServingState,
    now: Time,
    number: u64,
    (verb, choice): (u8, u64),
) -> Result<(), TestCaseError> {
    let at = (&server(), TOKEN);
    let took = Duration::from_millis(10);
    match verb {
        0..=4 => {
            let key = (choice % 3 > 0).then(|| u8::try_from(choice % 5).unwrap());
            let name = key.map(|key| format!("k{key}"));
            let incoming = incoming(number, name.as_deref(), now.0 + choice * 7);
            let request = incoming.request.clone();
            simulation.keys.insert(request.clone(), key);
            if let Ok(actions) = serving.accept(now, incoming) {
                simulation.accepted.insert(request);
                simulation.apply(actions)?;
            }
        }
        5 if !simulation.to_mirror.is_empty() => {
            let request = simulation.to_mirror.remove(0);
            simulation.apply(serving.mirror_result(now, &request, choice % 4 > 0))?;
        }
        6 | 7 if !simulation.to_send.is_empty() => {
            let request = simulation.to_send.remove(0);
            if serving.mark_sending(&request, at.0, at.1) {
                simulation.write(request)?;
            }
        }
        8 | 9 => {
            // An answer to a running request, or a late or duplicate answer to any request that
            // ever ran.
            let all: BTreeSet<_> = simulation.written.keys().cloned().collect();
            let from = if choice % 3 == 0 {
                &all
            } else {
                &simulation.running
            };
            if let Some(request) = pick(from, choice) {
                simulation.running.remove(&request);
                simulation.apply(serving.answered(now, &request, at, answer("a"), took))?;
            }
        }
        10 => {
            if let Some(request) = pick(&simulation.running, choice) {
                simulation.running.remove(&request);
                simulation.known_not_run.insert(request.clone());
                simulation.apply(serving.refused(now, &request, at, ServerRefusal::Shed))?;
            }
        }
        11 => {
            if let Some(request) = pick(&simulation.running, choice) {
                let how = SendFailure::Lost(RefusalReason::AnswerLost);
                simulation.apply(serving.failed(now, &request, how))?;
            }
        }
        12 => {
            if let Some(request) = pick(&simulation.accepted, choice) {
                simulation.apply(serving.caller_disconnected(now, &request))?;
            }
        }
        13 => {
            // The server stops a cancelled request, then acknowledges the cancellation.
            let answered = |request: &RequestId| simulation.replies.contains_key(request);
            if let Some(request) = pick(&simulation.running, choice).filter(answered) {
                simulation.running.remove(&request);
                simulation.apply(serving.cancelled(now, &request))?;
            }
        }
        14 => simulation.apply(serving.refuse_shard(&shard(), RefusalReason::NoAuthority))?,
        _ => simulation.apply(serving.tick(now))?,
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        rng_seed: proptest::test_runner::RngSeed::Fixed(17),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn invariants_hold_under_random_steps(
        standby in any::<bool>(),
        steps in prop::collection::vec((0_u64..12, 0_u8..17, 0_u64..60), 1..300)
    ) {
        let mut serving = if standby { with_standby(home()) } else { home() };
        let mut simulation = Simulation::default();
        let mut now = 0;
        for (number, (elapsed, verb, choice)) in (0..).zip(steps) {
            now += elapsed;
            step(&mut simulation, &mut serving, Time(now), number, (verb, choice))?;
        }
        // The server sends nothing more; every request still gets its answer.
        for elapsed in 1..4 {
            simulation.apply(serving.tick(Time(now + elapsed * 3_000)))?;
        }
        let answered: BTreeSet<_> = simulation.replies.keys().cloned().collect();
        prop_assert_eq!(answered, simulation.accepted);
        prop_assert!(serving.inflight().is_empty());
    }
}
