//! Callers keep their connections open: a front holds a buffer of the size of the largest response for each.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::front::{Limits, SMALL};
use crate::http::Conn;
use crate::server::Server;
use crate::world::{HOST, Record, Route, World, manifest};

/// The smallest machine of `demands/spm-booking-grown.toml`.
const LIMITS: Limits = Limits { memory_mb: 160, drain_ms: 3_000, config_apply_ms: 3_000, ..SMALL };
/// The largest response there, in bytes.
const BODY: usize = 540_000;
/// Four fifths of `idleTimeout`.
const IDLE: Duration = Duration::from_secs(12);
const DEADLINE: Duration = Duration::from_secs(6);
/// The callers of each front that is left, and if no machine is lost.
const CALLERS: usize = 350;
const USUAL_CALLERS: usize = 35;
const DURATION: Duration = Duration::from_secs(75);
const RESTART: Duration = Duration::from_millis(800);
const FRONTS: usize = 2;

pub fn run(record: &mut Record, trouble: bool) -> Result<Vec<String>, String> {
    let mut world = World::new(FRONTS, LIMITS);
    let routes = [Route {
        name: "r-manifest",
        prefix: "/manifest/",
        kind: "download",
        service: "roster-desk",
        timeout_ms: 6_000,
        target_ms: 2_000,
    }];
    world.store.put("config", "main", manifest(3, &routes, &[("roster-desk", false)]));
    for number in 0..8 {
        let id = format!("i-desk-{number}");
        let work = Duration::from_millis(150);
        world.servers.push(Server::start(&world.store, &id, "roster-desk", false, work, BODY));
    }
    world.start_fronts()?;
    thread::sleep(Duration::from_secs(2));
    let callers = if trouble { CALLERS } else { USUAL_CALLERS };
    record.line(format!(
        "{FRONTS} fronts of {} MB, {callers} callers each, one download of {BODY} bytes in {} s from each caller",
        LIMITS.memory_mb,
        IDLE.as_secs()
    ));
    let is_over = Arc::new(AtomicBool::new(false));
    let served = Arc::new(AtomicUsize::new(0));
    let cut = Arc::new(AtomicUsize::new(0));
    let mut threads = Vec::new();
    for front in &world.fronts {
        for caller in 0..callers {
            let (to, name) = (front.listen, front.name.clone());
            let (is_over, served, cut) = (Arc::clone(&is_over), Arc::clone(&served), Arc::clone(&cut));
            let record = record.clone();
            threads.push(thread::spawn(move || {
                thread::sleep(IDLE.mul_f64(caller as f64 / callers as f64));
                let mut kept: Option<Conn> = None;
                for turn in 0.. {
                    if is_over.load(Ordering::Relaxed) {
                        return;
                    }
                    let began = Instant::now();
                    let id = format!("{name}-{caller}-{turn}");
                    let was_kept = kept.is_some();
                    match download(kept.take(), to, &id) {
                        Ok(Some(conn)) => {
                            let took = began.elapsed().as_millis();
                            record.line(format!("{id} GET /manifest/1: 200, {BODY} bytes in {took} ms"));
                            served.fetch_add(1, Ordering::Relaxed);
                            kept = Some(conn);
                        }
                        Ok(None) => record.line(format!("{id} GET /manifest/1: refused")),
                        Err(_) => {
                            if was_kept {
                                cut.fetch_add(1, Ordering::Relaxed);
                                record.line(format!("{id}: no answer on a kept connection"));
                            }
                            // The front has ended; the caller asks again on a new connection.
                            thread::sleep(RESTART);
                            continue;
                        }
                    }
                    thread::sleep(IDLE.saturating_sub(began.elapsed()));
                }
            }));
        }
    }
    let began = Instant::now();
    let limit = u64::from(LIMITS.memory_mb) << 20;
    let mut ends = [0; FRONTS];
    let mut peaks = [0; FRONTS];
    let mut restart_at = [None; FRONTS];
    while began.elapsed() < DURATION {
        for index in 0..FRONTS {
            if let Some(at) = restart_at[index] {
                if Instant::now() >= at {
                    restart_at[index] = None;
                    world.fronts[index].start();
                }
                continue;
            }
            let resident = world.fronts[index].resident();
            peaks[index] = peaks[index].max(resident);
            if resident > limit {
                ends[index] += 1;
                record.line(format!(
                    "{} holds {resident} bytes, over {limit}: the platform kills it",
                    world.fronts[index].name
                ));
                world.fronts[index].kill();
                restart_at[index] = Some(Instant::now() + RESTART);
            }
        }
        thread::sleep(Duration::from_millis(5));
    }
    is_over.store(true, Ordering::Relaxed);
    record.line(format!(
        "{} downloads served, {} without an answer on kept connections, most memory {peaks:?} bytes, ends {ends:?}",
        served.load(Ordering::Relaxed),
        cut.load(Ordering::Relaxed)
    ));
    for server in &world.servers {
        let runs = server.runs.lock().unwrap().len();
        record.line(format!("{} ran {runs} requests", server.id));
    }
    let mut broken = Vec::new();
    if ends.iter().all(|ends| *ends >= 3) {
        broken.push(format!("Fault: memory over the limit ended both fronts {ends:?} times"));
    }
    Ok(broken)
}

/// Downloads on a kept connection or a new one. Returns the connection, or `None` if the request was refused.
fn download(kept: Option<Conn>, to: std::net::SocketAddr, id: &str) -> std::io::Result<Option<Conn>> {
    let mut conn = match kept {
        Some(conn) => conn,
        None => Conn::open(to, DEADLINE)?,
    };
    let headers = [
        ("host", HOST.to_owned()),
        ("x-request-id", id.to_owned()),
        ("x-deadline-ms", DEADLINE.as_millis().to_string()),
    ];
    conn.write("GET /manifest/1 HTTP/1.1", &headers, b"")?;
    let resp = conn.read()?;
    Ok((resp.status() == 200 && resp.body.len() == BODY).then_some(conn))
}
