//! `replay`: recorded traces through the decision code.

use std::process::ExitCode;

use crate::cli::ReplayArgs;
use crate::error::Error;
use crate::output::print_json;

/// Runs the subcommand.
pub fn run(args: &ReplayArgs) -> Result<ExitCode, Error> {
    let text = format!(
        "This build can't replay traces yet; {} files were not read.",
        args.files.len()
    );
    if args.json {
        print_json(&serde_json::json!({"error": text}));
    }
    Err(Error::wrong(text))
}
