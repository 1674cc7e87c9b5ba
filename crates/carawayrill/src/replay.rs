//! `replay`: runs recorded traces through the decision code and compares the outcomes.

use std::fs;
use std::path::Path;
use std::process::ExitCode;

use carawayrill_core::replay::StatementResult;
use serde_json::json;

use crate::cli::ReplayArgs;
use crate::error::EXIT_DIFFERENT;
use crate::error::Error;
use crate::output::print_json;
use crate::output::print_line;

/// Runs the subcommand. All traces are replayed, even after one that differs.
pub fn run(args: &ReplayArgs) -> Result<ExitCode, Error> {
    let mut all_hold = true;
    for file in &args.files {
        let outcomes = replay_file(file)?;
        all_hold &= outcomes.iter().all(|outcome| outcome.broken_at.is_none());
        report(args, file, &outcomes);
    }
    if all_hold {
        return Ok(ExitCode::SUCCESS);
    }
    Ok(ExitCode::from(EXIT_DIFFERENT))
}

/// Replays one trace.
fn replay_file(file: &Path) -> Result<Vec<StatementResult>, Error> {
    let file_error = |text: &str| Error::invalid(format!("{}: {text}", file.display()));
    let text = fs::read_to_string(file).map_err(|err| file_error(&err.to_string()))?;
    carawayrill_core::replay::run(&text).map_err(|err| file_error(&err.to_string()))
}

/// Prints the outcome of each statement.
fn report(args: &ReplayArgs, file: &Path, outcomes: &[StatementResult]) {
    for outcome in outcomes {
        if args.json {
            print_json(&json!({
                "file": file.display().to_string(),
                "statement": outcome.statement.to_string(),
                "holds": outcome.broken_at.is_none(),
                "broken_at": outcome.broken_at,
                "found": outcome.found,
            }));
        } else {
            print_line(&format!("{}: {outcome}", file.display()));
        }
    }
}
