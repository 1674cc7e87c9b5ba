//! A planned stop with the longer grace of a large deployment: requests that are taken more than 3 s
//! after the SIGTERM are broken off while their server is at work.

use std::thread;
use std::time::{Duration, Instant};

use crate::front::{Limits, SMALL};
use crate::http::Conn;
use crate::server::Server;
use crate::world::{HOST, Record, Route, World, manifest};

/// The bounds of `large/ledgerwell-gw-large.toml`.
const LARGE: Limits = Limits { grace_s: 10, drain_ms: 3_000, config_apply_ms: 3_000, ..SMALL };
/// The time limit of uploads there.
const DEADLINE: Duration = Duration::from_secs(8);
/// What an upload takes: at most 4,000 ms of work, at a server that is 0.8 times as fast as usual.
const WORK: Duration = Duration::from_secs(5);
/// When clients send their next request on connections that they have kept open.
const SENT_AFTER: Duration = Duration::from_millis(4_200);
const CALLERS: usize = 10;

pub fn run(record: &mut Record, trouble: bool) -> Result<Vec<String>, String> {
    let mut world = World::new(2, LARGE);
    let route = |name, prefix, service| Route {
        name,
        prefix,
        kind: "upload",
        service,
        timeout_ms: 8_000,
        target_ms: 3_000,
    };
    let routes = [route("r-docs", "/docs/", "vaultsvc"), route("r-sign", "/sign/", "signsvc")];
    let services = [("vaultsvc", false), ("signsvc", false)];
    world.store.put("config", "main", manifest(3, &routes, &services));
    for number in 0..3 {
        for (service, work) in [("vaultsvc", WORK), ("signsvc", Duration::from_millis(100))] {
            let id = format!("i-{service}-{number}");
            world.servers.push(Server::start(&world.store, &id, service, false, work, 400));
        }
    }
    world.start_fronts()?;
    thread::sleep(Duration::from_secs(4));
    let front = &world.fronts[1];
    let mut conns = Vec::new();
    for caller in 0..CALLERS {
        let mut conn = Conn::open(front.listen, DEADLINE * 2).map_err(|err| err.to_string())?;
        let status = exchange(&mut conn, &format!("first-{caller}"), "/sign/x");
        if status.as_ref().map_or(0, |(status, _)| *status) != 200 {
            return Err(format!("the first request on a connection ended with {status:?}"));
        }
        record.line(format!("first-{caller} POST /sign/x to {}: 200", front.name));
        conns.push(conn);
    }
    record.line(format!("{CALLERS} clients keep connections to {}", front.name));
    let stopped = Instant::now();
    if trouble {
        record.line(format!("SIGTERM to {}", front.name));
        front.signal("-TERM");
    }
    thread::sleep(SENT_AFTER.saturating_sub(stopped.elapsed()));
    let calls: Vec<_> = conns
        .into_iter()
        .enumerate()
        .map(|(caller, mut conn)| {
            let record = record.clone();
            thread::spawn(move || {
                let id = format!("late-{caller}");
                let sent = Instant::now();
                let answer = exchange(&mut conn, &id, "/docs/x");
                let took = sent.elapsed();
                let text = match &answer {
                    Some((status, reason)) => format!("{status} {reason}"),
                    None => "the connection ends without an answer".into(),
                };
                record.line(format!(
                    "{id} POST /docs/x, sent {} ms after the signal: {text} after {} ms",
                    (sent - stopped).as_millis(),
                    took.as_millis()
                ));
                (id, answer.map_or(0, |(status, _)| status), took)
            })
        })
        .collect();
    let mut broken = Vec::new();
    for call in calls {
        let (id, status, took) = call.join().map_err(|_| "a client failed")?;
        let run = world
            .servers
            .iter()
            .flat_map(|server| server.runs.lock().unwrap().clone())
            .find(|run| run.id == id);
        let Some(run) = run else {
            record.line(format!("{id} was run by no server"));
            continue;
        };
        record.line(format!("{id} was run from {:.3}, for {} ms", record.at(run.at), WORK.as_millis()));
        // The server needs 5 s, the client waits for 8 s, and so does the route.
        if status != 200 && took < DEADLINE {
            broken.push(format!(
                "LOST: {id} was passed on to a server, and ended with {status} after {} ms while that was at work",
                took.as_millis()
            ));
        }
    }
    Ok(broken)
}

/// Sends an upload on a kept connection. Returns the status of the answer, and its body if that is short.
fn exchange(conn: &mut Conn, id: &str, path: &str) -> Option<(u16, String)> {
    let headers = [
        ("host", HOST.to_owned()),
        ("x-request-id", id.to_owned()),
        ("x-deadline-ms", DEADLINE.as_millis().to_string()),
    ];
    conn.write(&format!("POST {path} HTTP/1.1"), &headers, b"document").ok()?;
    let resp = conn.read().ok()?;
    let reason = if resp.body.len() < 40 { String::from_utf8_lossy(&resp.body).into_owned() } else { String::new() };
    Some((resp.status(), reason))
}
