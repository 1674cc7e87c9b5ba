//! `apply`: puts the files of a deployment in force.

use std::process::ExitCode;

use carawayrill_config::ConfigFiles;
use carawayrill_config::accept::Edit;
use carawayrill_config::accept::EditOutcome;
use carawayrill_config::accept::RetryPolicy;
use carawayrill_config::accept::changes_authority;
use carawayrill_config::accept::fetch;
use carawayrill_config::accept::propose;
use carawayrill_store::http_store::HttpStore;
use serde_json::json;

use crate::cli::ApplyArgs;
use crate::error::Error;
use crate::generation_file;
use crate::output::print_json;
use crate::output::print_line;
use crate::store::ExponentialBackoff;
use crate::wait;
use crate::wait::InForce;
use crate::wait::WaitOutcome;

/// Runs the subcommand.
pub async fn run(args: &ApplyArgs) -> Result<ExitCode, Error> {
    let from = match args.from {
        Some(from) => from,
        None => generation_file::read(&args.dir)?,
    };
    let edit = Edit {
        from,
        files: ConfigFiles::read(&args.dir)?,
        by: args.by.clone(),
    };
    let store = args.store.connect()?;
    wait_before_authority_change(args, &store, &edit.files).await?;
    let now = carawayrill_telemetry::wall_now();
    let outcome = propose(
        &store,
        &edit,
        now,
        &ExponentialBackoff::new(args.patience.0),
    )
    .await?;
    save_files(args, &outcome)?;
    let in_force = wait_if_requested(args, &store, &outcome).await?;
    report(args, &outcome, in_force.as_ref());
    Ok(ExitCode::SUCCESS)
}

/// If the edit changes how long homes keep their authority or takeovers wait, waits until no
/// process uses an older generation than the one in force.
async fn wait_before_authority_change(
    args: &ApplyArgs,
    store: &HttpStore,
    files: &ConfigFiles,
) -> Result<(), Error> {
    let backoff = ExponentialBackoff::new(args.patience.0);
    let mut attempt = 0;
    let before = loop {
        attempt += 1;
        match fetch(store).await {
            Ok(found) => break found,
            Err(err) if err.is_transient() && backoff.wait(attempt).await => {}
            Err(err) => return Err(err.into()),
        }
    };
    let Some(before) = before else {
        return Ok(());
    };
    if !changes_authority(&before.deployment, &files.check()?.deployment) {
        return Ok(());
    }
    let wait_outcome = wait::until_in_force(store, before.generation, args.patience.0).await?;
    match wait_outcome.lagging() {
        None => Ok(()),
        Some(lagging) => Err(Error::refused(format!(
            "generation {} is not yet in force at {lagging}. This edit changes on_store_outage or \
             timing.authority, which is safe only once the previous generation is in force \
             everywhere. Nothing was changed. Restart these processes, or wait until a controller \
             has removed them from `carawayrill status`, then run the command again.",
            before.generation
        ))),
    }
}

/// Writes merged files and the generation to the directory, as the base of the next edit.
fn save_files(args: &ApplyArgs, outcome: &EditOutcome) -> Result<(), Error> {
    if let EditOutcome::Accepted {
        files,
        merged: true,
        ..
    } = outcome
    {
        files.write(&args.dir)?;
    }
    generation_file::write(&args.dir, outcome.generation())
}

/// Waits until the generation is in force everywhere, if `--wait` is given.
async fn wait_if_requested(
    args: &ApplyArgs,
    store: &HttpStore,
    outcome: &EditOutcome,
) -> Result<Option<InForce>, Error> {
    let Some(span) = args.wait else {
        return Ok(None);
    };
    let generation = outcome.generation();
    let wait_outcome = wait::until_in_force(store, generation, span.0).await?;
    match wait_outcome {
        WaitOutcome::Done(in_force) => Ok(Some(in_force)),
        WaitOutcome::TimedOut(_) => Err(Error::not_in_force(format!(
            "generation {generation} is accepted, but not yet in force at {}.",
            wait_outcome.lagging().unwrap_or_default()
        ))),
    }
}

/// Prints the outcome.
fn report(args: &ApplyArgs, outcome: &EditOutcome, in_force: Option<&InForce>) {
    let generation = outcome.generation();
    let merged = matches!(outcome, EditOutcome::Accepted { merged: true, .. });
    let changed = matches!(outcome, EditOutcome::Accepted { .. });
    if args.json {
        print_json(&json!({
            "generation": generation,
            "changed": changed,
            "merged": merged,
            "routers": in_force.map(|in_force| in_force.routers),
            "in_force_after_ms": in_force.map(|in_force| in_force.after_ms),
        }));
        return;
    }
    match (changed, merged) {
        (false, _) => print_line(&format!(
            "no change: the files are already in force as generation {generation}"
        )),
        (true, false) => print_line(&format!("accepted as generation {generation}")),
        (true, true) => print_line(&format!(
            "accepted as generation {generation}, merged with concurrent edits; the merged files \
             are in {}",
            args.dir.display()
        )),
    }
    if let Some(in_force) = in_force {
        print_line(&format!(
            "in force at all {} routers after {} ms",
            in_force.routers, in_force.after_ms
        ));
    }
}
