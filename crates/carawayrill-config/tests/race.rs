//! Concurrent edits over a failing store: no accepted edit is lost, no reader sees half of an edit,
//! and no process sees its generation decrease.

#[path = "support/attempts.rs"]
mod attempts;
mod support;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;

use attempts::MaxAttempts;
use carawayrill_config::ConfigFiles;
use carawayrill_config::accept::ConfigView;
use carawayrill_config::accept::Digest;
use carawayrill_config::accept::Edit;
use carawayrill_config::accept::EditOutcome;
use carawayrill_config::accept::Head;
use carawayrill_config::accept::fetch_files;
use carawayrill_config::accept::propose;
use carawayrill_config::deployment::Deployment;
use carawayrill_core::id::Generation;
use carawayrill_core::time::WallTime;
use carawayrill_store::CallOutcome;
use carawayrill_store::memory::MemoryStore;
use carawayrill_store::port::ObjectStore;
use futures_util::FutureExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use support::FaultyStore;
use support::SharedRng;
use support::Task;
use support::lock;
use support::random_below;
use support::run;
use support::yield_now;

/// Number of operators; each has its own service and site.
const OPERATORS: u32 = 4;
/// Number of edits of each operator.
const EDITS_PER_OPERATOR: u32 = 6;
/// Number of refreshes of each daemon.
const REFRESHES_PER_DAEMON: u32 = 60;
/// Number of seeds that each case runs.
const SEEDS_PER_CASE: u64 = 12;

/// The values that an edit sets: the operator's own queue limit, and the drift that all share.
#[derive(Debug, Clone, PartialEq, Eq)]
struct ProposedChange {
    operator: u32,
    queue_limit: u32,
    drift: Option<u32>,
}

/// The outcomes that were reported to operators, by edit.
#[derive(Debug, Default)]
struct ReportedOutcomes {
    proposed: BTreeMap<Digest, ProposedChange>,
    accepted: BTreeMap<Digest, Generation>,
    refused: Vec<Digest>,
}

/// Returns files that have each operator's queue limit in the base file and, one higher, in the
/// overlay of its site, so that half of an edit can be detected.
fn config_files(limits: &[u32], drift: u32) -> ConfigFiles {
    let numbered = || limits.iter().enumerate();
    let data_centres: Vec<String> = numbered()
        .map(|(i, _)| format!("  dc-{i}: {{region: r}}\n"))
        .collect();
    let services: Vec<String> = numbered()
        .map(|(i, limit)| {
            format!(
                "  s-{i}:\n    # Operator {i}.\n    key: header k\n    shards: 4\n    slots: 2\n    connections: 9\n    queue_limit: {limit}\n"
            )
        })
        .collect();
    let base = format!(
        "name: race\nregion_link: 1Gbit/s\ntiming: {{drift_ppm: {drift}}}\ndata_centres:\n{}services:\n{}",
        data_centres.concat(),
        services.concat()
    );
    let sites = numbered().map(|(i, limit)| {
        let overlay = format!("services:\n  s-{i}: {{queue_limit: {}}}\n", limit + 1);
        (format!("dc-{i}"), overlay)
    });
    sites.fold(ConfigFiles::new(base), |files, (site, text)| {
        files.with_site(&site, text).expect("site")
    })
}

/// Returns the queue limits and the drift of a deployment.
fn state_of(deployment: &Deployment) -> (Vec<u32>, u32) {
    let limits = deployment
        .services
        .iter()
        .map(|service| service.queue_limit);
    (limits.collect(), deployment.timing.drift_ppm)
}

/// Asserts that a deployment does not contain half of an edit.
fn assert_whole(deployment: &Deployment) {
    for row in &deployment.site_services {
        let base = deployment.service(&row.service.id).expect("service");
        assert_eq!(
            row.service.queue_limit,
            base.queue_limit + 1,
            "half of an edit"
        );
    }
}

/// Creates an edit that applies `change` to the operator's copy of the files.
fn edit_of(change: &ProposedChange, copy: &(Generation, ConfigFiles)) -> Edit {
    let (mut limits, mut drift) = state_of(&copy.1.check().expect("copy").deployment);
    limits[change.operator as usize] = change.queue_limit;
    drift = change.drift.unwrap_or(drift);
    Edit {
        from: copy.0,
        files: config_files(&limits, drift),
        by: format!("operator-{}", change.operator).into(),
    }
}

/// Proposes an edit until its outcome is known. Each call stands for a new process, so that a call
/// that fails to reach the store says nothing about the outcome of the earlier calls.
async fn propose_until_known(store: &FaultyStore, edit: &Edit) -> Option<EditOutcome> {
    let mut is_unknown = false;
    loop {
        match propose(store, edit, WallTime(0), &MaxAttempts(20)).await {
            Ok(outcome) => return Some(outcome),
            Err(err) if err.is_transient() => {
                is_unknown |= err.outcome() == CallOutcome::Unknown;
                if !is_unknown {
                    return None;
                }
                yield_now().await;
            }
            Err(_) => return None,
        }
    }
}

/// Runs an operator, which edits its copy of the files and fetches a new one after a refusal.
async fn run_operator(store: &FaultyStore, operator: u32, reported: &Mutex<ReportedOutcomes>) {
    let mut copy = None;
    for n in 0..EDITS_PER_OPERATOR {
        let from = match copy.take() {
            Some(copy) => copy,
            None => fetch_with_retries(store).await,
        };
        let drift = (random_below(&store.rng, 3) == 0).then(|| 100 * (operator + 1) + n);
        let change = ProposedChange {
            operator,
            queue_limit: 1_000 * (operator + 1) + 10 * n,
            drift,
        };
        let edit = edit_of(&change, &from);
        lock(reported).proposed.insert(edit.id(), change);
        match propose_until_known(store, &edit).await {
            Some(EditOutcome::Accepted {
                generation, files, ..
            }) => {
                lock(reported).accepted.insert(edit.id(), generation);
                copy = Some((generation, files));
            }
            Some(EditOutcome::Unchanged { .. }) => panic!("every edit changes something"),
            None => lock(reported).refused.push(edit.id()),
        }
    }
}

/// Reads the files in force, and retries until the store responds.
async fn fetch_with_retries(store: &FaultyStore) -> (Generation, ConfigFiles) {
    loop {
        if let Ok(Some((head, files))) = fetch_files(store).await {
            return (head.generation, files);
        }
        yield_now().await;
    }
}

/// Runs a daemon, and asserts that its generation never decreases and has no half of an edit.
async fn run_daemon(store: &FaultyStore) {
    let mut view = ConfigView::default();
    let mut last = Generation(0);
    for _ in 0..REFRESHES_PER_DAEMON {
        let refreshed = view.refresh(store).await;
        assert!(view.generation() >= last, "a generation decreased");
        if let Err(err) = refreshed {
            assert!(err.is_transient(), "{err}");
        }
        last = view.generation();
        if let Some(accepted) = view.current() {
            assert_whole(&accepted.deployment);
        }
        yield_now().await;
    }
}

/// Reads all heads from the first generation on.
fn heads_of(store: &MemoryStore) -> Vec<Head> {
    let mut heads = Vec::new();
    let mut name = Some("config/head".to_owned());
    while let Some(found) = name {
        let object = store.get(&found).now_or_never().expect("no wait");
        let value = object.expect("no fault").expect("object").value;
        let head: Head = serde_json::from_slice(&value).expect("head");
        name = head.previous.map(|digest| digest.object_name().into());
        heads.push(head);
    }
    heads.reverse();
    heads
}

/// Reads the deployment of one head.
fn deployment_of(store: &MemoryStore, head: &Head) -> Deployment {
    let text = |digest: Digest| {
        let object = store.get(&digest.object_name()).now_or_never();
        let value = object
            .expect("no wait")
            .expect("no fault")
            .expect("part")
            .value;
        String::from_utf8(value.to_vec()).expect("text")
    };
    let mut files = ConfigFiles::new(text(head.base));
    for (site, digest) in &head.sites {
        files.sites.insert(site.clone(), text(*digest));
    }
    files.check().expect("deployment").deployment
}

/// Replays the history, and asserts that each generation is its predecessor with the change of one
/// edit, and that the reported outcomes match.
fn assert_history(store: &MemoryStore, reported: &ReportedOutcomes) {
    let heads = heads_of(store);
    let (mut limits, mut drift) = state_of(&deployment_of(store, &heads[0]));
    let mut accepted = BTreeMap::new();
    for (i, head) in heads.iter().enumerate() {
        assert_eq!(
            head.generation,
            Generation(i as u64 + 1),
            "generations are consecutive"
        );
        if let Some(change) = reported.proposed.get(&head.edit) {
            limits[change.operator as usize] = change.queue_limit;
            drift = change.drift.unwrap_or(drift);
        }
        let deployment = deployment_of(store, head);
        assert_whole(&deployment);
        assert_eq!(
            state_of(&deployment),
            (limits.clone(), drift),
            "an edit was lost"
        );
        let earlier = accepted.insert(head.edit, head.generation);
        assert_eq!(earlier, None, "an edit took effect twice");
    }
    for (edit, generation) in &reported.accepted {
        assert_eq!(
            accepted.get(edit),
            Some(generation),
            "the generation reported as accepted"
        );
    }
    for edit in &reported.refused {
        assert!(
            !accepted.contains_key(edit),
            "an edit reported as refused took effect"
        );
    }
}

/// Runs all operators and daemons with one seed.
fn race(seed: u64, faults: u32) -> ReportedOutcomes {
    let rng: SharedRng = Arc::new(Mutex::new(ChaCha8Rng::seed_from_u64(seed)));
    let store = FaultyStore::new(&rng, faults);
    let first = Edit {
        from: Generation(0),
        files: config_files(&[1; OPERATORS as usize], 1),
        by: "first".into(),
    };
    let reported = Mutex::new(ReportedOutcomes::default());
    let mut tasks: Vec<Task<'_>> = vec![Box::pin(async {
        while propose_until_known(&store, &first).await.is_none() {}
    })];
    for operator in 0..OPERATORS {
        tasks.push(Box::pin(run_operator(&store, operator, &reported)));
        tasks.push(Box::pin(run_daemon(&store)));
    }
    run(tasks, &rng);
    while store.apply_delayed().now_or_never().expect("no wait") {}
    let reported = reported.into_inner().expect("no panic");
    assert_history(&store.inner, &reported);
    reported
}

#[rstest]
#[case::without_faults(0)]
#[case::some_faults(12)]
#[case::many_faults(40)]
fn concurrent_edits_are_not_lost(#[case] faults: u32) {
    let mut accepted = 0;
    let mut refused = 0;
    for seed in 0..SEEDS_PER_CASE {
        let reported = race(seed, faults);
        accepted += reported.accepted.len();
        refused += reported.refused.len();
    }
    // Both must happen, or the test proves nothing.
    assert!(accepted > 60, "{accepted} accepted");
    assert!(refused > 6, "{refused} refused");
}
