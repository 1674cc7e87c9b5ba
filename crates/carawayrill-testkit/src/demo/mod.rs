//! Demonstration of one deployment, from its start through the loss of a router to its graceful
//! stop.

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
use crate::demo::ask::DemoRequest;
use crate::fleet::Error;
use crate::fleet::Fleet;
use crate::fleet::FleetConfig;
use crate::fleet::RouterEndpoints;
use crate::fleet::process;

/// Time limit for all routers to become ready, and for all shards to get an owner.
const START_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum time without a response for a key after its home router is killed.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(5);
/// Time limit for the graceful stop of all processes.
const STOP_TIMEOUT: Duration = Duration::from_secs(15);
/// Interval at which a condition is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Period in which store calls are counted.
const IDLE_PERIOD: Duration = Duration::from_secs(4);

/// Options of the demonstration.
#[derive(Debug, Clone)]
pub struct Options {
    /// Directory to which settings and logs are written.
    pub work: PathBuf,
    /// Directory of the deployment's settings.
    pub deployment: PathBuf,
}

/// Runs the demonstration.
///
/// # Errors
///
/// Fails if a process can't be started, a response is incomplete or wrong, a key is not answered
/// again in time, or a process does not stop gracefully.
pub async fn run(options: &Options) -> Result<(), Error> {
    let deployment = carawayrill_config::load(&options.deployment)?.deployment;
    let mut fleet = Fleet::start(&options.work, &deployment, FleetConfig::default())?;
    println!(
        "started {} processes for {}",
        fleet.running().len(),
        deployment.name
    );
    apply(&fleet, options)?;
    wait_ready(&fleet).await?;
    let routes = wait_assigned(&fleet, &deployment).await?;
    request_each_service(&fleet, &deployment, &routes).await?;
    print_idle_calls(&fleet).await?;
    let shard = kill_home_router(&mut fleet, &deployment, &routes).await?;
    println!("stopping all processes gracefully");
    fleet.stop(STOP_TIMEOUT)?;
    print_timeline(&fleet, &shard)
}

/// Applies the deployment's settings with the command line tool, as an operator does.
///
/// Works on a copy of the files, because the command writes the generation beside them.
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
        Err(format!("`carawayrill apply` failed: {status}").into())
    }
}

/// Waits until the readiness check of every router succeeds.
async fn wait_ready(fleet: &Fleet) -> Result<(), Error> {
    let began = Instant::now();
    for router in fleet.routers() {
        state::wait_ready(router.http, START_TIMEOUT).await?;
    }
    println!(
        "all routers are ready after {} ms",
        began.elapsed().as_millis()
    );
    Ok(())
}

/// Waits until every shard has an owner and returns the assignments.
async fn wait_assigned(fleet: &Fleet, deployment: &Deployment) -> Result<RouteTable, Error> {
    let shards: usize = deployment
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
        check_limit(began, START_TIMEOUT, "some shards have no owner")?;
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Sends one request to each service through a router that is not the home of the key.
async fn request_each_service(
    fleet: &Fleet,
    deployment: &Deployment,
    routes: &RouteTable,
) -> Result<(), Error> {
    for service in &deployment.services {
        let request = DemoRequest::new(service, &format!("{}-demo", service.id));
        let row = assignment_for(routes, &request, service.shards)?;
        let entry = other_router(fleet, &row.home)?;
        let began = Instant::now();
        // The servers may not have received their first grants yet.
        let response = loop {
            match ask::send(&entry, &request).await {
                Ok(response) => break response,
                Err(err) => check_limit(began, START_TIMEOUT, &err.to_string())?,
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        };
        println!(
            "{}: {response} (entry {}, home {})",
            service.id, entry.name, row.home
        );
    }
    Ok(())
}

/// Prints the rate of store calls while the deployment is idle.
async fn print_idle_calls(fleet: &Fleet) -> Result<(), Error> {
    let before = state::call_counts(fleet.store()).await?;
    tokio::time::sleep(IDLE_PERIOD).await;
    let after = state::call_counts(fleet.store()).await?;
    let rate = |before: u64, after: u64| (after - before) as f64 / IDLE_PERIOD.as_secs_f64();
    println!(
        "store calls per second while idle: {:.1} reads, {:.1} writes, {:.1} watches",
        rate(before.reads, after.reads),
        rate(before.writes, after.writes),
        rate(before.watches, after.watches)
    );
    Ok(())
}

/// Kills the home router of one key, waits until the key is answered again, and returns the shard.
async fn kill_home_router(
    fleet: &mut Fleet,
    deployment: &Deployment,
    routes: &RouteTable,
) -> Result<ShardId, Error> {
    let service = deployment
        .services
        .first()
        .ok_or("the deployment has no service")?;
    let request = DemoRequest::new(service, &format!("{}-demo", service.id));
    let row = assignment_for(routes, &request, service.shards)?;
    let (shard, home) = (row.shard.clone(), row.home.clone());
    let entry = other_router(fleet, &home)?;
    println!(
        "killing {home}, the home router of the key of {}",
        service.id
    );
    fleet.process(home.as_str())?.kill()?;
    let began = Instant::now();
    loop {
        match ask::send(&entry, &request).await {
            Ok(response) => {
                println!(
                    "{}: {response}, {} ms after the kill",
                    service.id,
                    began.elapsed().as_millis()
                );
                return Ok(shard);
            }
            Err(err) => check_limit(began, RECOVERY_TIMEOUT, &err.to_string())?,
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

fn assignment_for<'a>(
    routes: &'a RouteTable,
    request: &DemoRequest,
    ranges: u32,
) -> Result<&'a Assignment, Error> {
    let shard = routes.shard_of(&request.service, request.key_hash(), ranges);
    let row = routes
        .row(&shard)
        .ok_or_else(|| format!("shard {shard} has no owner"))?;
    Ok(row)
}

fn other_router(fleet: &Fleet, home: &RouterId) -> Result<RouterEndpoints, Error> {
    let mut others = fleet
        .routers()
        .into_iter()
        .filter(|router| router.name != home.as_str());
    others
        .next()
        .ok_or_else(|| "the deployment has only one router".into())
}

fn check_limit(began: Instant, limit: Duration, what: &str) -> Result<(), Error> {
    if began.elapsed() < limit {
        return Ok(());
    }
    Err(format!("{what}; gave up after {} ms", began.elapsed().as_millis()).into())
}

/// Prints the events of one shard from the merged timeline of all processes.
fn print_timeline(fleet: &Fleet, shard: &ShardId) -> Result<(), Error> {
    let all = timeline(fleet, &[])?;
    let rows = timeline(fleet, &["--shard", &shard.to_string()])?;
    println!(
        "the timeline has {} events; events of shard {shard}:",
        all.lines().count()
    );
    for row in rows.lines() {
        println!("  {row}");
    }
    Ok(())
}

fn timeline(fleet: &Fleet, options: &[&str]) -> Result<String, Error> {
    let output = Command::new(process::binary("carawayrill")?)
        .arg("timeline")
        .args(options)
        .args(fleet.logs())
        .output()?;
    if !output.status.success() {
        return Err(format!(
            "`carawayrill timeline` failed: {}",
            String::from_utf8_lossy(&output.stderr)
        )
        .into());
    }
    Ok(String::from_utf8(output.stdout)?)
}
