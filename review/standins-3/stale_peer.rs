//! A front that is cut off from the store answers requests of another front by an old manifest.

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use crate::front::SMALL;
use crate::http::Message;
use crate::server::Server;
use crate::world::{Record, Route, World, ask, manifest};

const CONFIG_APPLY: Duration = Duration::from_secs(2);
const DEADLINE: Duration = Duration::from_millis(1_000);
/// The longest time for which the store turns machines away, by the site file.
const AWAY: Duration = Duration::from_secs(9);
/// The servers of each service.
const SERVERS: usize = 8;
/// The fronts; one of them is turned away.
const FRONTS: usize = 4;
/// The callers that ask one front at the same time.
const CALLERS: usize = 10;

fn routes(docs: &'static str) -> Vec<Route<'static>> {
    let route = |name, prefix, kind, service| Route {
        name,
        prefix,
        kind,
        service,
        timeout_ms: 1_000,
        target_ms: 500,
    };
    vec![
        route("r-forms", "/forms/", "safe", "formsvc"),
        route("r-docs", "/docs/", "upload", docs),
    ]
}

pub fn run(record: &mut Record, trouble: bool) -> Result<Vec<String>, String> {
    let services = [("formsvc", true), ("vaultsvc", false)];
    let mut world = World::new(FRONTS, SMALL);
    world.store.put("config", "main", manifest(3, &routes("vaultsvc"), &services));
    for number in 0..SERVERS {
        for (service, sharded) in services {
            let id = format!("i-{service}-{number}");
            let work = Duration::from_millis(20);
            let server = Server::start(&world.store, &id, service, sharded, work, 100);
            world.servers.push(server);
            thread::sleep(Duration::from_millis(37));
        }
    }
    world.start_fronts()?;
    thread::sleep(Duration::from_secs(4));
    let granter = world.granter().ok_or("no granter")?;
    let others: Vec<usize> = (0..FRONTS).filter(|index| *index != granter).collect();
    let (asked, away) = (others[0], others[1]);
    // The other fronts are restarted in turn, as for an upgrade.
    for index in others.iter().copied() {
        let front = &mut world.fronts[index];
        record.line(format!("{} is restarted by SIGTERM", front.name));
        front.signal("-TERM");
        let until = Instant::now() + Duration::from_secs(7);
        while !front.has_ended() && Instant::now() < until {
            thread::sleep(Duration::from_millis(20));
        }
        front.kill();
        front.start();
        world.wait(Duration::from_secs(10), "the front is ready again", |world| {
            world.fronts[index].is_ready()
        })?;
    }
    thread::sleep(Duration::from_secs(3));
    if world.granter() != Some(granter) {
        return Err("another granter".into());
    }
    let asked_name = world.fronts[asked].name.clone();
    let asked_at = world.fronts[asked].listen;
    record.line(format!(
        "granter {}, clients ask {asked_name}, the store turns away {}",
        world.fronts[granter].name, world.fronts[away].name
    ));
    let began = Instant::now();
    let skipped = std::env::var("SKIP").unwrap_or_default();
    let has = |part: &str| trouble && !skipped.contains(part);
    if has("store") {
        record.line(format!("the store turns {} away (503)", world.fronts[away].name));
        world.store.away.lock().unwrap()[away] = true;
        thread::sleep(Duration::from_millis(200));
    }
    if has("kill") {
        record.line(format!("{} is killed, and started again", world.fronts[granter].name));
        world.fronts[granter].kill();
        thread::sleep(Duration::from_millis(400));
        world.fronts[granter].start();
        thread::sleep(Duration::from_millis(800));
    }
    world.store.put("config", "main", manifest(7, &[routes("formsvc"), vec![Route {
        name: "r-new",
        prefix: "/new/",
        kind: "safe",
        service: "formsvc",
        timeout_ms: 1_000,
        target_ms: 500,
    }]].into_iter().flatten().collect::<Vec<_>>(), &services));
    let acknowledged = Instant::now();
    record.line("manifest r7 acknowledged: /docs/ goes to formsvc, /new/ is added".into());
    thread::sleep(CONFIG_APPLY + Duration::from_millis(200));
    // The manifest is in force at the front that clients ask.
    let crashing = &world.servers[0];
    let keys: Vec<u64> = (0..65_536).step_by(97).filter(|key| crashing.holds(*key)).collect();
    // The servers of formsvc have even indices.
    let kept = (0..65_536).step_by(997).find(|key| world.servers[2].holds(*key));
    let (Some(kept), false) = (kept, keys.is_empty()) else {
        return Err("one server holds no keys".into());
    };
    for path in ["/new/0", "/docs/0"] {
        let resp = ask(asked_at, &format!("check{path}"), "POST", path, Some(kept), DEADLINE, b"b");
        let status = resp.as_ref().map_or(0, |resp| resp.status());
        record.line(format!("{asked_name} answers {path} with key {kept}: {status}"));
        if status != 200 {
            return Err(format!("{path} is not served by {asked_name}"));
        }
    }
    if has("crash") {
        record.line(format!("server {} crashes", crashing.id));
        crashing.crash();
        thread::sleep(Duration::from_millis(5));
    }
    let until = began + AWAY - Duration::from_millis(1_500);
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let (record, keys, name) = (record.clone(), keys.clone(), asked_name.clone());
            thread::spawn(move || {
                let mut missed = Vec::new();
                for turn in 0.. {
                    if Instant::now() >= until {
                        break;
                    }
                    let key = keys[(caller * 7 + turn) % keys.len()];
                    let id = format!("r{caller}-{turn}");
                    missed.extend(call(&record, &name, asked_at, &id, caller, key, acknowledged));
                    thread::sleep(Duration::from_millis(50));
                }
                missed
            })
        })
        .collect();
    let mut broken: Vec<String> = Vec::new();
    for caller in callers {
        broken.extend(caller.join().map_err(|_| "a caller failed")?);
    }
    for server in &world.servers {
        for run in server.runs.lock().unwrap().iter() {
            record.line(format!("{} ran {} {} at {:.3}", server.id, run.id, run.path, record.at(run.at)));
            if server.service == "vaultsvc" && run.id.starts_with('r') {
                broken.push(format!(
                    "CONFIG: {} for {} was run by {} of vaultsvc, as only r3 allows",
                    run.id, run.path, server.id
                ));
            }
        }
    }
    Ok(broken)
}

/// Sends one request, and returns how its answer breaks the rule.
fn call(
    record: &Record,
    name: &str,
    to: SocketAddr,
    id: &str,
    caller: usize,
    key: u64,
    acknowledged: Instant,
) -> Option<String> {
    let (method, path) = if caller % 2 == 0 { ("POST", "/docs/") } else { ("GET", "/new/") };
    let after = acknowledged.elapsed().as_millis();
    let target = format!("{path}{id}");
    let resp = ask(to, id, method, &target, Some(key), DEADLINE, b"document");
    let status = resp.as_ref().map_or(0, Message::status);
    let signature = resp.as_ref().and_then(|resp| resp.header("x-response-signature"));
    let signature = signature.unwrap_or("none").to_owned();
    let reason = match &resp {
        Some(resp) if resp.body.len() < 40 => String::from_utf8_lossy(&resp.body).into_owned(),
        _ => String::new(),
    };
    record.line(format!(
        "{id} {method} {target} key {key} to {name}, {after} ms after r7: {status} {reason}, signature {signature}"
    ));
    (status == 404)
        .then(|| format!("CONFIG: {id} for {target} gets 404, {after} ms after r7 was acknowledged"))
}
