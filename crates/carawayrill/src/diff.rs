//! `diff`: compares the files of a deployment with the configuration in force.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::process::ExitCode;

use carawayrill_config::ConfigFiles;
use carawayrill_config::LoadedDeployment;
use carawayrill_config::accept::fetch_files;
use carawayrill_core::id::Generation;
use serde_json::json;

use crate::cli::DirArgs;
use crate::error::EXIT_DIFFERENT;
use crate::error::Error;
use crate::output::print_json;
use crate::output::print_line;

/// A value that differs between the files and the configuration in force.
#[derive(Debug)]
struct Difference {
    path: String,
    in_force: Option<String>,
    in_files: Option<String>,
}

/// Runs the subcommand.
pub async fn run(args: &DirArgs) -> Result<ExitCode, Error> {
    let loaded = ConfigFiles::read(&args.dir)?.check()?;
    let store = args.store.connect()?;
    let found = fetch_files(&store).await?;
    let (generation, in_force) = match &found {
        Some((head, files)) => (head.generation, values(&files.check()?)),
        None => (Generation(0), BTreeMap::new()),
    };
    let differences = differences(&in_force, &values(&loaded));
    if args.json {
        let rows: Vec<_> = differences
            .iter()
            .map(|d| json!({"path": d.path, "in_force": d.in_force, "in_files": d.in_files}))
            .collect();
        print_json(&json!({"generation": generation, "differences": rows}));
    } else {
        print_text(generation, &differences);
    }
    if differences.is_empty() {
        return Ok(ExitCode::SUCCESS);
    }
    Ok(ExitCode::from(EXIT_DIFFERENT))
}

/// Returns all values by path; the paths of an overlay's values begin with its site.
fn values(loaded: &LoadedDeployment) -> BTreeMap<String, String> {
    let values = loaded.effective_values().into_iter();
    let named = values.map(|value| match value.site {
        Some(site) => (format!("[{site}] {}", value.path), value.value),
        None => (value.path, value.value),
    });
    named.collect()
}

/// Returns the values that differ, sorted by path.
fn differences(
    in_force: &BTreeMap<String, String>,
    in_files: &BTreeMap<String, String>,
) -> Vec<Difference> {
    let paths: BTreeSet<&String> = in_force.keys().chain(in_files.keys()).collect();
    paths
        .into_iter()
        .filter(|path| in_force.get(*path) != in_files.get(*path))
        .map(|path| Difference {
            path: path.clone(),
            in_force: in_force.get(path).cloned(),
            in_files: in_files.get(path).cloned(),
        })
        .collect()
}

/// Prints differences as `-` lines for the configuration in force and `+` lines for the files.
fn print_text(generation: Generation, differences: &[Difference]) {
    if differences.is_empty() {
        print_line(&format!("no difference from generation {generation}"));
        return;
    }
    print_line(&format!("compared with generation {generation}:"));
    for difference in differences {
        if let Some(value) = &difference.in_force {
            print_line(&format!("- {} = {value}", difference.path));
        }
        if let Some(value) = &difference.in_files {
            print_line(&format!("+ {} = {value}", difference.path));
        }
    }
}
