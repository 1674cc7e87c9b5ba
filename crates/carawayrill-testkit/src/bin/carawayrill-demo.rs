//! Demonstration of the whole request path.
//!
//! Starts a deployment as separate processes on loopback, sends a request to each service, kills
//! the home router of one key, and shows that the key is answered again.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Parser;
use carawayrill_testkit::demo;

fn options() -> bpaf::OptionParser<demo::Options> {
    let deployment = bpaf::positional::<PathBuf>("DIR")
        .help("Deployment: a directory with base.yaml and sites/");
    let work = bpaf::long("work")
        .help("Directory to which settings and logs are written")
        .argument::<PathBuf>("DIR");
    bpaf::construct!(demo::Options { work, deployment })
        .to_options()
        .descr("Runs a deployment on loopback, with the loss of a router and a graceful stop.")
        .footer("Exit codes: 0 if every response was complete and correct; 1 otherwise.")
}

#[tokio::main]
async fn main() -> ExitCode {
    let options = options().run();
    match demo::run(&options).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("demo failed: {err}");
            ExitCode::FAILURE
        }
    }
}
