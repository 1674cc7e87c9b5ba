//! `replay`: recorded traces through the decision code, against their stated outcomes.

use std::fs;
use std::path::Path;
use std::process::ExitCode;

use carawayrill_core::replay::StatementResult;
use serde_json::json;

use crate::cli::ReplayArgs;
use crate::error::EXIT_DIFFERENT;
use crate::error::Error;
use crate::output::print_json;
use crate::output::say;

/// Runs the subcommand. All traces are replayed, also after one that differs.
pub fn run(args: &ReplayArgs) -> Result<ExitCode, Error> {
    let mut is_right = true;
    for file in &args.files {
        let outcomes = replayed(file)?;
        is_right &= outcomes.iter().all(|outcome| outcome.broken_at.is_none());
        report(args, file, &outcomes);
    }
    if is_right {
        return Ok(ExitCode::SUCCESS);
    }
    Ok(ExitCode::from(EXIT_DIFFERENT))
}

/// Replays one trace.
fn replayed(file: &Path) -> Result<Vec<StatementResult>, Error> {
    let named = |text: &str| Error::wrong(format!("{}: {text}", file.display()));
    let text = fs::read_to_string(file).map_err(|err| named(&err.to_string()))?;
    carawayrill_core::replay::run(&text).map_err(|err| named(&err.to_string()))
}

/// Tells what became of each statement.
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
            say(&format!("{}: {outcome}", file.display()));
        }
    }
}
