//! The commands as an operator runs them: their output and their exit codes.

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

/// The store URL in the help texts.
const STORE: &str = "http://127.0.0.1:20000";

/// A store on the loopback interface, a directory for files, and the output of the commands.
struct CommandTest {
    store: MemoryStore,
    address: SocketAddr,
    dir: PathBuf,
    output: String,
}

impl CommandTest {
    /// Starts the store, and copies a deployment twice to a directory named after the test.
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
            output: String::new(),
        }
    }

    /// Runs the command in the directory and records its output.
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
            self.output,
            "$ carawayrill {line}\n{out}{err}(exit {code})\n\n"
        )
        .expect("write");
    }

    /// Replaces the first occurrence of a text in a file of the directory.
    fn edit(&self, file: &str, old: &str, new: &str) {
        let path = self.dir.join(file);
        let text = fs::read_to_string(&path).expect("file");
        assert!(text.contains(old), "{file} has no `{old}`");
        fs::write(&path, text.replacen(old, new, 1)).expect("file");
    }

    /// Returns the recorded output with times masked.
    fn output(&self) -> String {
        let words = self.output.split_inclusive([' ', '\n']);
        words.map(masked).collect()
    }
}

/// Splits a command line at spaces outside of quotes, as a shell does.
fn split(line: &str) -> Vec<String> {
    let files = line.split('\'').enumerate();
    files
        .flat_map(|(i, part)| match i % 2 {
            0 => part.split_whitespace().map(str::to_owned).collect(),
            _ => vec![part.to_owned()],
        })
        .collect()
}

/// Replaces a word by `TIME` if it is a time.
fn masked(word: &str) -> String {
    let is_time = word.starts_with("20") && word.contains('T') && word.contains('Z');
    if is_time {
        return word.replace(word.trim_end(), "TIME");
    }
    word.to_owned()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn concurrent_edits_are_merged_or_refused() {
    let mut test = CommandTest::start("race", Some("ledgerwell")).await;
    test.run("check a").await;
    test.run("diff missing").await;
    test.run("apply a").await;
    test.run("diff a").await;
    test.run("apply b").await;
    test.run("fetch b").await;
    test.edit("a/base.yaml", "slots: 6", "slots: 7");
    test.edit(
        "a/sites/mids-east-1.yaml",
        "queue_limit: 200",
        "queue_limit: 250",
    );
    test.run("diff a").await;
    test.run("apply a --by anna").await;
    test.edit(
        "b/sites/mids-east-1.yaml",
        "default_deadline: 1s",
        "default_deadline: 900ms",
    );
    test.run("apply b --by ben").await;
    test.run("diff b").await;
    test.edit("a/base.yaml", "slots: 7", "slots: 8");
    test.run("apply a --by anna").await;
    test.edit("b/base.yaml", "slots: 7", "slots: 9");
    test.run("apply b --by ben").await;
    test.edit("b/base.yaml", "slots: 9", "slots: 0");
    test.run("apply b --by ben").await;
    assert_snapshot!("race", test.output());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn drain_orders_are_written_and_removed() {
    let mut test = CommandTest::start("drain", Some("chikushi")).await;
    test.run("status").await;
    test.run("status --service schedules --key h-1").await;
    test.run("apply a").await;
    test.run("status --service schedules --key h-1").await;
    test.run("status --service schedule --key h-1").await;
    test.run("status --key h-1").await;
    test.run("drain renewals-03 --reason 'new kernel'").await;
    test.run("drain renewals-03 --reason 'another kernel'")
        .await;
    test.run("drain renewals-99 --reason typo").await;
    test.run("status").await;
    test.run("undrain renewals-03").await;
    test.run("undrain renewals-03").await;
    assert_snapshot!("drain", test.output());
}

/// Adds a router to the store that is unreachable.
async fn add_unreachable_router(store: &MemoryStore) {
    let unreachable = "127.0.0.1:1".parse().expect("address");
    let member = Member {
        router: "r-silent".parse().expect("name"),
        incarnation: Incarnation(1),
        data_centre: "fukuoka-2".parse().expect("name"),
        peer: unreachable,
        http: unreachable,
        draining: false,
    };
    let value = serde_json::to_vec(&member).expect("JSON");
    let name = member_name(&member.router);
    let put = store.put(&name, value.into(), Version(0)).await;
    put.expect("written");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn apply_names_an_unreachable_router() {
    let mut test = CommandTest::start("silent", Some("chikushi")).await;
    test.run("apply a").await;
    add_unreachable_router(&test.store).await;
    test.edit("a/base.yaml", "slots: 3", "slots: 4");
    test.run("apply a --wait 150ms").await;
    // A shorter hold time at one site changes authority, so every process must first have the
    // generation in force.
    let overlay = "schedules:\n    on_store_outage: hold 1min";
    test.edit("a/sites/fukuoka-1.yaml", "schedules:", overlay);
    test.run("apply a --patience 150ms").await;
    test.edit("a/base.yaml", "hold 5min", "hold 1min");
    test.run("apply a --patience 150ms").await;
    assert_snapshot!("silent", test.output());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn lost_responses_and_outages_are_reported() {
    let mut test = CommandTest::start("faults", Some("chikushi")).await;
    test.store.set_fault(Fault::Down);
    test.run("apply a --patience 200ms").await;
    test.run("status").await;
    test.store.set_fault_for(Fault::LoseAnswer, 3);
    test.run("apply a").await;
    test.store.set_fault_for(Fault::LoseAnswer, 1);
    test.run("drain renewals-03 --reason kernel").await;
    test.store.set_fault_for(Fault::LoseAnswer, 1);
    test.run("undrain renewals-03").await;
    assert_snapshot!("faults", test.output());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn timeline_is_in_causal_order() {
    let mut test = CommandTest::start("timeline", None).await;
    let data = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/data");
    for file in ["router.log", "controller.log"] {
        fs::copy(data.join(file), test.dir.join(file)).expect("log");
    }
    test.run("timeline router.log controller.log").await;
    test.run("timeline --shard forms/3 router.log controller.log")
        .await;
    test.run("timeline --server forms-1 router.log controller.log")
        .await;
    test.run("timeline --request q-1 --json router.log").await;
    test.run("timeline --key k router.log").await;
    test.run("timeline nothing.log").await;
    assert_snapshot!("timeline", test.output);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn traces_are_replayed() {
    let mut test = CommandTest::start("replay", None).await;
    let data = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/data");
    for file in ["holds.jsonl", "broken.jsonl", "router.log"] {
        fs::copy(data.join(file), test.dir.join(file)).expect("trace");
    }
    fs::write(test.dir.join("silent.jsonl"), "{\"carawayrill_trace\":1}\n").expect("trace");
    test.run("replay holds.jsonl").await;
    test.run("replay broken.jsonl holds.jsonl").await;
    test.run("replay --json broken.jsonl").await;
    test.run("replay router.log").await;
    test.run("replay silent.jsonl").await;
    assert_snapshot!("replay", test.output);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn help_texts_match_the_snapshot() {
    let mut test = CommandTest::start("help", None).await;
    for command in [
        "",
        "check ",
        "apply ",
        "status ",
        "drain ",
        "timeline ",
        "replay ",
    ] {
        test.run_at(&format!("{command}--help"), STORE).await;
    }
    test.run("apply").await;
    test.run("apply --store localhost a").await;
    assert_snapshot!("help", test.output);
}
