//! The command line arguments.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::OptionParser;
use bpaf::ParseFailure;
use bpaf::Parser;
use bpaf::construct;
use bpaf::long;
use bpaf::positional;
use bpaf::pure;
use carawayrill_core::id::Generation;
use carawayrill_core::id::RequestId;
use carawayrill_core::id::ServerId;
use carawayrill_core::id::ServiceId;
use carawayrill_core::id::ShardId;
use carawayrill_core::unit::Span;
use compact_str::CompactString;

use crate::error::EXIT_CODES;
use crate::error::EXIT_INVALID;
use crate::store::StoreUrl;

/// The environment variable that names the store.
const STORE_ENV: &str = "CARAWAYRILL_STORE";
/// The default of `--patience`.
const DEFAULT_RETRY_TIMEOUT: Span = Span::from_millis(30_000);

/// The most characters in a line of help.
const MAX_HELP_LINE_CHARS: usize = 100;

/// One subcommand with its arguments.
#[derive(Debug, Clone)]
pub enum Command {
    Check(CheckArgs),
    Diff(DirArgs),
    Apply(ApplyArgs),
    Fetch(DirArgs),
    Status(StatusArgs),
    Drain(DrainArgs),
    Undrain(DrainArgs),
    Timeline(TimelineArgs),
    Replay(ReplayArgs),
}

/// Arguments of `check`.
#[derive(Debug, Clone)]
pub struct CheckArgs {
    pub show: bool,
    pub json: bool,
    pub dir: PathBuf,
}

/// Arguments of `diff` and `fetch`.
#[derive(Debug, Clone)]
pub struct DirArgs {
    pub store: StoreUrl,
    pub json: bool,
    pub dir: PathBuf,
}

/// Arguments of `apply`.
#[derive(Debug, Clone)]
pub struct ApplyArgs {
    pub store: StoreUrl,
    pub json: bool,
    pub from: Option<Generation>,
    pub by: CompactString,
    pub wait: Option<Span>,
    pub patience: Span,
    pub dir: PathBuf,
}

/// Arguments of `status`.
#[derive(Debug, Clone)]
pub struct StatusArgs {
    pub store: StoreUrl,
    pub json: bool,
    pub service: Option<ServiceId>,
    pub key: Option<String>,
}

/// Arguments of `drain` and `undrain`.
#[derive(Debug, Clone)]
pub struct DrainArgs {
    pub store: StoreUrl,
    pub json: bool,
    pub reason: CompactString,
    pub name: CompactString,
}

/// Arguments of `timeline`.
#[derive(Debug, Clone)]
pub struct TimelineArgs {
    pub json: bool,
    pub shard: Option<ShardId>,
    pub service: Option<ServiceId>,
    pub key: Option<String>,
    pub deployment: Option<PathBuf>,
    pub server: Option<ServerId>,
    pub request: Option<RequestId>,
    pub files: Vec<PathBuf>,
}

/// Arguments of `replay`.
#[derive(Debug, Clone)]
pub struct ReplayArgs {
    pub json: bool,
    pub files: Vec<PathBuf>,
}

/// Returns the parser of all arguments.
pub fn options() -> OptionParser<Command> {
    let check = check();
    let diff = diff();
    let apply = apply();
    let fetch = fetch();
    let status = status();
    let drain = drain();
    let undrain = undrain();
    let timeline = timeline();
    let replay = replay();
    construct!([check, diff, apply, fetch, status, drain, undrain, timeline, replay])
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("Declares, inspects and changes a carawayrill deployment.")
        .header(
            "A deployment is a directory with base.yaml and sites/DATA-CENTRE.yaml. To start: \
             `carawayrill check deploy/ledgerwell`, `carawayrill apply deploy/ledgerwell --wait 5s`, \
             `carawayrill status`. Each subcommand has its own --help with examples.",
        )
        .footer(EXIT_CODES)
}

/// Prints the help, or the error in the arguments, and returns the exit code.
pub fn report_parse_failure(failure: &ParseFailure) -> ExitCode {
    failure.print_message(MAX_HELP_LINE_CHARS);
    match failure {
        ParseFailure::Stdout(..) | ParseFailure::Completion(..) => ExitCode::SUCCESS,
        ParseFailure::Stderr(..) => ExitCode::from(EXIT_INVALID),
    }
}

fn store() -> impl Parser<StoreUrl> {
    long("store")
        .env(STORE_ENV)
        .help("Root URL of the object store, as in http://127.0.0.1:20000")
        .argument::<StoreUrl>("URL")
}

fn json() -> impl Parser<bool> {
    long("json").help("Print JSON instead of text").switch()
}

fn dir() -> impl Parser<PathBuf> {
    positional::<PathBuf>("DIR").help("Directory with base.yaml and sites/")
}

fn check() -> impl Parser<Command> {
    let show = long("show")
        .help("List every effective value with its file and line, or `default`")
        .switch();
    let json = json();
    let dir = dir();
    construct!(CheckArgs { show, json, dir })
        .map(Command::Check)
        .to_options()
        .descr("Validates the files of a deployment. Needs no store and changes nothing.")
        .footer(
            "Examples: `carawayrill check deploy/ledgerwell` lists all problems with file, line, \
             field and what was expected. `carawayrill check --show deploy/ledgerwell` lists the \
             origin of each value.",
        )
        .command("check")
}

fn diff() -> impl Parser<Command> {
    let store = store();
    let json = json();
    let dir = dir();
    construct!(DirArgs { store, json, dir })
        .map(Command::Diff)
        .to_options()
        .descr("Compares the files of a deployment with those in force. Changes nothing.")
        .footer(
            "Example: `carawayrill diff deploy/ledgerwell`. Exit code 1 if there is a difference.",
        )
        .command("diff")
}

fn fetch() -> impl Parser<Command> {
    let store = store();
    let json = json();
    let dir = dir();
    construct!(DirArgs { store, json, dir })
        .map(Command::Fetch)
        .to_options()
        .descr("Writes the files in force to a directory, as the base of an edit.")
        .footer(
            "Example: `carawayrill fetch deploy/ledgerwell` after an edit was refused. Files there \
             are overwritten, so keep them in version control.",
        )
        .command("fetch")
}

fn apply() -> impl Parser<Command> {
    let store = store();
    let json = json();
    let from = long("from")
        .help("Generation that the files are based on, instead of the one in DIR/.generation")
        .argument::<Generation>("N")
        .optional();
    let by = long("by")
        .env("USER")
        .help("Name of the operator who makes the change")
        .argument::<CompactString>("NAME")
        .fallback("operator".into())
        .debug_fallback();
    let wait = long("wait")
        .help("Wait until every router has the new generation in force")
        .argument::<Span>("SPAN")
        .optional();
    let patience = patience();
    let dir = dir();
    construct!(ApplyArgs {
        store,
        json,
        from,
        by,
        wait,
        patience,
        dir
    })
    .map(Command::Apply)
    .to_options()
    .descr("Puts the files of a deployment in force as a new generation.")
    .footer(
        "The files are based on the generation in DIR/.generation, which fetch and apply write; \
             keep it in version control. Concurrent edits of different fields are merged, and the \
             merged files are written to DIR. Concurrent edits of the same fields are refused, \
             and both values are shown. An empty store needs no generation. Example: `carawayrill \
             apply deploy/ledgerwell --wait 5s`.",
    )
    .command("apply")
}

fn patience() -> impl Parser<Span> {
    long("patience")
        .help("How long to retry while the store fails")
        .argument::<Span>("SPAN")
        .fallback(DEFAULT_RETRY_TIMEOUT)
        .display_fallback()
}

fn service() -> impl Parser<Option<ServiceId>> {
    long("service")
        .help("Service of the key")
        .argument::<ServiceId>("NAME")
        .optional()
}

fn key() -> impl Parser<Option<String>> {
    long("key")
        .help("Key as it is in a request; needs --service")
        .argument::<String>("KEY")
        .optional()
}

fn status() -> impl Parser<Command> {
    let store = store();
    let json = json();
    let service = service();
    let key = key();
    construct!(StatusArgs {
        store,
        json,
        service,
        key
    })
    .map(Command::Status)
    .to_options()
    .descr("Shows the owners of keys, and the states of routers and servers.")
    .footer(
        "Examples: `carawayrill status`; `carawayrill status --service forms --key form-17` \
             shows the owner of this key, with the reason and time of the assignment.",
    )
    .command("status")
}

fn drain() -> impl Parser<Command> {
    let store = store();
    let json = json();
    let reason = long("reason")
        .help("Reason for the drain, shown by `status`")
        .argument::<CompactString>("TEXT");
    let name = positional::<CompactString>("NAME").help("Server or router");
    construct!(DrainArgs {
        store,
        json,
        reason,
        name
    })
    .map(Command::Drain)
    .to_options()
    .descr("Drains a server or a router: its keys move to others, and no request is aborted.")
    .footer(
        "Example: `carawayrill drain forms-07 --reason 'new kernel'`. The server may be stopped \
             once `carawayrill status` shows that it owns nothing.",
    )
    .command("drain")
}

fn undrain() -> impl Parser<Command> {
    let store = store();
    let json = json();
    let reason = pure(CompactString::default());
    let name = positional::<CompactString>("NAME").help("Server or router");
    construct!(DrainArgs {
        store,
        json,
        reason,
        name
    })
    .map(Command::Undrain)
    .to_options()
    .descr("Removes a drain order.")
    .footer("Example: `carawayrill undrain forms-07`.")
    .command("undrain")
}

fn timeline() -> impl Parser<Command> {
    let json = json();
    let shard = long("shard")
        .help("Only events of this shard, as in forms/17, and of requests for it")
        .argument::<ShardId>("SHARD")
        .optional();
    let service = service();
    let key = key();
    let deployment = long("deployment")
        .help("Directory of the deployment, to find the shard of --key")
        .argument::<PathBuf>("DIR")
        .optional();
    let server = long("server")
        .help("Only events of this server")
        .argument::<ServerId>("NAME")
        .optional();
    let request = long("request")
        .help("Only events of this request")
        .argument::<RequestId>("ID")
        .optional();
    let files = positional::<PathBuf>("FILE")
        .help("Log of a process's standard error; - is standard input")
        .some("name at least one file");
    construct!(TimelineArgs {
        json,
        shard,
        service,
        key,
        deployment,
        server,
        request,
        files
    })
    .map(Command::Timeline)
    .to_options()
    .descr("Merges the events of several processes in causal order.")
    .footer(
        "Examples: `carawayrill timeline router-*.log controller-*.log`; `carawayrill timeline \
             --service forms --key form-17 --deployment deploy/ledgerwell *.log`. Truncated \
             lines are skipped and counted on standard error.",
    )
    .command("timeline")
}

fn replay() -> impl Parser<Command> {
    let json = json();
    let files = positional::<PathBuf>("FILE")
        .help("Recorded trace with its expected outcomes")
        .some("name at least one file");
    construct!(ReplayArgs { json, files })
        .map(Command::Replay)
        .to_options()
        .descr("Runs recorded traces through the decision code and compares the outcomes.")
        .footer("Example: `carawayrill replay traces/*.jsonl`. Exit code 1 if an outcome differs.")
        .command("replay")
}
