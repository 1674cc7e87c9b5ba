//! Tests of replay: the stored traces with their statements, and errors in traces.
//!
//! `CARAWAYRILL_WRITE_TRACES=1 cargo test -p carawayrill-core --test replay_traces` records the
//! scenarios again and overwrites the stored traces.

mod world;

use std::path::PathBuf;

use carawayrill_core::ownership::limits::Mechanisms;
use carawayrill_core::replay;
use carawayrill_core::replay::Statement;
use rstest::rstest;

use crate::world::World;
use crate::world::clock::MS;
use crate::world::scenario;
use crate::world::scenario::Scenario;
use crate::world::topology::node_ix;
use crate::world::topology::shard;

const ALL: Mechanisms = Mechanisms::ALL;
/// Length of the recorded part of a scenario.
const RECORDED_TIME: u64 = 8_500 * MS;

/// Number of seeds that are tried to find a run that violates its statement.
const MAX_SEEDS: u64 = 20;

fn traces_dir() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../traces")
}

/// Records one run of a scenario at the processes that take part in shard 0, and adds `statements`.
fn record(
    seed: u64,
    about: &str,
    scenario: &Scenario,
    mechanisms: Mechanisms,
    statements: &[Statement],
) -> String {
    let nodes = ["s0", "s1", "r0", "r2"].map(node_ix);
    let world = World::new(seed, scenario.setup(mechanisms), &scenario.plan);
    let mut world = world.lossless().with_one_shard().recording(&nodes);
    world.run_until(RECORDED_TIME);
    let header = format!(
        "{{\"carawayrill_trace\":{},\"about\":\"{about}\"}}",
        replay::VERSION
    );
    let mut lines = vec![header];
    lines.extend(world.trace.map(|trace| trace.lines).unwrap_or_default());
    lines.extend(
        statements.iter().map(|statement| {
            serde_json::to_string(statement).expect("statements serialize to JSON")
        }),
    );
    lines.join("\n") + "\n"
}

fn one_owner() -> Statement {
    Statement::OneOwner { shard: shard(0) }
}

#[rstest]
#[case::owner_forgets("owner-forgets-the-takeover", scenario::owner_forgets_the_takeover())]
#[case::home_forgets("home-forgets-the-failover", scenario::home_forgets_the_failover())]
#[case::move_races("move-races-the-standby", scenario::move_races_the_standby())]
#[case::cut_off("home-and-server-cut-off", scenario::home_and_server_cut_off())]
#[case::home_frozen("home-frozen", scenario::home_frozen())]
fn statements_of_stored_traces_hold(#[case] name: &str, #[case] scenario: Scenario) {
    let path = traces_dir().join(format!("{name}.jsonl"));
    if std::env::var_os("CARAWAYRILL_WRITE_TRACES").is_some() {
        let statements = [one_owner(), Statement::SameDecisions];
        let text = record(0, &name.replace('-', " "), &scenario, ALL, &statements);
        std::fs::write(&path, text).expect("the trace file is writable");
    }
    let text = std::fs::read_to_string(&path).expect("the stored trace is readable");
    let outcomes = replay::run(&text).expect("the trace is valid");
    let rows: Vec<String> = outcomes.iter().map(ToString::to_string).collect();
    insta::assert_snapshot!(name, rows.join("\n"));
    assert!(
        outcomes.iter().all(|outcome| outcome.broken_at.is_none()),
        "{rows:#?}"
    );
}

/// If a safety mechanism is off, a recorded run violates its statement, and replay reports where.
#[rstest]
#[case::server_incarnation(Mechanisms { server_incarnation: false, ..ALL }, scenario::owner_forgets_the_takeover())]
#[case::home_incarnation(Mechanisms { home_incarnation: false, ..ALL }, scenario::home_forgets_the_failover())]
fn violations_in_traces_are_reported(#[case] mechanisms: Mechanisms, #[case] scenario: Scenario) {
    let outcome = |seed| {
        let text = record(seed, "broken", &scenario, mechanisms, &[one_owner()]);
        let outcomes = replay::run(&text).expect("the trace is valid");
        outcomes
            .into_iter()
            .next()
            .expect("a result for the statement")
    };
    let violated = (0..MAX_SEEDS)
        .map(outcome)
        .find(|outcome| outcome.broken_at.is_some());
    let found = violated.and_then(|outcome| outcome.found);
    assert!(found.is_some_and(|found| found.contains(" under ")));
}

const HEADER: &str = r#"{"carawayrill_trace":1}"#;
const FIRST: &str = r#"{"at":"1000.0","node":"r1","seq":0,"event":"stopped","cut_off":0}"#;
const SECOND: &str = r#"{"at":"1000.1","node":"r1","seq":1,"event":"stopped","cut_off":0}"#;
const STATEMENT: &str = r#"{"statement":"same_decisions"}"#;

#[rstest]
#[case::empty("")]
#[case::no_header(&format!("{FIRST}\n{STATEMENT}\n"))]
#[case::unknown_version(&format!("{{\"carawayrill_trace\":2}}\n{FIRST}\n{STATEMENT}\n"))]
#[case::cut_in_a_line(&format!("{HEADER}\n{FIRST}\n{}", &SECOND[..40]))]
#[case::cut_before_the_end_of_line(&format!("{HEADER}\n{FIRST}\n{STATEMENT}"))]
#[case::cut_before_the_statements(&format!("{HEADER}\n{FIRST}\n"))]
#[case::out_of_order(&format!("{HEADER}\n{SECOND}\n{FIRST}\n{STATEMENT}\n"))]
#[case::line_lost(&format!("{HEADER}\n{FIRST}\n{}\n{STATEMENT}\n", SECOND.replace("\"seq\":1", "\"seq\":2")))]
#[case::unknown_event(&format!("{HEADER}\n{}\n{STATEMENT}\n", FIRST.replace("stopped", "danced")))]
#[case::unknown_statement(&format!("{HEADER}\n{FIRST}\n{}\n", STATEMENT.replace("same", "other")))]
#[case::statement_of_no_event(&format!("{HEADER}\n{FIRST}\n{}\n", r#"{"statement":"not_sent","shard":"f/0","after":7}"#))]
#[case::no_server(&format!("{HEADER}\n{FIRST}\n{}\n", r#"{"statement":"one_owner","shard":"f/0"}"#))]
#[case::no_start(&format!("{HEADER}\n{}\n{STATEMENT}\n", r#"{"at":"1.0","node":"r1","seq":0,"event":"input","table":"home","input":{"now":1,"input":"tick"}}"#))]
#[case::no_clock(&format!("{HEADER}\n{}\n{STATEMENT}\n", r#"{"at":"1.0","node":"r1","seq":0,"event":"input","table":"home","input":{"input":"start"}}"#))]
fn incomplete_traces_are_rejected(#[case] text: &str) {
    let error = replay::run(text).expect_err("the trace is incomplete or invalid");
    let name = std::thread::current()
        .name()
        .map(str::to_owned)
        .unwrap_or_default();
    let name = name.rsplit("::").next().unwrap_or_default().to_owned();
    insta::assert_snapshot!(name, error.to_string());
}
