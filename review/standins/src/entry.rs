//! OWNER: two servers hold the same keys, after an entry of another writer.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
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
{"entryKind":"routes","metadata":{"name":"r-read"},"spec":{"host":"read.example","pathPrefix":"/read/","kind":"safe","timeout":"1200ms","targetLatency":"400ms","priority":1,"service":"hakobi","attempts":2}},
{"entryKind":"services","metadata":{"name":"hakobi"},"spec":{"healthPath":"/health","maxConns":49,"protocol":"h1","tls":false,"sharded":true,"warm":"2s","grants":"invoke"}},
{"entryKind":"services","metadata":{"name":"shohosen"},"spec":{"healthPath":"/health","maxConns":49,"protocol":"h1","tls":false}},
{"entryKind":"limits","metadata":{},"spec":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeout":"3000ms","idleTimeout":"15000ms"}}]}"#;
const LENGTH: Duration = Duration::from_secs(60);
const REQUESTS_PER_S: u64 = 60;
/// The longest time for which two servers may hold the same keys.
const MAX_SHARED: Duration = Duration::from_millis(500);

pub fn run(record: &Record, trouble: bool) -> Verdict {
    let platform = Platform::start(MANIFEST);
    let servers: Vec<Server> = (1..=6)
        .map(|number| Server::start(&format!("i-{number:04}"), "hakobi", 3, true, record))
        .collect();
    for server in &servers {
        platform.register(server);
    }
    let Some(fronts) = platform.start_fronts(2, Sizes { memory_mb: 260 }) else {
        return Verdict::CouldNotRun("the fronts did not get ready".into());
    };
    let until = Instant::now() + Duration::from_secs(15);
    let is_held = |key: u64| servers.iter().any(|server| server.holds(key));
    while !(0..=255).all(|part| is_held(part * 257)) {
        if Instant::now() > until {
            return Verdict::CouldNotRun("the keys were not granted".into());
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    let done = Arc::new(AtomicBool::new(false));
    let watching = {
        let (servers, record, done) = (servers.clone(), record.clone(), Arc::clone(&done));
        std::thread::spawn(move || watch(&servers, &record, &done))
    };
    let targets: Vec<_> = fronts.iter().map(|front| (front.listen, front.name.clone())).collect();
    let mut numbers = Numbers(5);
    let began = Instant::now();
    let mut callers = Vec::new();
    let mut next_entry = Duration::from_secs(8);
    for count in 0_u64.. {
        let at = Duration::from_millis(count * 1_000 / REQUESTS_PER_S);
        if at > LENGTH {
            break;
        }
        std::thread::sleep(at.saturating_sub(began.elapsed()));
        if trouble && at >= next_entry {
            next_entry += Duration::from_secs(12);
            let server = &servers[numbers.below(servers.len() as u64) as usize];
            record.add(format!("an entry of another writer names {}", server.id));
            platform.store.put("servers", &server.id, &foreign_entry());
        }
        let call = Call {
            id: format!("q{count:06}"),
            start: "GET /read/1".into(),
            host: "read.example".into(),
            time_limit_ms: 2_500,
            work_ms: 60,
            key: u16::try_from(numbers.below(65_536)).ok(),
            body: Arc::default(),
        };
        let (to, name) = targets[count as usize % targets.len()].clone();
        let record = record.clone();
        callers.push(std::thread::spawn(move || send_to(to, &name, &call, &record)));
    }
    for caller in callers {
        let _ = caller.join();
    }
    done.store(true, Ordering::SeqCst);
    let longest = watching.join().expect("a thread");
    drop(fronts);
    platform.clean();
    let summary = format!("two servers held the same keys for {} ms", longest.as_millis());
    if longest > MAX_SHARED {
        return Verdict::Broken(summary);
    }
    Verdict::Held(summary)
}

/// An entry without `version`, `seq` and `born`.
fn foreign_entry() -> String {
    r#"{"service":"hakobi","addr":"127.0.0.1:9","zone":"me-a","slots":3,"state":"ready","coldLeft":"0ms"}"#.into()
}

/// Returns the longest time for which two servers held the same keys.
fn watch(servers: &[Server], record: &Record, done: &AtomicBool) -> Duration {
    let mut since: BTreeMap<(String, String), (Instant, bool)> = BTreeMap::new();
    let mut longest = Duration::ZERO;
    while !done.load(Ordering::SeqCst) {
        let mut shared = Vec::new();
        for (index, one) in servers.iter().enumerate() {
            for other in &servers[index + 1..] {
                if let Some(key) = one.shared_key(other) {
                    shared.push((one.id.clone(), other.id.clone(), key));
                }
            }
        }
        since.retain(|pair, _| shared.iter().any(|(one, other, _)| *pair == (one.clone(), other.clone())));
        for (one, other, key) in shared {
            let entry = since.entry((one.clone(), other.clone())).or_insert((Instant::now(), false));
            let lasted = entry.0.elapsed();
            longest = longest.max(lasted);
            if lasted > MAX_SHARED && !entry.1 {
                entry.1 = true;
                record.add(format!("{one} and {other} both hold key {key} for over half a second"));
            }
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    longest
}
