//! The commands as an operator runs them: what they write and how they end.

use std::fmt::Write;
use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Command;

use carawayrill_core::id::Incarnation;
use carawayrill_core::id::Version;
use carawayrill_core::object::Member;
use carawayrill_core::object::member_name;
use carawayrill_store::memory::Fault;
use carawayrill_store::memory::MemoryStore;
use carawayrill_store::port::ObjectStore;
use carawayrill_testkit::store;
use insta::assert_snapshot;
use tokio::net::TcpListener;

/// The store that help shows.
const STORE: &str = "http://127.0.0.1:20000";

/// A store on loopback and an empty directory for files.
struct Bench {
    store: MemoryStore,
    address: SocketAddr,
    dir: PathBuf,
    told: String,
}

impl Bench {
    /// Starts the store and copies a deployment to a directory named after the test.
    async fn start(test: &str, deployment: Option<&str>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("address");
        let memory = MemoryStore::new();
        store::start(listener, memory.clone()).expect("store");
        let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join(test);
        drop(fs::remove_dir_all(&dir));
        fs::create_dir_all(&dir).expect("directory");
        if let Some(name) = deployment {
            let from = Path::new(env!("CARGO_MANIFEST_DIR"))
                .join("../../deploy")
                .join(name);
            let files = carawayrill_config::ConfigFiles::read(&from).expect("deployment");
            files.write(&dir.join("a")).expect("copy");
            files.write(&dir.join("b")).expect("copy");
        }
        Self {
            store: memory,
            address,
            dir,
            told: String::new(),
        }
    }

    /// Runs the command in the directory and keeps what it tells.
    async fn run(&mut self, line: &str) {
        let url = format!("http://{}", self.address);
        self.run_at(line, &url).await;
    }

    /// Runs the command with the store at `url`.
    async fn run_at(&mut self, line: &str, url: &str) {
        let mut command = Command::new(env!("CARGO_BIN_EXE_carawayrill"));
        command
            .args(split(line))
            .current_dir(&self.dir)
            .env("CARAWAYRILL_STORE", url)
            .env("USER", "tester");
        let run = tokio::task::spawn_blocking(move || command.output());
        let output = run.await.expect("no panic").expect("the command runs");
        let code = output.status.code().expect("an exit code");
        let out = String::from_utf8(output.stdout).expect("text");
        let err = String::from_utf8(output.stderr).expect("text");
        write!(
            self.told,
            "$ carawayrill {line}\n{out}{err}(exit {code})\n\n"
        )
        .expect("write");
    }

    /// Replaces a text in a file of the directory.
    fn edit(&self, file: &str, old: &str, new: &str) {
        let path = self.dir.join(file);
        let text = fs::read_to_string(&path).expect("file");
        assert!(text.contains(old), "{file} has no `{old}`");
        fs::write(&path, text.replacen(old, new, 1)).expect("file");
    }

    /// Returns what was told, with times masked.
    fn told(&self) -> String {
        let words = self.told.split_inclusive([' ', '\n']);
        words.map(masked).collect()
    }
}

/// Splits a command line at spaces outside of quotes.
fn split(line: &str) -> Vec<String> {
    let files = line.split('\'').enumerate();
    files
        .flat_map(|(i, part)| match i % 2 {
            0 => part.split_whitespace().map(str::to_owned).collect(),
            _ => vec![part.to_owned()],
        })
        .collect()
}

/// Masks a time.
fn masked(word: &str) -> String {
    let is_time = word.starts_with("20") && word.contains('T') && word.contains('Z');
    if is_time {
        return word.replace(word.trim_end(), "TIME");
    }
    word.to_owned()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn operators_race_over_one_store() {
    let mut bench = Bench::start("race", Some("ledgerwell")).await;
    bench.run("check a").await;
    bench.run("diff missing").await;
    bench.run("apply a").await;
    bench.run("diff a").await;
    bench.run("apply b").await;
    bench.run("fetch b").await;
    bench.edit("a/base.yaml", "slots: 6", "slots: 7");
    bench.edit(
        "a/sites/mids-east-1.yaml",
        "queue_limit: 200",
        "queue_limit: 250",
    );
    bench.run("diff a").await;
    bench.run("apply a --by anna").await;
    bench.edit(
        "b/sites/mids-east-1.yaml",
        "default_deadline: 1s",
        "default_deadline: 900ms",
    );
    bench.run("apply b --by ben").await;
    bench.run("diff b").await;
    bench.edit("a/base.yaml", "slots: 7", "slots: 8");
    bench.run("apply a --by anna").await;
    bench.edit("b/base.yaml", "slots: 7", "slots: 9");
    bench.run("apply b --by ben").await;
    bench.edit("b/base.yaml", "slots: 9", "slots: 0");
    bench.run("apply b --by ben").await;
    assert_snapshot!("race", bench.told());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn servers_are_ordered_to_leave_and_to_stay() {
    let mut bench = Bench::start("drain", Some("chikushi")).await;
    bench.run("status").await;
    bench.run("status --service schedules --key h-1").await;
    bench.run("apply a").await;
    bench.run("status --service schedules --key h-1").await;
    bench.run("status --service schedule --key h-1").await;
    bench.run("status --key h-1").await;
    bench.run("drain renewals-03 --reason 'new kernel'").await;
    bench
        .run("drain renewals-03 --reason 'another kernel'")
        .await;
    bench.run("drain renewals-99 --reason typo").await;
    bench.run("status").await;
    bench.run("undrain renewals-03").await;
    bench.run("undrain renewals-03").await;
    assert_snapshot!("drain", bench.told());
}

/// Writes the run of a router that nobody can reach.
async fn add_silent_router(store: &MemoryStore) {
    let silent = "127.0.0.1:1".parse().expect("address");
    let member = Member {
        router: "r-silent".parse().expect("name"),
        incarnation: Incarnation(1),
        data_centre: "fukuoka-2".parse().expect("name"),
        peer: silent,
        http: silent,
        draining: false,
    };
    let value = serde_json::to_vec(&member).expect("JSON");
    let name = member_name(&member.router);
    let put = store.put(&name, value.into(), Version(0)).await;
    put.expect("written");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unreachable_router_is_waited_for() {
    let mut bench = Bench::start("silent", Some("chikushi")).await;
    bench.run("apply a").await;
    add_silent_router(&bench.store).await;
    bench.edit("a/base.yaml", "slots: 3", "slots: 4");
    bench.run("apply a --wait 150ms").await;
    // A shorter hold at one site changes what homes do, so that all have to be up to date first.
    let overlay = "schedules:\n    on_store_outage: hold 1min";
    bench.edit("a/sites/fukuoka-1.yaml", "schedules:", overlay);
    bench.run("apply a --patience 150ms").await;
    bench.edit("a/base.yaml", "hold 5min", "hold 1min");
    bench.run("apply a --patience 150ms").await;
    assert_snapshot!("silent", bench.told());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn lost_answers_and_outages_are_told() {
    let mut bench = Bench::start("faults", Some("chikushi")).await;
    bench.store.set_fault(Fault::Down);
    bench.run("apply a --patience 200ms").await;
    bench.run("status").await;
    bench.store.set_fault_for(Fault::LoseAnswer, 3);
    bench.run("apply a").await;
    bench.store.set_fault_for(Fault::LoseAnswer, 1);
    bench.run("drain renewals-03 --reason kernel").await;
    bench.store.set_fault_for(Fault::LoseAnswer, 1);
    bench.run("undrain renewals-03").await;
    assert_snapshot!("faults", bench.told());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn time_line_is_in_causal_order() {
    let mut bench = Bench::start("timeline", None).await;
    let data = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/data");
    for file in ["router.log", "controller.log"] {
        fs::copy(data.join(file), bench.dir.join(file)).expect("log");
    }
    bench.run("timeline router.log controller.log").await;
    bench
        .run("timeline --shard forms/3 router.log controller.log")
        .await;
    bench
        .run("timeline --server forms-1 router.log controller.log")
        .await;
    bench.run("timeline --request q-1 --json router.log").await;
    bench.run("timeline --key k router.log").await;
    bench.run("timeline nothing.log").await;
    assert_snapshot!("timeline", bench.told);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn traces_are_replayed() {
    let mut bench = Bench::start("replay", None).await;
    let data = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/data");
    for file in ["holds.jsonl", "broken.jsonl", "router.log"] {
        fs::copy(data.join(file), bench.dir.join(file)).expect("trace");
    }
    fs::write(
        bench.dir.join("silent.jsonl"),
        "{\"carawayrill_trace\":1}\n",
    )
    .expect("trace");
    bench.run("replay holds.jsonl").await;
    bench.run("replay broken.jsonl holds.jsonl").await;
    bench.run("replay --json broken.jsonl").await;
    bench.run("replay router.log").await;
    bench.run("replay silent.jsonl").await;
    assert_snapshot!("replay", bench.told);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn help_teaches() {
    let mut bench = Bench::start("help", None).await;
    for command in [
        "",
        "check ",
        "apply ",
        "status ",
        "drain ",
        "timeline ",
        "replay ",
    ] {
        bench.run_at(&format!("{command}--help"), STORE).await;
    }
    bench.run("apply").await;
    bench.run("apply --store localhost a").await;
    assert_snapshot!("help", bench.told);
}
