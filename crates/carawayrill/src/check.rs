//! `check`: are the files of a deployment right?

use std::process::ExitCode;

use serde_json::json;

use crate::cli::CheckArgs;
use crate::error::Error;
use crate::output::print_json;
use crate::output::say;

/// Runs the subcommand.
pub fn run(args: &CheckArgs) -> Result<ExitCode, Error> {
    let loaded = carawayrill_config::load(&args.dir)?;
    if args.json {
        let shown: Vec<_> = loaded.effective_values().iter().map(value).collect();
        print_json(&json!({"deployment": loaded.deployment, "values": shown}));
        return Ok(ExitCode::SUCCESS);
    }
    if args.show {
        for value in loaded.effective_values() {
            say(&value);
        }
        return Ok(ExitCode::SUCCESS);
    }
    let whole = &loaded.deployment;
    say(&format!(
        "{}: {} services, {} servers, {} data centres, {} site adjustments: right",
        whole.name,
        whole.services.len(),
        whole.servers.len(),
        whole.data_centres.len(),
        whole.site_services.len()
    ));
    Ok(ExitCode::SUCCESS)
}

/// Writes one value with its origin.
fn value(shown: &carawayrill_config::EffectiveValue) -> serde_json::Value {
    let origin = shown.origin.as_ref();
    json!({
        "site": shown.site,
        "path": shown.path,
        "value": shown.value,
        "file": origin.map(|origin| origin.file.as_str()),
        "line": origin.map(|origin| origin.line),
    })
}
