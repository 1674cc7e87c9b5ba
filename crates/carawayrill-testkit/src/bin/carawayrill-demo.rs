//! Shows the whole path at work: starts a deployment as separate processes on loopback, sends a
//! request to each service, kills the home router of one key, and shows that the key is answered
//! again.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Parser;
use carawayrill_testkit::demo;

fn options() -> bpaf::OptionParser<demo::Options> {
    let deployment = bpaf::positional::<PathBuf>("DIR")
        .help("The deployment: a folder with base.yaml and sites/");
    let work = bpaf::long("work")
        .help("Where settings and event lines are written")
        .argument::<PathBuf>("DIR");
    bpaf::construct!(demo::Options { work, deployment })
        .to_options()
        .descr("Runs a deployment on loopback, with a loss and a planned stop.")
        .footer("Exit codes: 0 if every answer was whole and right; 1 otherwise.")
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
