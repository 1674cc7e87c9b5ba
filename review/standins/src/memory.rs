//! Fault: fronts exceed their memory, since bodies count only once they are read completely.

use std::sync::Arc;
use std::sync::Barrier;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::Verdict;
use crate::front::Sizes;
use crate::platform::Call;
use crate::platform::Platform;
use crate::platform::send_to;
use crate::record::Record;
use crate::server::Server;

const MANIFEST: &str = r#"{"version":"r7","baseVersion":"r5","resources":[
{"entryKind":"routes","metadata":{"name":"r-rx"},"spec":{"host":"rx.example","pathPrefix":"/rx/","kind":"upload","timeout":"3000ms","targetLatency":"2000ms","priority":1,"service":"shohosen","attempts":2}},
{"entryKind":"services","metadata":{"name":"shohosen"},"spec":{"healthPath":"/health","maxConns":49,"protocol":"h1","tls":false}},
{"entryKind":"limits","metadata":{},"spec":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeout":"3000ms","idleTimeout":"15000ms"}}]}"#;
const MEMORY_MB: u32 = 260;
const BODY_BYTES: usize = 60 << 20;
/// The time between two uploads to one front.
const INTERVAL: Duration = Duration::from_millis(600);
const LENGTH: Duration = Duration::from_secs(42);
/// The times at which many users come at once, for 3 s each.
const BURSTS: [u64; 5] = [4, 12, 20, 28, 36];
const BURST: Duration = Duration::from_secs(3);
/// The uploads that arrive together at the start of a burst. Two more follow, which makes 8 in 3 s, 1.6
/// times as many as usual.
const TOGETHER: usize = 6;
const BURST_INTERVAL: Duration = Duration::from_millis(1_200);
/// The time after which the platform restarts a process.
const RESTART_AFTER: Duration = Duration::from_millis(800);

pub fn run(record: &Record, trouble: bool) -> Verdict {
    let platform = Platform::start(MANIFEST);
    let servers: Vec<Server> = (1..=12)
        .map(|number| Server::start(&format!("i-{number:04}"), "shohosen", 3, false, record))
        .collect();
    for server in &servers {
        platform.register(server);
    }
    let Some(fronts) = platform.start_fronts(2, Sizes { memory_mb: MEMORY_MB }) else {
        return Verdict::CouldNotRun("the fronts did not get ready".into());
    };
    std::thread::sleep(Duration::from_secs(1));
    let body = Arc::new(vec![7_u8; BODY_BYTES]);
    let began = Instant::now();
    let ends = Arc::new(Mutex::new(vec![0_u32; fronts.len()]));
    let mut threads = Vec::new();
    for (index, front) in fronts.into_iter().enumerate() {
        let (to, name) = (front.listen, front.name.clone());
        let (watched, counted) = (record.clone(), Arc::clone(&ends));
        threads.push(std::thread::spawn(move || {
            watch(front, index, began, &watched, &counted);
        }));
        let (record, body) = (record.clone(), Arc::clone(&body));
        threads.push(std::thread::spawn(move || {
            upload(to, &name, index, began, trouble, &record, &body);
        }));
    }
    for thread in threads {
        let _ = thread.join();
    }
    platform.clean();
    let ends = ends.lock().unwrap().clone();
    let lines = record.lines();
    let is_served = |line: &str| line.starts_with("got ") && line.contains(" 200 ");
    let served = lines.iter().filter(|(_, line)| is_served(line)).count();
    let summary = format!("{served} uploads served; processes ended: {ends:?}");
    if ends.iter().filter(|count| **count >= 3).count() >= 2 {
        return Verdict::Broken(summary);
    }
    Verdict::Held(summary)
}

/// Ends and restarts a front that exceeds its memory, as the platform does.
fn watch(
    mut front: crate::front::Front,
    index: usize,
    began: Instant,
    record: &Record,
    ends: &Mutex<Vec<u32>>,
) {
    let mut peak = 0;
    while began.elapsed() < LENGTH + Duration::from_secs(4) {
        let memory_mb = front.memory_mb();
        if memory_mb > peak {
            peak = memory_mb;
            record.add(format!("memory {} {peak} MB", front.name));
        }
        if memory_mb > u64::from(MEMORY_MB) {
            record.add(format!("over {} {memory_mb} MB: killed", front.name));
            front.kill();
            ends.lock().unwrap()[index] += 1;
            std::thread::sleep(RESTART_AFTER);
            front.start();
            peak = 0;
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    front.kill();
}

fn upload(
    to: std::net::SocketAddr,
    name: &str,
    index: usize,
    began: Instant,
    trouble: bool,
    record: &Record,
    body: &Arc<Vec<u8>>,
) {
    let mut callers = Vec::new();
    let mut at = Duration::ZERO;
    let mut count = 0;
    let mut was_in_burst = false;
    while at < LENGTH {
        std::thread::sleep(at.saturating_sub(began.elapsed()));
        let in_burst = trouble
            && BURSTS.iter().any(|start| {
                let start = Duration::from_secs(*start);
                at >= start && at < start + BURST
            });
        let (together, interval) = match (in_burst, was_in_burst) {
            (true, false) => (TOGETHER, BURST_INTERVAL),
            (true, true) => (1, BURST_INTERVAL),
            (false, _) => (1, INTERVAL),
        };
        was_in_burst = in_burst;
        let barrier = Arc::new(Barrier::new(together));
        for _ in 0..together {
            count += 1;
            let call = Call {
                id: format!("u{index}-{count:05}"),
                start: "POST /rx/1".into(),
                host: "rx.example".into(),
                time_limit_ms: 3_000,
                work_ms: 140,
                key: None,
                body: Arc::clone(body),
            };
            let (name, record, barrier) = (name.to_owned(), record.clone(), Arc::clone(&barrier));
            callers.push(std::thread::spawn(move || {
                barrier.wait();
                send_to(to, &name, &call, &record)
            }));
        }
        at += interval;
    }
    for caller in callers {
        let _ = caller.join();
    }
}
