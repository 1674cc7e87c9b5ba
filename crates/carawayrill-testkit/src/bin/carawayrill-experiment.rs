//! Command that runs an experiment on the real processes and prints its report.

use std::fmt::Display;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use bpaf::OptionParser;
use bpaf::Parser;
use bpaf::construct;
use bpaf::long;
use bpaf::positional;
use carawayrill_testkit::bench::Bench;
use carawayrill_testkit::bench::duplicates;
use carawayrill_testkit::bench::frozen;
use carawayrill_testkit::bench::goodput;
use carawayrill_testkit::bench::latency;
use carawayrill_testkit::bench::loss;
use carawayrill_testkit::bench::loss::Loss;
use carawayrill_testkit::bench::rolling;
use carawayrill_testkit::bench::shape::Shape;
use carawayrill_testkit::bench::skew;
use carawayrill_testkit::fleet::Error;
use carawayrill_testkit::fleet::FleetConfig;
use serde::Serialize;

/// Time without a response for a key after which an experiment fails.
const RECOVERY_TIMEOUT: Duration = Duration::from_mins(1);
/// Service time of a request in the goodput experiment, in milliseconds.
const GOODPUT_SERVICE_MS: u64 = 50;

/// Command-line arguments.
#[derive(Debug, Clone)]
struct Args {
    store_down: bool,
    rate: f64,
    seconds: f64,
    routers: usize,
    dir: Option<PathBuf>,
    json: bool,
    name: String,
}

fn args() -> OptionParser<Args> {
    let store_down = long("store-down")
        .help("Take the store down before the loss")
        .switch();
    let rate = long("rate")
        .help("Requests per second")
        .argument("N")
        .fallback(300.0)
        .display_fallback();
    let seconds = long("seconds")
        .help("Duration of each load")
        .argument("SECONDS")
        .fallback(10.0)
        .display_fallback();
    let routers = long("routers")
        .help("Number of routers in each data centre")
        .argument("N")
        .fallback(1)
        .display_fallback();
    let dir = long("dir")
        .help("Directory in which settings, logs and records are kept; by default they are removed")
        .argument("DIR")
        .optional();
    let json = long("json").help("Print JSON").switch();
    let name = positional("NAME").help(
        "server, router, controllers, data-centre, frozen-server, rolling, duplicates, goodput, \
         latency or skew",
    );
    construct!(Args {
        store_down,
        rate,
        seconds,
        routers,
        dir,
        json,
        name,
    })
    .to_options()
    .descr("Runs an experiment on the real processes on loopback")
    .footer("Exit codes: 0 if the experiment passed, 1 if it failed, 2 if it could not be run.")
    .version(env!("CARGO_PKG_VERSION"))
}

#[tokio::main]
async fn main() -> ExitCode {
    let args = args().run();
    match run(&args).await {
        Ok(clean) => ExitCode::from(u8::from(!clean)),
        Err(err) => {
            eprintln!("carawayrill-experiment: {err}");
            ExitCode::from(2)
        }
    }
}

async fn run(args: &Args) -> Result<bool, Error> {
    let temp_dir = std::env::temp_dir().join(format!("carawayrill-{}", std::process::id()));
    let dir = args.dir.clone().unwrap_or_else(|| temp_dir.clone());
    let result = experiment(args, &dir).await;
    if args.dir.is_none() {
        std::fs::remove_dir_all(&temp_dir)?;
    }
    result
}

async fn experiment(args: &Args, dir: &std::path::Path) -> Result<bool, Error> {
    let shape = Shape::small();
    let mut cfg = FleetConfig::default().routers_per_data_centre(args.routers);
    if args.name == "goodput" {
        cfg = cfg
            .server_option("--service-ms")
            .server_option(GOODPUT_SERVICE_MS.to_string());
    }
    let mut bench = Bench::start(dir, &shape, cfg).await?;
    let time = Duration::from_secs_f64(args.seconds);
    let clean = match args.name.as_str() {
        "rolling" => {
            let report = rolling::run(&mut bench, &shape, args.rate).await?;
            print(args, &report, report.is_clean())
        }
        "duplicates" => {
            let report = duplicates::run(&mut bench, &shape, args.rate).await?;
            print(args, &report, report.load.findings.is_clean())
        }
        "frozen-server" => {
            let report = frozen::run(&mut bench, &shape, args.rate, RECOVERY_TIMEOUT).await?;
            print(args, &report, report.load.findings.is_clean())
        }
        "goodput" => {
            let service_time = Duration::from_millis(GOODPUT_SERVICE_MS);
            let report = goodput::run(&bench, &shape, service_time, time).await?;
            print(args, &report, true)
        }
        "latency" => {
            let report = latency::run(&bench, &shape, dir, args.rate, time).await?;
            print(args, &report, true)
        }
        "skew" => {
            let report = skew::run(&bench, &shape, args.rate, time).await?;
            print(args, &report, report.load.findings.is_clean())
        }
        name => {
            let loss: Loss = name.parse()?;
            let report = loss::run(&mut bench, loss, args.store_down, RECOVERY_TIMEOUT).await?;
            let in_time = Duration::from_millis(report.last_ms) <= loss::RECOVERY_TARGET;
            print(args, &report, in_time)
        }
    };
    drop(bench);
    Ok(clean)
}

/// Prints a report and returns `clean` unchanged.
fn print<T: Serialize + Display>(args: &Args, report: &T, clean: bool) -> bool {
    if args.json {
        let text = serde_json::to_string(report).unwrap_or_else(|err| err.to_string());
        println!("{text}");
    } else {
        println!("{report}");
    }
    clean
}
