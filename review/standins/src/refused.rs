//! REFUSED: a request that may run once only is answered 503 although a server runs it.
//!
//! Servers of one service are lost for good, one after the other. A request that was running there
//! ends with its connection. While the front finds out whether the address still takes connections,
//! the route's timeout passes.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::Verdict;
use crate::front::Sizes;
use crate::platform::Call;
use crate::platform::Numbers;
use crate::platform::Platform;
use crate::platform::send_to;
use crate::record::Record;
use crate::server::Server;

const MANIFEST: &str = r#"{"version":"r7","baseVersion":"r5","resources":[
{"entryKind":"routes","metadata":{"name":"r-renew"},"spec":{"host":"renew.example","pathPrefix":"/renew/","kind":"unsafe","timeout":"500ms","targetLatency":"500ms","priority":1,"service":"keiyaku","attempts":2}},
{"entryKind":"services","metadata":{"name":"keiyaku"},"spec":{"healthPath":"/health","maxConns":49,"protocol":"h1","tls":false}},
{"entryKind":"limits","metadata":{},"spec":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeout":"3000ms","idleTimeout":"15000ms"}}]}"#;
const SERVERS: u64 = 12;
const SLOTS: u32 = 3;
const REQUESTS_PER_S: u64 = 95;
const LENGTH: Duration = Duration::from_secs(80);
/// The time between two losses. One of 12 servers is lost each time.
const LOSS_INTERVAL: Duration = Duration::from_secs(3);
/// The time after which a new server takes the place of a lost one.
const REPLACED_AFTER: Duration = Duration::from_secs(2);

pub fn run(record: &Record, trouble: bool) -> Verdict {
    let platform = Platform::start(MANIFEST);
    let new_server = |number: u64| {
        let id = format!("i-{number:04}");
        let server = Server::start(&id, "keiyaku", SLOTS, false, record);
        platform.register(&server);
        server
    };
    let mut servers: Vec<Server> = (1..=SERVERS).map(new_server).collect();
    let Some(fronts) = platform.start_fronts(2, Sizes { memory_mb: 260 }) else {
        return Verdict::CouldNotRun("the fronts did not get ready".into());
    };
    std::thread::sleep(Duration::from_secs(1));
    let targets: Vec<_> = fronts.iter().map(|front| (front.listen, front.name.clone())).collect();
    let targets = Arc::new(targets);
    let began = Instant::now();
    let mut numbers = Numbers(39);
    let mut callers = Vec::new();
    let mut next_loss = LOSS_INTERVAL;
    let mut next_start: Option<Duration> = None;
    let mut started = SERVERS;
    for count in 0_u64.. {
        let at = Duration::from_millis(count * 1_000 / REQUESTS_PER_S);
        if at > LENGTH {
            break;
        }
        std::thread::sleep(at.saturating_sub(began.elapsed()));
        if trouble && at >= next_loss {
            next_loss += LOSS_INTERVAL;
            let which = numbers.below(servers.len() as u64) as usize;
            let lost = servers.swap_remove(which);
            record.add(format!("lost {}", lost.id));
            platform.lose(&lost.id);
            next_start = Some(at + REPLACED_AFTER);
        }
        if next_start.is_some_and(|start| at >= start) {
            next_start = None;
            started += 1;
            servers.push(new_server(started));
        }
        let is_long = numbers.below(2) == 0;
        let call = Call {
            id: format!("q{count:06}"),
            start: "POST /renew/1".into(),
            host: "renew.example".into(),
            time_limit_ms: 3_000,
            work_ms: if is_long { 330 + numbers.below(150) } else { 120 },
            key: None,
            body: Arc::new(b"renew".to_vec()),
        };
        let (targets, record) = (Arc::clone(&targets), record.clone());
        callers.push(std::thread::spawn(move || {
            let (to, name) = &targets[count as usize % targets.len()];
            send_to(*to, name, &call, &record);
        }));
    }
    for caller in callers {
        let _ = caller.join();
    }
    // A request might still run after its answer.
    std::thread::sleep(Duration::from_secs(3));
    drop(fronts);
    platform.clean();
    judge(record)
}

/// Finds the requests that were answered with a promise that they have not run, and have.
fn judge(record: &Record) -> Verdict {
    let mut run = HashSet::new();
    let mut refused = Vec::new();
    let mut served = 0;
    for (at, line) in record.lines() {
        let words: Vec<&str> = line.split(' ').collect();
        match words.as_slice() {
            ["run", id, ..] => {
                run.insert((*id).to_owned());
            }
            ["got", id, "own", "408" | "421" | "429" | "503", ..] => {
                refused.push((at, (*id).to_owned(), line.clone()));
            }
            ["got", _, "200", ..] => served += 1,
            _ => {}
        }
    }
    if served < 1_000 {
        return Verdict::CouldNotRun(format!("only {served} requests were served"));
    }
    let broken: Vec<_> = refused.iter().filter(|(_, id, _)| run.contains(id)).collect();
    let summary = format!(
        "{served} served, {} refused, {} of these had run",
        refused.len(),
        broken.len()
    );
    match broken.first() {
        Some((at, _, line)) => {
            Verdict::Broken(format!("{summary}; the first at {:.3} s: {line}", at.as_secs_f64()))
        }
        None => Verdict::Held(summary),
    }
}
