//! The load tool.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::str::FromStr;
use std::time::Duration;

use bpaf::OptionParser;
use bpaf::Parser;
use bpaf::construct;
use bpaf::long;
use carawayrill_testkit::Error;
use carawayrill_testkit::load;
use carawayrill_testkit::load::Settings;
use carawayrill_testkit::load::check;
use carawayrill_testkit::load::check::Findings;
use carawayrill_testkit::load::keys::HotKeys;
use carawayrill_testkit::load::keys::KeyPattern;
use carawayrill_testkit::load::settings::Target;
use carawayrill_testkit::load::summary;
use carawayrill_testkit::load::summary::Summary;
use serde::Serialize;

/// The command line.
#[derive(Debug, Clone)]
struct Args {
    settings: Settings,
    records: Vec<SocketAddr>,
    record_file: Vec<PathBuf>,
    json: bool,
}

/// What is printed with `--json`.
#[derive(Debug, Serialize)]
struct Report {
    summary: Summary,
    /// Missing without `--records`.
    findings: Option<Findings>,
}

/// An option with a value that may be left out.
fn value<T>(
    name: &'static str,
    meta: &'static str,
    help: &'static str,
    default: T,
) -> impl Parser<T>
where
    T: FromStr<Err: std::fmt::Display> + std::fmt::Display + Clone + 'static,
{
    long(name)
        .help(help)
        .argument::<T>(meta)
        .fallback(default)
        .display_fallback()
}

fn seconds(name: &'static str, help: &'static str, default: f64) -> impl Parser<Duration> {
    value(name, "SECONDS", help, default).parse(Duration::try_from_secs_f64)
}

fn services() -> impl Parser<Vec<Target>> {
    let service = long("service")
        .help("A service and the header of its key, as in `forms=x-form`; may be given many times")
        .argument::<Target>("NAME=HEADER")
        .many();
    let once_service = long("once-service")
        .help("The same, and each request carries an idempotency key")
        .argument::<Target>("NAME=HEADER")
        .map(|target| Target {
            idempotency_key: true,
            ..target
        })
        .many();
    construct!(service, once_service).map(|(mut all, once): (Vec<_>, Vec<_>)| {
        all.extend(once);
        all
    })
}

fn keys() -> impl Parser<KeyPattern> {
    let count = value("keys", "N", "How many keys there are", 1_000);
    let exponent = value(
        "zipf",
        "S",
        "Exponent of a Zipf distribution; 0: uniform",
        0.0,
    );
    let hot = value("hot-keys", "N", "Hot keys besides", 0);
    let share = value("hot-share", "F", "Share of requests for hot keys", 0.5);
    let change_every = seconds("hot-change", "How long the same keys stay hot", 60.0);
    construct!(count, exponent, hot, share, change_every).map(
        |(count, exponent, hot, share, change_every)| KeyPattern {
            count,
            exponent,
            names: Vec::new(),
            hot: (hot > 0).then_some(HotKeys {
                count: hot,
                share,
                change_every,
            }),
        },
    )
}

fn settings() -> impl Parser<Settings> {
    let addresses = long("target")
        .help("A router, or with --direct a server; each request goes to the next one")
        .argument("ADDRESS")
        .some("at least one --target is needed");
    let direct = long("direct")
        .help("The targets are servers that check no tokens")
        .switch();
    let services = services();
    let idempotency_key_share = value(
        "once-share",
        "F",
        "Share of requests with an idempotency key",
        0.2,
    );
    let rate = value("rate", "N", "Requests a second", 100.0);
    let time = seconds("seconds", "How long requests are sent", 5.0);
    let warm_up = seconds(
        "warm-up",
        "How long latencies are left out at the start",
        0.0,
    );
    let keys = keys();
    let seed = value("seed", "N", "Seed of all choices", 1);
    let attempts = value(
        "attempts",
        "N",
        "How often a request is sent, each time elsewhere",
        1,
    );
    let deadline = seconds("deadline", "Time limit that a request names", 2.0);
    let in_flight = value(
        "in-flight",
        "N",
        "Requests in flight; more are kept back",
        20_000,
    );
    construct!(Settings {
        addresses,
        direct,
        services,
        idempotency_key_share,
        rate,
        time,
        warm_up,
        keys,
        seed,
        attempts,
        deadline,
        in_flight,
    })
}

fn args() -> OptionParser<Args> {
    let settings = settings();
    let records = long("records")
        .help("A server whose records the answers are checked against; may be given many times")
        .argument("ADDRESS")
        .many();
    let record_file = long("record-file")
        .help("Records that a server wrote to a file; may be given many times")
        .argument("FILE")
        .many();
    let json = long("json").help("Print JSON").switch();
    construct!(Args {
        settings,
        records,
        record_file,
        json,
    })
    .to_options()
    .descr("Sends requests on a fixed schedule and checks all answers against the servers' records")
    .version(env!("CARGO_PKG_VERSION"))
}

fn main() -> ExitCode {
    let args = args().run();
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(err) => return failed(&err),
    };
    match runtime.block_on(run(&args)) {
        Ok(clean) => ExitCode::from(u8::from(!clean)),
        Err(err) => failed(&err),
    }
}

fn failed(err: &dyn std::error::Error) -> ExitCode {
    eprintln!("carawayrill-load: {err}");
    ExitCode::from(2)
}

/// Makes the load, prints the report and tells whether nothing was found.
async fn run(args: &Args) -> Result<bool, Error> {
    let driven = load::drive(&args.settings).await?;
    let summary = summary::summarise(&args.settings, &driven)?;
    let findings = if args.records.is_empty() && args.record_file.is_empty() {
        None
    } else {
        let mut runs = check::records(&load::drive::client()?, &args.records).await?;
        for path in &args.record_file {
            runs.extend(check::records_in(path)?);
        }
        Some(check::check(&driven.finished, &runs, true))
    };
    let clean = findings.as_ref().is_none_or(Findings::is_clean);
    print(args.json, &Report { summary, findings });
    Ok(clean)
}

fn print(json: bool, report: &Report) {
    if json {
        let text = serde_json::to_string(report).unwrap_or_else(|err| err.to_string());
        println!("{text}");
        return;
    }
    println!("{}", report.summary);
    match &report.findings {
        Some(findings) => println!("{findings}"),
        None => println!("checked    nothing: no --records"),
    }
}
