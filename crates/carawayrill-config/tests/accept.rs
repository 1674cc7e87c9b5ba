//! Outcomes of single edits: merges, conflicts, lost responses and monotonic generations.

#[path = "support/attempts.rs"]
mod attempts;

use std::collections::BTreeMap;

use attempts::MaxAttempts;
use carawayrill_config::ConfigFiles;
use carawayrill_config::accept::ConfigView;
use carawayrill_config::accept::Edit;
use carawayrill_config::accept::EditOutcome;
use carawayrill_config::accept::Error;
use carawayrill_config::accept::fetch;
use carawayrill_config::accept::merge;
use carawayrill_config::accept::propose;
use carawayrill_core::id::Generation;
use carawayrill_core::time::WallTime;
use carawayrill_store::CallOutcome;
use carawayrill_store::memory::Fault;
use carawayrill_store::memory::MemoryStore;
use insta::assert_snapshot;

const BASE: &str = "\
# The example.
name: example
region_link: 1Gbit/s
data_centres:
  north-1: {region: north}
  south-1: {region: south}
services:
  forms:
    key: header x-form   # Set by the callers.
    shards: 16
    slots: 4
    connections: 20
    queue_limit: 10
";

const NORTH: &str = "\
servers:
  forms-1: {service: forms, address: 127.0.0.1:21001}
  forms-2: {service: forms, address: 127.0.0.1:21002}
";

/// Returns the files of the first generation.
fn initial_files() -> ConfigFiles {
    ConfigFiles::new(BASE)
        .with_site("north-1", NORTH)
        .expect("site")
}

/// Applies replacements `old => new`, each to the first file that contains the old text.
fn with_replacements(files: &ConfigFiles, changes: &[(&str, &str)]) -> ConfigFiles {
    let mut files = files.clone();
    for (old, new) in changes {
        let overlay = files.sites.values_mut().find(|text| text.contains(old));
        let text = overlay.unwrap_or(&mut files.base);
        assert!(text.contains(old), "nothing to replace: {old}");
        *text = text.replacen(old, new, 1);
    }
    files
}

/// Replacements in one text.
type Changes = &'static [(&'static str, &'static str)];

/// Each case has a name, the changes of the edit, and the changes of the concurrent edit.
const MERGES: &[(&str, Changes, Changes)] = &[
    (
        "disjoint values keep comments",
        &[("slots: 4", "slots: 5")],
        &[("queue_limit: 10", "queue_limit: 20")],
    ),
    (
        "the same value twice",
        &[("slots: 4", "slots: 5")],
        &[("slots: 4", "slots: 5")],
    ),
    (
        "different values of one field",
        &[("slots: 4", "slots: 5")],
        &[("slots: 4", "slots: 6")],
    ),
    (
        "two conflicts at once",
        &[("slots: 4", "slots: 5"), ("21001", "21101")],
        &[("slots: 4", "slots: 6"), ("21001", "21201")],
    ),
    (
        "base and overlay",
        &[("slots: 4", "slots: 5")],
        &[("21001", "21101")],
    ),
    (
        "a new field beside a new value",
        &[("slots: 4", "slots: 4\n    warm_up: 1s")],
        &[("queue_limit: 10", "queue_limit: 20")],
    ),
    (
        "both add a server",
        &[(
            "servers:\n",
            "servers:\n  a: {service: forms, address: 127.0.0.1:1}\n",
        )],
        &[(
            "servers:\n",
            "servers:\n  b: {service: forms, address: 127.0.0.1:2}\n",
        )],
    ),
    (
        "both add one server differently",
        &[(
            "servers:\n",
            "servers:\n  a: {service: forms, address: 127.0.0.1:1}\n",
        )],
        &[(
            "servers:\n",
            "servers:\n  a: {service: forms, address: 127.0.0.1:2}\n",
        )],
    ),
    (
        "one removes a server, one moves it",
        &[(
            "  forms-2: {service: forms, address: 127.0.0.1:21002}\n",
            "",
        )],
        &[("21002", "21102")],
    ),
    (
        "one removes a field, one changes it",
        &[("    queue_limit: 10\n", "")],
        &[("queue_limit: 10", "queue_limit: 20")],
    ),
    (
        "comments only",
        &[("# The example.", "# An example.")],
        &[("# Set by the callers.", "# From callers.")],
    ),
];

#[test]
fn edits_merge_by_field_or_conflict() {
    let mut output = String::new();
    for (what, ours, theirs) in MERGES {
        let before = initial_files();
        let merged = merge(
            &before,
            &with_replacements(&before, ours),
            &with_replacements(&before, theirs),
        );
        let shown = match merged {
            Ok(files) => {
                files.check().expect(what);
                let sites: Vec<&str> = files.sites.values().map(String::as_str).collect();
                format!("{}--- overlay\n{}", files.base, sites.concat())
            }
            Err(conflicts) => {
                let lines: Vec<String> = conflicts.iter().map(ToString::to_string).collect();
                format!("CONFLICT\n{}\n", lines.join("\n"))
            }
        };
        output.push_str("## ");
        output.push_str(what);
        output.push('\n');
        output.push_str(&shown);
        output.push('\n');
    }
    assert_snapshot!("merges", output);
}

/// Proposes `files` as an edit from generation `from`.
async fn apply(store: &MemoryStore, from: u64, files: &ConfigFiles) -> Result<EditOutcome, Error> {
    let edit = Edit {
        from: Generation(from),
        files: files.clone(),
        by: "operator".into(),
    };
    propose(store, &edit, WallTime(7), &MaxAttempts(3)).await
}

/// Returns a store that has the initial files in force as generation 1.
async fn store_with_first_generation() -> MemoryStore {
    let store = MemoryStore::new();
    let first = apply(&store, 0, &initial_files()).await.expect("first");
    assert_eq!(first.generation(), Generation(1));
    store
}

#[tokio::test]
async fn refused_edits_state_the_reason_and_change_nothing() {
    let mut output = BTreeMap::new();
    let store = store_with_first_generation().await;
    let five = with_replacements(&initial_files(), &[("slots: 4", "slots: 5")]);
    apply(&store, 1, &five).await.expect("second");
    let six = with_replacements(&initial_files(), &[("slots: 4", "slots: 6")]);
    output.insert("conflict", apply(&store, 1, &six).await);
    output.insert("from generation 0", apply(&store, 0, &six).await);
    output.insert("from a later generation", apply(&store, 9, &six).await);
    let wrong = with_replacements(&initial_files(), &[("slots: 4", "slots: 0")]);
    output.insert("invalid by itself", apply(&store, 2, &wrong).await);
    let without = with_replacements(&five, &[("  south-1: {region: south}\n", "")]);
    apply(&store, 2, &without).await.expect("third");
    let south = "services: {forms: {queue_limit: 3}}\n";
    let with = five.clone().with_site("south-1", south).expect("site");
    output.insert("invalid when merged", apply(&store, 2, &with).await);
    let shards = with_replacements(&without, &[("shards: 16", "shards: 32")]);
    output.insert("shards of a live service", apply(&store, 3, &shards).await);
    let longer = with_replacements(&without, &[("name", "timing: {authority: 4s}\nname")]);
    output.insert(
        "authority lengthened at once",
        apply(&store, 3, &longer).await,
    );
    let shorter = with_replacements(&without, &[("name", "timing: {authority: 1900ms}\nname")]);
    output.insert(
        "authority shortened at once",
        apply(&store, 3, &shorter).await,
    );
    let huge = format!("{BASE}#{}\n", "x".repeat(1 << 20));
    output.insert("too large", apply(&store, 3, &ConfigFiles::new(huge)).await);
    store.set_fault(Fault::Down);
    output.insert("store down", apply(&store, 3, &six).await);
    store.set_fault(Fault::None);
    let lines: Vec<String> = output
        .into_iter()
        .map(|(what, outcome)| {
            let err = outcome.expect_err(what);
            assert_eq!(err.outcome(), CallOutcome::NotDone, "{what}");
            format!("## {what}\n{err}\n")
        })
        .collect();
    assert_snapshot!("refusals", lines.join("\n"));
    let after = fetch(&store).await.expect("read").expect("in force");
    assert_eq!(after.generation, Generation(3));
}

#[tokio::test]
async fn hold_time_is_shortened_in_two_steps() {
    let store = MemoryStore::new();
    let hold = (
        "queue_limit: 10",
        "queue_limit: 10\n    on_store_outage: hold 1min",
    );
    let long = with_replacements(&initial_files(), &[hold]);
    apply(&store, 0, &long).await.expect("first");
    let cut = with_replacements(&long, &[("hold 1min", "hold 10s")]);
    apply(&store, 1, &cut).await.expect_err("the base alone");
    let adjust = "services: {forms: {on_store_outage: hold 10s}}\n";
    let sites = long
        .with_site("north-1", format!("{NORTH}{adjust}"))
        .expect("site");
    let cut_half = with_replacements(&sites, &[("hold 1min", "hold 20s")]);
    apply(&store, 1, &sites).await.expect("one site");
    apply(&store, 2, &cut_half)
        .await
        .expect_err("the other site still has a hold time of a minute");
    let both = sites.with_site("south-1", adjust).expect("site");
    apply(&store, 2, &both).await.expect("both sites");
    let cut = with_replacements(&both, &[("hold 1min", "hold 10s")]);
    let last = apply(&store, 3, &cut).await.expect("the base last");
    assert_eq!(last.generation(), Generation(4));
}

#[tokio::test]
async fn hold_time_is_lengthened_in_two_steps() {
    let store = store_with_first_generation().await;
    let hold = (
        "queue_limit: 10",
        "queue_limit: 10\n    on_store_outage: hold 1min",
    );
    let long = with_replacements(&initial_files(), &[hold]);
    apply(&store, 1, &long).await.expect_err("at once");
    let pin = "services: {forms: {on_store_outage: stop}}\n";
    let pinned = long
        .with_site("north-1", format!("{NORTH}{pin}"))
        .expect("site");
    apply(&store, 1, &pinned)
        .await
        .expect_err("one site is not pinned");
    let pinned = pinned.with_site("south-1", pin).expect("site");
    apply(&store, 1, &pinned)
        .await
        .expect("first, takeovers wait for longer");
    let long = with_replacements(&initial_files(), &[hold]);
    let last = apply(&store, 2, &long)
        .await
        .expect("then homes keep their authority for longer");
    assert_eq!(last.generation(), Generation(3));
}

#[tokio::test]
async fn two_operators_cannot_combine_both_steps() {
    let store = MemoryStore::new();
    let hold = (
        "queue_limit: 10",
        "queue_limit: 10\n    on_store_outage: hold 1min",
    );
    let long = with_replacements(&initial_files(), &[hold]);
    apply(&store, 0, &long).await.expect("first");
    let adjust = "services: {forms: {on_store_outage: hold 10s}}\n";
    let sites = long
        .clone()
        .with_site("north-1", format!("{NORTH}{adjust}"));
    let sites = sites
        .and_then(|files| files.with_site("south-1", adjust))
        .expect("sites");
    apply(&store, 1, &sites).await.expect("the first step");
    // Merged with the first step, this edit is the second step. Nobody has waited in between.
    let cut = with_replacements(&long, &[("hold 1min", "hold 10s")]);
    let err = apply(&store, 1, &cut)
        .await
        .expect_err("the second step from the same origin");
    assert!(err.to_string().contains("on_store_outage"), "{err}");
    let cut = with_replacements(&sites, &[("hold 1min", "hold 10s")]);
    apply(&store, 2, &cut)
        .await
        .expect("the second step from the first one");
}

#[tokio::test]
async fn lost_response_is_resolved_by_reading_back() {
    let store = store_with_first_generation().await;
    // Each response to a write is lost once: those of the parts, the previous head and the head.
    let edited = with_replacements(
        &initial_files(),
        &[("slots: 4", "slots: 5"), ("21001", "21101")],
    );
    store.set_fault_for(Fault::LoseAnswer, 1);
    let outcome = apply(&store, 1, &edited).await.expect("accepted");
    assert_eq!(outcome.generation(), Generation(2));
    let hooked = store.clone();
    store.set_hook(move |kind, name| {
        if kind == "put" && name == "config/head" {
            hooked.set_fault_for(Fault::LoseAnswer, 1);
        }
    });
    let edited = with_replacements(&edited, &[("slots: 5", "slots: 6")]);
    let outcome = apply(&store, 2, &edited).await.expect("accepted");
    assert_eq!(outcome.generation(), Generation(3));
    let again = apply(&store, 2, &edited)
        .await
        .expect("the same edit again");
    assert_eq!(again.generation(), Generation(3), "it took effect once");
}

#[tokio::test]
async fn unchanged_files_create_no_generation() {
    let store = store_with_first_generation().await;
    let outcome = apply(&store, 1, &initial_files()).await.expect("unchanged");
    let generation = Generation(1);
    assert_eq!(outcome, EditOutcome::Unchanged { generation });
}

#[tokio::test]
async fn generation_of_a_view_never_decreases() {
    let store = store_with_first_generation().await;
    let mut view = ConfigView::default();
    assert!(view.refresh(&store).await.expect("first refresh"));
    let old = view.current().expect("configuration");
    let edited = with_replacements(&initial_files(), &[("slots: 4", "slots: 5")]);
    apply(&store, 1, &edited).await.expect("second");
    assert!(view.refresh(&store).await.expect("second refresh"));
    assert!(!view.refresh(&store).await.expect("nothing new"));
    assert!(
        !view.replace_if_newer((*old).clone()),
        "an older generation from a peer"
    );
    assert_eq!(view.generation(), Generation(2));
    store.set_fault(Fault::Down);
    view.refresh(&store).await.expect_err("the store is down");
    assert_eq!(view.generation(), Generation(2));
    // A new store counts generations from 1. A process keeps the higher generation that it has.
    let other = store_with_first_generation().await;
    assert!(!view.refresh(&other).await.expect("another store"));
    assert_eq!(view.generation(), Generation(2));
}

#[tokio::test]
async fn refresh_reads_only_new_parts() {
    let store = store_with_first_generation().await;
    let mut view = ConfigView::default();
    view.refresh(&store).await.expect("first refresh");
    let edited = with_replacements(&initial_files(), &[("21001", "21101")]);
    apply(&store, 1, &edited).await.expect("second");
    let before = store.calls().reads;
    view.refresh(&store).await.expect("second refresh");
    assert_eq!(store.calls().reads - before, 2, "the head and one overlay");
}
