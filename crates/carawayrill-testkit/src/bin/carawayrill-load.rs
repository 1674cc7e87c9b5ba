//! Load generator that checks all responses against the servers' records.

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

/// Command-line arguments.
#[derive(Debug, Clone)]
struct Args {
    settings: Settings,
    records: Vec<SocketAddr>,
    record_file: Vec<PathBuf>,
    json: bool,
}

/// Report that is printed, as text or with `--json`.
#[derive(Debug, Serialize)]
struct Report {
    summary: Summary,
    /// `None` without `--records` and `--record-file`.
    findings: Option<Findings>,
}

/// Returns an option with a default value.
fn option_with_default<T>(
    name: &'static str,
    metavar: &'static str,
    help: &'static str,
    default: T,
) -> impl Parser<T>
where
    T: FromStr<Err: std::fmt::Display> + std::fmt::Display + Clone + 'static,
{
    long(name)
        .help(help)
        .argument::<T>(metavar)
        .fallback(default)
        .display_fallback()
}

fn seconds(name: &'static str, help: &'static str, default: f64) -> impl Parser<Duration> {
    option_with_default(name, "SECONDS", help, default).parse(Duration::try_from_secs_f64)
}

fn services() -> impl Parser<Vec<Target>> {
    let service = long("service")
        .help("Service and the header of its key, such as `forms=x-form`; may be repeated")
        .argument::<Target>("NAME=HEADER")
        .many();
    let once_service = long("once-service")
        .help("Like --service, but each request carries an idempotency key; may be repeated")
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
    let count = option_with_default("keys", "N", "Number of keys", 1_000);
    let exponent = option_with_default(
        "zipf",
        "S",
        "Exponent of the Zipf distribution of the keys; 0 is uniform",
        0.0,
    );
    let hot = option_with_default("hot-keys", "N", "Number of additional hot keys", 0);
    let share = option_with_default("hot-share", "F", "Fraction of requests for hot keys", 0.5);
    let change_every = seconds("hot-change", "Time after which other keys become hot", 60.0);
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
        .help(
            "Router, or server with --direct; requests go to the targets in turn; may be repeated",
        )
        .argument("ADDRESS")
        .some("at least one --target is needed");
    let direct = long("direct")
        .help("The targets are servers that check no tokens")
        .switch();
    let services = services();
    let idempotency_key_share = option_with_default(
        "once-share",
        "F",
        "Fraction of requests with an idempotency key",
        0.2,
    );
    let rate = option_with_default("rate", "N", "Requests per second", 100.0);
    let time = seconds("seconds", "Time for which requests are sent", 5.0);
    let warm_up = seconds(
        "warm-up",
        "Time at the start whose latencies are not counted",
        0.0,
    );
    let keys = keys();
    let seed = option_with_default("seed", "N", "Seed of all random choices", 1);
    let attempts = option_with_default(
        "attempts",
        "N",
        "Maximum number of attempts of a request, each to the next target",
        1,
    );
    let deadline = seconds("deadline", "Deadline that a request carries", 2.0);
    let in_flight = option_with_default(
        "in-flight",
        "N",
        "Maximum number of requests in flight; requests beyond it are not sent",
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
        .help("Server against whose records the responses are checked; may be repeated")
        .argument("ADDRESS")
        .many();
    let record_file = long("record-file")
        .help("File to which a server wrote its records; may be repeated")
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
    .descr(
        "Sends requests on a fixed schedule and checks all responses against the servers' records",
    )
    .version(env!("CARGO_PKG_VERSION"))
}

fn main() -> ExitCode {
    let args = args().run();
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(err) => return report_failure(&err),
    };
    match runtime.block_on(run(&args)) {
        Ok(clean) => ExitCode::from(u8::from(!clean)),
        Err(err) => report_failure(&err),
    }
}

fn report_failure(err: &dyn std::error::Error) -> ExitCode {
    eprintln!("carawayrill-load: {err}");
    ExitCode::from(2)
}

/// Generates the load, prints the report and returns whether the check found nothing.
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
        None => println!("checked    nothing: neither --records nor --record-file is given"),
    }
}
