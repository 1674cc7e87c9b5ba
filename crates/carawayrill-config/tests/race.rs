//! Operators race over a failing store: no accepted edit is lost, no half of one is seen, no
//! generation goes back.

#[path = "support/attempts.rs"]
mod attempts;
mod support;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;

use attempts::Attempts;
use carawayrill_config::Parts;
use carawayrill_config::accept::Answer;
use carawayrill_config::accept::ConfigView;
use carawayrill_config::accept::Digest;
use carawayrill_config::accept::Edit;
use carawayrill_config::accept::Head;
use carawayrill_config::accept::fetch_parts;
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
use support::Dice;
use support::FaultyStore;
use support::Task;
use support::below;
use support::give_way;
use support::lock;
use support::run;

/// Operators at work; each has a service and a site of its own.
const OPERATORS: u32 = 4;
/// Edits of each operator.
const EDITS: u32 = 6;
/// Looks of each daemon.
const LOOKS: u32 = 60;
/// Races of each case.
const SEEDS: u64 = 12;

/// What an edit sets: the operator's own queue limit, and the drift that all operators share.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Wish {
    operator: u32,
    queue_limit: u32,
    drift: Option<u32>,
}

/// What operators were told, by edit.
#[derive(Debug, Default)]
struct Told {
    wishes: BTreeMap<Digest, Wish>,
    accepted: BTreeMap<Digest, Generation>,
    refused: Vec<Digest>,
}

/// Writes the files: each operator's queue limit stands in the base file and, one higher, in the
/// overlay of its site, so that half of an edit shows.
fn files(limits: &[u32], drift: u32) -> Parts {
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
    sites.fold(Parts::new(base), |parts, (site, text)| {
        parts.with_site(&site, text).expect("site")
    })
}

/// Reads the queue limits and the drift back.
fn state_of(deployment: &Deployment) -> (Vec<u32>, u32) {
    let limits = deployment
        .services
        .iter()
        .map(|service| service.queue_limit);
    (limits.collect(), deployment.timing.drift_ppm)
}

/// Asserts that no half of an edit is in a deployment.
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

/// Makes an edit of the operator's copy of the files.
fn edit_of(wish: &Wish, copy: &(Generation, Parts)) -> Edit {
    let (mut limits, mut drift) = state_of(&copy.1.check().expect("copy").deployment);
    limits[wish.operator as usize] = wish.queue_limit;
    drift = wish.drift.unwrap_or(drift);
    Edit {
        from: copy.0,
        parts: files(&limits, drift),
        by: format!("operator-{}", wish.operator).into(),
    }
}

/// Proposes an edit again and again until its fate is known. Each call may be another process, so
/// that a call which only failed to reach the store says nothing about the calls before it.
async fn settle(store: &FaultyStore, edit: &Edit) -> Option<Answer> {
    let mut is_open = false;
    loop {
        match propose(store, edit, WallTime(0), &Attempts(20)).await {
            Ok(answer) => return Some(answer),
            Err(err) if err.is_passing() => {
                is_open |= err.fate() == CallOutcome::Unknown;
                if !is_open {
                    return None;
                }
                give_way().await;
            }
            Err(_) => return None,
        }
    }
}

/// One operator: edits its copy, which may be old, and fetches a new one after a refusal.
async fn operate(store: &FaultyStore, operator: u32, told: &Mutex<Told>) {
    let mut copy = None;
    for n in 0..EDITS {
        let from = match copy.take() {
            Some(copy) => copy,
            None => fetched(store).await,
        };
        let drift = (below(&store.dice, 3) == 0).then(|| 100 * (operator + 1) + n);
        let wish = Wish {
            operator,
            queue_limit: 1_000 * (operator + 1) + 10 * n,
            drift,
        };
        let edit = edit_of(&wish, &from);
        lock(told).wishes.insert(edit.id(), wish);
        match settle(store, &edit).await {
            Some(Answer::Accepted {
                generation, parts, ..
            }) => {
                lock(told).accepted.insert(edit.id(), generation);
                copy = Some((generation, parts));
            }
            Some(Answer::Unchanged { .. }) => panic!("every edit changes something"),
            None => lock(told).refused.push(edit.id()),
        }
    }
}

/// Reads the files in force, however often the store fails.
async fn fetched(store: &FaultyStore) -> (Generation, Parts) {
    loop {
        if let Ok(Some((head, parts))) = fetch_parts(store).await {
            return (head.generation, parts);
        }
        give_way().await;
    }
}

/// One daemon: its generation never goes back, and what it sees is whole.
async fn observe(store: &FaultyStore) {
    let mut view = ConfigView::default();
    let mut last = Generation(0);
    for _ in 0..LOOKS {
        let taken = view.refresh(store).await;
        assert!(view.generation() >= last, "a generation went back");
        if let Err(err) = taken {
            assert!(err.is_passing(), "{err}");
        }
        last = view.generation();
        if let Some(accepted) = view.current() {
            assert_whole(&accepted.deployment);
        }
        give_way().await;
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
    let mut parts = Parts::new(text(head.base));
    for (site, digest) in &head.sites {
        parts.sites.insert(site.clone(), text(*digest));
    }
    parts.check().expect("deployment").deployment
}

/// Replays the history: each generation is the one before with one edit's wish, and operators were
/// told just that.
fn assert_history(store: &MemoryStore, told: &Told) {
    let heads = heads_of(store);
    let (mut limits, mut drift) = state_of(&deployment_of(store, &heads[0]));
    let mut landed = BTreeMap::new();
    for (i, head) in heads.iter().enumerate() {
        assert_eq!(
            head.generation,
            Generation(i as u64 + 1),
            "generations in turn"
        );
        if let Some(wish) = told.wishes.get(&head.edit) {
            limits[wish.operator as usize] = wish.queue_limit;
            drift = wish.drift.unwrap_or(drift);
        }
        let deployment = deployment_of(store, head);
        assert_whole(&deployment);
        assert_eq!(
            state_of(&deployment),
            (limits.clone(), drift),
            "an edit was lost"
        );
        let twice = landed.insert(head.edit, head.generation);
        assert_eq!(twice, None, "an edit took effect twice");
    }
    for (edit, generation) in &told.accepted {
        assert_eq!(landed.get(edit), Some(generation), "told of a generation");
    }
    for edit in &told.refused {
        assert!(!landed.contains_key(edit), "told that nothing was changed");
    }
}

/// Runs one race.
fn race(seed: u64, faults: u32) -> Told {
    let dice: Dice = Arc::new(Mutex::new(ChaCha8Rng::seed_from_u64(seed)));
    let store = FaultyStore::new(&dice, faults);
    let first = Edit {
        from: Generation(0),
        parts: files(&[1; OPERATORS as usize], 1),
        by: "first".into(),
    };
    let told = Mutex::new(Told::default());
    let mut tasks: Vec<Task<'_>> = vec![Box::pin(async {
        while settle(&store, &first).await.is_none() {}
    })];
    for operator in 0..OPERATORS {
        tasks.push(Box::pin(operate(&store, operator, &told)));
        tasks.push(Box::pin(observe(&store)));
    }
    run(tasks, &dice);
    while store.land_one().now_or_never().expect("no wait") {}
    let told = told.into_inner().expect("no panic");
    assert_history(&store.inner, &told);
    told
}

#[rstest]
#[case::without_faults(0)]
#[case::some_faults(12)]
#[case::many_faults(40)]
fn racing_operators_lose_nothing(#[case] faults: u32) {
    let mut accepted = 0;
    let mut refused = 0;
    for seed in 0..SEEDS {
        let told = race(seed, faults);
        accepted += told.accepted.len();
        refused += told.refused.len();
    }
    // Both have to happen, or the race shows nothing.
    assert!(accepted > 60, "{accepted} accepted");
    assert!(refused > 6, "{refused} refused");
}
