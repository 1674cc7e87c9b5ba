//! The demonstration: one deployment from its start to its planned stop.

pub mod ask;

use std::path::PathBuf;
use std::process::Command;
use std::time::Duration;
use std::time::Instant;

use carawayrill_config::ConfigFiles;
use carawayrill_config::deployment::Deployment;
use carawayrill_core::assignment::Assignment;
use carawayrill_core::id::RouterId;
use carawayrill_core::id::ShardId;
use carawayrill_core::route::RouteTable;

use crate::bench::state;
use crate::demo::ask::Question;
use crate::fleet::Error;
use crate::fleet::Fleet;
use crate::fleet::FleetConfig;
use crate::fleet::RouterPlace;
use crate::fleet::process;

/// How long the deployment may take until all routers are ready and all keys have an owner.
const START_LIMIT: Duration = Duration::from_secs(30);
/// How long a key may go unanswered after its home router was killed.
const RECOVERY_LIMIT: Duration = Duration::from_secs(5);
/// How long the planned stop of all processes may take.
const STOP_LIMIT: Duration = Duration::from_secs(15);
/// The pause between two looks at something awaited.
const POLL: Duration = Duration::from_millis(50);
/// How long the store's calls are counted.
const IDLE_SPAN: Duration = Duration::from_secs(4);

/// What to show.
#[derive(Debug, Clone)]
pub struct Options {
    /// Where settings and event lines are written.
    pub work: PathBuf,
    /// The deployment's folder.
    pub deployment: PathBuf,
}

/// Runs the demonstration.
///
/// # Errors
///
/// Fails if a process can't be started, an answer is not whole and right, a key is not answered
/// again in time, or a process does not stop by plan.
pub async fn run(options: &Options) -> Result<(), Error> {
    let whole = carawayrill_config::load(&options.deployment)?.deployment;
    let mut fleet = Fleet::start(&options.work, &whole, FleetConfig::default())?;
    println!(
        "started {} processes for {}",
        fleet.running().len(),
        whole.name
    );
    apply(&fleet, options)?;
    wait_ready(&fleet).await?;
    let routes = wait_assigned(&fleet, &whole).await?;
    ask_each_service(&fleet, &whole, &routes).await?;
    print_idle_calls(&fleet).await?;
    let shard = lose_home(&mut fleet, &whole, &routes).await?;
    println!("stopping all processes by plan");
    fleet.stop(STOP_LIMIT)?;
    print_time_line(&fleet, &shard)
}

/// Brings a copy of the deployment's files into force, as an operator does. A copy, because the
/// command notes the generation beside the files.
fn apply(fleet: &Fleet, options: &Options) -> Result<(), Error> {
    let copy = options.work.join("deployment");
    ConfigFiles::read(&options.deployment)?.write(&copy)?;
    let status = Command::new(process::binary("carawayrill")?)
        .args(["apply", "--by", "demo", "--wait", "10s", "--store"])
        .arg(format!("http://{}", fleet.store()))
        .arg(&copy)
        .status()?;
    if status.success() {
        Ok(())
    } else {
        Err(format!("apply ended with {status}").into())
    }
}

/// Waits until every router says that it is ready.
async fn wait_ready(fleet: &Fleet) -> Result<(), Error> {
    let began = Instant::now();
    for router in fleet.routers() {
        state::wait_ready(router.http, START_LIMIT).await?;
    }
    println!(
        "all routers are ready after {} ms",
        began.elapsed().as_millis()
    );
    Ok(())
}

/// Waits until every shard has an owner, and returns the assignments.
async fn wait_assigned(fleet: &Fleet, whole: &Deployment) -> Result<RouteTable, Error> {
    let shards: usize = whole
        .services
        .iter()
        .map(|service| service.shards as usize)
        .sum();
    let began = Instant::now();
    loop {
        let routes = state::routes(fleet.store()).await?;
        if routes.rows().count() == shards {
            println!(
                "all {shards} shards have an owner after {} ms",
                began.elapsed().as_millis()
            );
            return Ok(routes);
        }
        check_limit(began, START_LIMIT, "some shards have no owner")?;
        tokio::time::sleep(POLL).await;
    }
}

/// Sends one request to each service, to a router that is not the home of the key.
async fn ask_each_service(
    fleet: &Fleet,
    whole: &Deployment,
    routes: &RouteTable,
) -> Result<(), Error> {
    for service in &whole.services {
        let question = Question::new(service, &format!("{}-demo", service.id));
        let row = row_of(routes, &question, service.shards)?;
        let entry = other_router(fleet, &row.home)?;
        let began = Instant::now();
        // The first grants may still be on their way.
        let answer = loop {
            match ask::ask(&entry, &question).await {
                Ok(answer) => break answer,
                Err(err) => check_limit(began, START_LIMIT, &err.to_string())?,
            }
            tokio::time::sleep(POLL).await;
        };
        println!(
            "{}: {answer} (entry {}, home {})",
            service.id, entry.name, row.home
        );
    }
    Ok(())
}

/// Prints how many calls the store gets while nothing happens.
async fn print_idle_calls(fleet: &Fleet) -> Result<(), Error> {
    let before = state::calls(fleet.store()).await?;
    tokio::time::sleep(IDLE_SPAN).await;
    let after = state::calls(fleet.store()).await?;
    let rate = |before: u64, after: u64| (after - before) as f64 / IDLE_SPAN.as_secs_f64();
    println!(
        "store calls a second while idle: {:.1} reads, {:.1} writes, {:.1} watches",
        rate(before.reads, after.reads),
        rate(before.writes, after.writes),
        rate(before.watches, after.watches)
    );
    Ok(())
}

/// Kills the home router of one key and waits until the key is answered again. Returns the shard.
async fn lose_home(
    fleet: &mut Fleet,
    whole: &Deployment,
    routes: &RouteTable,
) -> Result<ShardId, Error> {
    let service = whole
        .services
        .first()
        .ok_or("the deployment has no service")?;
    let question = Question::new(service, &format!("{}-demo", service.id));
    let row = row_of(routes, &question, service.shards)?;
    let (shard, home) = (row.shard.clone(), row.home.clone());
    let entry = other_router(fleet, &home)?;
    println!("killing {home}, the home of the key of {}", service.id);
    fleet.process(home.as_str())?.kill()?;
    let began = Instant::now();
    loop {
        match ask::ask(&entry, &question).await {
            Ok(answer) => {
                println!(
                    "{}: {answer}, {} ms after the kill",
                    service.id,
                    began.elapsed().as_millis()
                );
                return Ok(shard);
            }
            Err(err) => check_limit(began, RECOVERY_LIMIT, &err.to_string())?,
        }
        tokio::time::sleep(POLL).await;
    }
}

fn row_of<'a>(
    routes: &'a RouteTable,
    question: &Question,
    ranges: u32,
) -> Result<&'a Assignment, Error> {
    let shard = routes.shard_of(&question.service, question.key_hash(), ranges);
    let row = routes
        .row(&shard)
        .ok_or_else(|| format!("{shard} has no owner"))?;
    Ok(row)
}

fn other_router(fleet: &Fleet, home: &RouterId) -> Result<RouterPlace, Error> {
    let mut others = fleet
        .routers()
        .into_iter()
        .filter(|router| router.name != home.as_str());
    others
        .next()
        .ok_or_else(|| "there is only one router".into())
}

fn check_limit(began: Instant, limit: Duration, what: &str) -> Result<(), Error> {
    if began.elapsed() < limit {
        return Ok(());
    }
    Err(format!("{what}, {} ms on", began.elapsed().as_millis()).into())
}

/// Prints the merged time line of all processes, as far as it is about one shard.
fn print_time_line(fleet: &Fleet, shard: &ShardId) -> Result<(), Error> {
    let all = time_line(fleet, &[])?;
    let rows = time_line(fleet, &["--shard", &shard.to_string()])?;
    println!(
        "the time line has {} events; those of {shard}:",
        all.lines().count()
    );
    for row in rows.lines() {
        println!("  {row}");
    }
    Ok(())
}

fn time_line(fleet: &Fleet, options: &[&str]) -> Result<String, Error> {
    let output = Command::new(process::binary("carawayrill")?)
        .arg("timeline")
        .args(options)
        .args(fleet.logs())
        .output()?;
    if !output.status.success() {
        return Err(format!("timeline: {}", String::from_utf8_lossy(&output.stderr)).into());
    }
    Ok(String::from_utf8(output.stdout)?)
}
