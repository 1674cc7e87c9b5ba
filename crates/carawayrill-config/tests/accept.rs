//! What becomes of single edits: merges, clashes, lost answers, and generations that stay.

#[path = "support/attempts.rs"]
mod attempts;

use std::collections::BTreeMap;

use attempts::Attempts;
use carawayrill_config::Parts;
use carawayrill_config::accept::Answer;
use carawayrill_config::accept::ConfigView;
use carawayrill_config::accept::Edit;
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

/// Both starting files.
fn start() -> Parts {
    Parts::new(BASE).with_site("north-1", NORTH).expect("site")
}

/// Applies replacements `old => new` to whichever file has the old text.
fn changed(parts: &Parts, changes: &[(&str, &str)]) -> Parts {
    let mut parts = parts.clone();
    for (old, new) in changes {
        let overlay = parts.sites.values_mut().find(|text| text.contains(old));
        let text = overlay.unwrap_or(&mut parts.base);
        assert!(text.contains(old), "nothing to replace: {old}");
        *text = text.replacen(old, new, 1);
    }
    parts
}

/// Replacements in one text.
type Changes = &'static [(&'static str, &'static str)];

/// Each case: what it is about, what the edit changes, what others have changed meanwhile.
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
        "two clashes at once",
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
fn edits_merge_by_field_or_clash() {
    let mut told = String::new();
    for (what, ours, theirs) in MERGES {
        let before = start();
        let merged = merge(&before, &changed(&before, ours), &changed(&before, theirs));
        let shown = match merged {
            Ok(parts) => {
                parts.check().expect(what);
                let sites: Vec<&str> = parts.sites.values().map(String::as_str).collect();
                format!("{}--- overlay\n{}", parts.base, sites.concat())
            }
            Err(clashes) => {
                let lines: Vec<String> = clashes.iter().map(ToString::to_string).collect();
                format!("CLASH\n{}\n", lines.join("\n"))
            }
        };
        told.push_str("## ");
        told.push_str(what);
        told.push('\n');
        told.push_str(&shown);
        told.push('\n');
    }
    assert_snapshot!("merges", told);
}

/// Proposes `parts` as an edit from generation `from`.
async fn apply(store: &MemoryStore, from: u64, parts: &Parts) -> Result<Answer, Error> {
    let edit = Edit {
        from: Generation(from),
        parts: parts.clone(),
        by: "operator".into(),
    };
    propose(store, &edit, WallTime(7), &Attempts(3)).await
}

/// Returns a store with the starting files in force.
async fn started() -> MemoryStore {
    let store = MemoryStore::new();
    let first = apply(&store, 0, &start()).await.expect("first");
    assert_eq!(first.generation(), Generation(1));
    store
}

#[tokio::test]
async fn refusals_say_why_and_change_nothing() {
    let mut told = BTreeMap::new();
    let store = started().await;
    let five = changed(&start(), &[("slots: 4", "slots: 5")]);
    apply(&store, 1, &five).await.expect("second");
    let six = changed(&start(), &[("slots: 4", "slots: 6")]);
    told.insert("clash", apply(&store, 1, &six).await);
    told.insert("from nowhere", apply(&store, 0, &six).await);
    told.insert("from ahead", apply(&store, 9, &six).await);
    let wrong = changed(&start(), &[("slots: 4", "slots: 0")]);
    told.insert("wrong by itself", apply(&store, 2, &wrong).await);
    let without = changed(&five, &[("  south-1: {region: south}\n", "")]);
    apply(&store, 2, &without).await.expect("third");
    let south = "services: {forms: {queue_limit: 3}}\n";
    let with = five.clone().with_site("south-1", south).expect("site");
    told.insert("wrong when merged", apply(&store, 2, &with).await);
    let shards = changed(&without, &[("shards: 16", "shards: 32")]);
    told.insert("shards of a live service", apply(&store, 3, &shards).await);
    let longer = changed(&without, &[("name", "timing: {authority: 4s}\nname")]);
    told.insert(
        "authority lengthened at once",
        apply(&store, 3, &longer).await,
    );
    let shorter = changed(&without, &[("name", "timing: {authority: 1900ms}\nname")]);
    told.insert("authority cut at once", apply(&store, 3, &shorter).await);
    let huge = format!("{BASE}#{}\n", "x".repeat(1 << 20));
    told.insert("too large", apply(&store, 3, &Parts::new(huge)).await);
    store.set_fault(Fault::Down);
    told.insert("store down", apply(&store, 3, &six).await);
    store.set_fault(Fault::None);
    let lines: Vec<String> = told
        .into_iter()
        .map(|(what, answer)| {
            let err = answer.expect_err(what);
            assert_eq!(err.fate(), CallOutcome::NotDone, "{what}");
            format!("## {what}\n{err}\n")
        })
        .collect();
    assert_snapshot!("refusals", lines.join("\n"));
    let after = fetch(&store).await.expect("read").expect("in force");
    assert_eq!(after.generation, Generation(3));
}

#[tokio::test]
async fn hold_is_shortened_in_two_steps() {
    let store = MemoryStore::new();
    let hold = (
        "queue_limit: 10",
        "queue_limit: 10\n    on_store_outage: hold 1min",
    );
    let long = changed(&start(), &[hold]);
    apply(&store, 0, &long).await.expect("first");
    let cut = changed(&long, &[("hold 1min", "hold 10s")]);
    apply(&store, 1, &cut).await.expect_err("the base alone");
    let adjust = "services: {forms: {on_store_outage: hold 10s}}\n";
    let sites = long
        .with_site("north-1", format!("{NORTH}{adjust}"))
        .expect("site");
    let cut_half = changed(&sites, &[("hold 1min", "hold 20s")]);
    apply(&store, 1, &sites).await.expect("one site");
    apply(&store, 2, &cut_half)
        .await
        .expect_err("the other site still holds on for a minute");
    let both = sites.with_site("south-1", adjust).expect("site");
    apply(&store, 2, &both).await.expect("both sites");
    let cut = changed(&both, &[("hold 1min", "hold 10s")]);
    let last = apply(&store, 3, &cut).await.expect("the base last");
    assert_eq!(last.generation(), Generation(4));
}

#[tokio::test]
async fn hold_is_lengthened_in_two_steps() {
    let store = started().await;
    let hold = (
        "queue_limit: 10",
        "queue_limit: 10\n    on_store_outage: hold 1min",
    );
    let long = changed(&start(), &[hold]);
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
        .expect("takers wait for longer first");
    let long = changed(&start(), &[hold]);
    let last = apply(&store, 2, &long)
        .await
        .expect("homes hold on for longer then");
    assert_eq!(last.generation(), Generation(3));
}

#[tokio::test]
async fn two_operators_do_not_make_both_steps_at_once() {
    let store = MemoryStore::new();
    let hold = (
        "queue_limit: 10",
        "queue_limit: 10\n    on_store_outage: hold 1min",
    );
    let long = changed(&start(), &[hold]);
    apply(&store, 0, &long).await.expect("first");
    let adjust = "services: {forms: {on_store_outage: hold 10s}}\n";
    let sites = long
        .clone()
        .with_site("north-1", format!("{NORTH}{adjust}"));
    let sites = sites
        .and_then(|parts| parts.with_site("south-1", adjust))
        .expect("sites");
    apply(&store, 1, &sites).await.expect("the first step");
    // Merged with the first step, this is the second one; but nobody has waited between them.
    let cut = changed(&long, &[("hold 1min", "hold 10s")]);
    let err = apply(&store, 1, &cut)
        .await
        .expect_err("the second step from the same origin");
    assert!(err.to_string().contains("on_store_outage"), "{err}");
    let cut = changed(&sites, &[("hold 1min", "hold 10s")]);
    apply(&store, 2, &cut)
        .await
        .expect("the second step from the first one");
}

#[tokio::test]
async fn lost_answer_is_settled_by_reading_back() {
    let store = started().await;
    // Parts, the former head and the head: every one of the answers is lost once.
    let edited = changed(&start(), &[("slots: 4", "slots: 5"), ("21001", "21101")]);
    store.set_fault_for(Fault::LoseAnswer, 1);
    let answer = apply(&store, 1, &edited).await.expect("accepted");
    assert_eq!(answer.generation(), Generation(2));
    let hooked = store.clone();
    store.set_hook(move |kind, name| {
        if kind == "put" && name == "config/head" {
            hooked.set_fault_for(Fault::LoseAnswer, 1);
        }
    });
    let edited = changed(&edited, &[("slots: 5", "slots: 6")]);
    let answer = apply(&store, 2, &edited).await.expect("accepted");
    assert_eq!(answer.generation(), Generation(3));
    let again = apply(&store, 2, &edited)
        .await
        .expect("the same edit again");
    assert_eq!(again.generation(), Generation(3), "it took effect once");
}

#[tokio::test]
async fn same_files_make_no_generation() {
    let store = started().await;
    let answer = apply(&store, 1, &start()).await.expect("unchanged");
    let generation = Generation(1);
    assert_eq!(answer, Answer::Unchanged { generation });
}

#[tokio::test]
async fn view_never_goes_back() {
    let store = started().await;
    let mut view = ConfigView::default();
    assert!(view.refresh(&store).await.expect("first look"));
    let old = view.current().expect("taken");
    let edited = changed(&start(), &[("slots: 4", "slots: 5")]);
    apply(&store, 1, &edited).await.expect("second");
    assert!(view.refresh(&store).await.expect("second look"));
    assert!(!view.refresh(&store).await.expect("nothing new"));
    assert!(!view.offer((*old).clone()), "a peer offers an old one");
    assert_eq!(view.generation(), Generation(2));
    store.set_fault(Fault::Down);
    view.refresh(&store).await.expect_err("the store is down");
    assert_eq!(view.generation(), Generation(2));
    // A store that was set up anew counts from the start; daemons keep what they have.
    let other = started().await;
    assert!(!view.refresh(&other).await.expect("another store"));
    assert_eq!(view.generation(), Generation(2));
}

#[tokio::test]
async fn refresh_reads_only_new_parts() {
    let store = started().await;
    let mut view = ConfigView::default();
    view.refresh(&store).await.expect("first look");
    let edited = changed(&start(), &[("21001", "21101")]);
    apply(&store, 1, &edited).await.expect("second");
    let before = store.calls().reads;
    view.refresh(&store).await.expect("second look");
    assert_eq!(store.calls().reads - before, 2, "the head and one overlay");
}
