//! Prints the cost of a configuration by its size: the sizes of its objects, and the times to check
//! it, to merge two edits, to accept one changed overlay, and to refresh a view with it.
//!
//! `cargo run --release -p carawayrill-config --example sizes`

use std::time::Instant;

use async_trait::async_trait;
use carawayrill_config::ConfigFiles;
use carawayrill_config::accept::ConfigView;
use carawayrill_config::accept::Edit;
use carawayrill_config::accept::RetryPolicy;
use carawayrill_config::accept::merge;
use carawayrill_config::accept::propose;
use carawayrill_core::id::Generation;
use carawayrill_core::time::WallTime;
use carawayrill_store::memory::MemoryStore;
use carawayrill_store::port::ObjectStore;

/// Total numbers of servers, with numbers of sites.
const SIZES: &[(u32, u32)] = &[(50, 6), (1_000, 14), (10_000, 14), (30_000, 14)];
/// Measurements of each size; the median is printed.
const RUNS: usize = 5;

/// A retry policy that stops after the first attempt.
#[derive(Debug)]
struct NoRetry;

#[async_trait]
impl RetryPolicy for NoRetry {
    async fn wait(&self, _attempt: u32) -> bool {
        false
    }
}

/// Returns a deployment with `servers` spread over `sites`.
fn files(servers: u32, sites: u32) -> ConfigFiles {
    let data_centres: Vec<String> = (0..sites)
        .map(|i| format!("  dc-{i}: {{region: r-{}}}\n", i / 4))
        .collect();
    let base = format!(
        "name: large\nregion_link: 4Gbit/s\ndata_centres:\n{}services:\n  s: {{key: header k, shards: 4096, slots: 6, connections: 130}}\n",
        data_centres.concat()
    );
    (0..sites).fold(ConfigFiles::new(base), |files, site| {
        let rows: Vec<String> = (site..servers)
            .step_by(sites as usize)
            .map(|i| {
                let (high, low) = (i >> 8, i & 255);
                format!("  s-{i:05}: {{service: s, address: 10.1.{high}.{low}:7000}}\n")
            })
            .collect();
        let text = format!("servers:\n{}", rows.concat());
        files.with_site(&format!("dc-{site}"), text).expect("site")
    })
}

/// Returns the files with the first port of one site's overlay replaced by `port`.
fn edited(files: &ConfigFiles, site: usize, port: &str) -> ConfigFiles {
    let mut files = files.clone();
    let text = files.sites.values_mut().nth(site).expect("site");
    *text = text.replacen(":7000}", port, 1);
    files
}

/// Returns the median time of several runs, in milliseconds.
fn median(mut run: impl FnMut()) -> f64 {
    let mut times: Vec<f64> = (0..RUNS)
        .map(|_| {
            let began = Instant::now();
            run();
            began.elapsed().as_secs_f64() * 1_000.0
        })
        .collect();
    times.sort_by(f64::total_cmp);
    times[RUNS / 2]
}

#[tokio::main(flavor = "current_thread")]
async fn main() {
    println!("servers sites base_B overlay_B head_B check_ms merge_ms accept_ms take_in_ms");
    for (servers, sites) in SIZES {
        let before = files(*servers, *sites);
        let ours = edited(&before, 0, ":7001}");
        let theirs = edited(&before, 0, ":7000} # moved");
        let check = median(|| drop(before.check().expect("valid")));
        let merged = median(|| drop(merge(&before, &ours, &theirs).expect("merged")));
        let store = MemoryStore::new();
        let mut from = Generation(0);
        let mut view = ConfigView::default();
        let mut accept_times = Vec::new();
        let mut refresh_times = Vec::new();
        for next in [&before, &ours, &before, &ours, &before, &ours] {
            let edit = Edit {
                from,
                files: next.clone(),
                by: "bench".into(),
            };
            let began = Instant::now();
            let outcome = propose(&store, &edit, WallTime(0), &NoRetry).await;
            accept_times.push(began.elapsed().as_secs_f64() * 1_000.0);
            from = outcome.expect("accepted").generation();
            let began = Instant::now();
            view.refresh(&store).await.expect("refreshed");
            refresh_times.push(began.elapsed().as_secs_f64() * 1_000.0);
        }
        accept_times.sort_by(f64::total_cmp);
        refresh_times.sort_by(f64::total_cmp);
        let head = store.get("config/head").await.expect("read").expect("head");
        let overlay = before.sites.values().map(String::len).max().unwrap_or(0);
        println!(
            "{servers} {sites} {} {overlay} {} {check:.2} {merged:.2} {:.2} {:.2}",
            before.base.len(),
            head.value.len(),
            accept_times[accept_times.len() / 2],
            refresh_times[refresh_times.len() / 2]
        );
    }
}
