//! The command line tool `carawayrill` for operators.
//!
//! Each subcommand has its own module. [`cli`] parses the arguments, [`error`] has the exit codes.

mod apply;
mod check;
mod cli;
mod diff;
mod drain;
mod error;
mod fetch;
mod generation_file;
mod key_owner;
mod members;
mod output;
mod replay;
mod status;
mod store;
mod timeline;
mod timeline_filter;
mod utc;
mod wait;

use std::process::ExitCode;

use crate::cli::Command;
use crate::error::Error;

#[tokio::main]
async fn main() -> ExitCode {
    let command = match cli::options().run_inner(bpaf::Args::current_args()) {
        Ok(command) => command,
        Err(failure) => return cli::report_parse_failure(&failure),
    };
    match run(command).await {
        Ok(code) => code,
        Err(err) => {
            eprintln!("{err}");
            ExitCode::from(err.exit_code())
        }
    }
}

/// Runs one subcommand.
async fn run(command: Command) -> Result<ExitCode, Error> {
    match command {
        Command::Check(args) => check::run(&args),
        Command::Diff(args) => diff::run(&args).await,
        Command::Apply(args) => apply::run(&args).await,
        Command::Fetch(args) => fetch::run(&args).await,
        Command::Status(args) => status::run(&args).await,
        Command::Drain(args) => drain::drain(&args).await,
        Command::Undrain(args) => drain::undrain(&args).await,
        Command::Timeline(args) => timeline::run(&args),
        Command::Replay(args) => replay::run(&args),
    }
}
