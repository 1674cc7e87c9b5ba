//! `check`: validates the files of a deployment.

use std::process::ExitCode;

use serde_json::json;

use crate::cli::CheckArgs;
use crate::error::Error;
use crate::output::print_json;
use crate::output::print_line;

/// Runs the subcommand.
pub fn run(args: &CheckArgs) -> Result<ExitCode, Error> {
    let loaded = carawayrill_config::load(&args.dir)?;
    if args.json {
        let values: Vec<_> = loaded.effective_values().iter().map(value).collect();
        print_json(&json!({"deployment": loaded.deployment, "values": values}));
        return Ok(ExitCode::SUCCESS);
    }
    if args.show {
        for value in loaded.effective_values() {
            print_line(&value);
        }
        return Ok(ExitCode::SUCCESS);
    }
    let deployment = &loaded.deployment;
    print_line(&format!(
        "{}: {} services, {} servers, {} data centres, {} site adjustments: valid",
        deployment.name,
        deployment.services.len(),
        deployment.servers.len(),
        deployment.data_centres.len(),
        deployment.site_services.len()
    ));
    Ok(ExitCode::SUCCESS)
}

/// Formats one value and its origin as JSON.
fn value(effective: &carawayrill_config::EffectiveValue) -> serde_json::Value {
    let origin = effective.origin.as_ref();
    json!({
        "site": effective.site,
        "path": effective.path,
        "value": effective.value,
        "file": origin.map(|origin| origin.file.as_str()),
        "line": origin.map(|origin| origin.line),
    })
}
