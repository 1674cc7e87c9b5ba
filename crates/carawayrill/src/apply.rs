//! `apply`: brings the files of a deployment into force.

use std::process::ExitCode;

use carawayrill_config::ConfigFiles;
use carawayrill_config::accept::Backoff;
use carawayrill_config::accept::Edit;
use carawayrill_config::accept::EditOutcome;
use carawayrill_config::accept::changes_authority;
use carawayrill_config::accept::fetch;
use carawayrill_config::accept::propose;
use carawayrill_store::http_store::HttpStore;
use serde_json::json;

use crate::cli::ApplyArgs;
use crate::error::Error;
use crate::generation_file;
use crate::output::print_json;
use crate::output::say;
use crate::store::Patience;
use crate::wait;
use crate::wait::InForce;
use crate::wait::Waited;

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
    settle_before_change_of_authority(args, &store, &edit.files).await?;
    let now = carawayrill_telemetry::wall_now();
    let answer = propose(&store, &edit, now, &Patience::new(args.patience.0)).await?;
    keep(args, &answer)?;
    let in_force = wait_if_asked(args, &store, &answer).await?;
    report(args, &answer, in_force.as_ref());
    Ok(ExitCode::SUCCESS)
}

/// If homes hold on or takers wait for another time from now on, makes sure that no process still
/// goes by an older generation than the one in force.
async fn settle_before_change_of_authority(
    args: &ApplyArgs,
    store: &HttpStore,
    files: &ConfigFiles,
) -> Result<(), Error> {
    let backoff = Patience::new(args.patience.0);
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
    let waited = wait::for_all(store, before.generation, args.patience.0).await?;
    match waited.late() {
        None => Ok(()),
        Some(late) => Err(Error::refused(format!(
            "Generation {} is not yet in force at {late}. This edit changes on_store_outage or \
             timing.authority, which is safe only once the generation before is in force \
             everywhere. Nothing was changed. Bring these processes back, or wait until a \
             controller has taken them out of `carawayrill status`, then run the command again.",
            before.generation
        ))),
    }
}

/// Writes merged files and the generation to the directory, as the start of the next edit.
fn keep(args: &ApplyArgs, answer: &EditOutcome) -> Result<(), Error> {
    if let EditOutcome::Accepted {
        files,
        merged: true,
        ..
    } = answer
    {
        files.write(&args.dir)?;
    }
    generation_file::write(&args.dir, answer.generation())
}

/// Waits for the routers if the operator asked for it.
async fn wait_if_asked(
    args: &ApplyArgs,
    store: &HttpStore,
    answer: &EditOutcome,
) -> Result<Option<InForce>, Error> {
    let Some(span) = args.wait else {
        return Ok(None);
    };
    let generation = answer.generation();
    let waited = wait::for_all(store, generation, span.0).await?;
    match waited {
        Waited::Done(in_force) => Ok(Some(in_force)),
        Waited::Late(_) => Err(Error::waiting(format!(
            "Generation {generation} is accepted, but not yet in force at {}.",
            waited.late().unwrap_or_default()
        ))),
    }
}

/// Tells what came of it.
fn report(args: &ApplyArgs, answer: &EditOutcome, in_force: Option<&InForce>) {
    let generation = answer.generation();
    let merged = matches!(answer, EditOutcome::Accepted { merged: true, .. });
    let changed = matches!(answer, EditOutcome::Accepted { .. });
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
        (false, _) => say(&format!("no change: this is generation {generation}")),
        (true, false) => say(&format!("accepted as generation {generation}")),
        (true, true) => say(&format!(
            "accepted as generation {generation}, merged with edits of others; the merged files \
             are in {}",
            args.dir.display()
        )),
    }
    if let Some(in_force) = in_force {
        say(&format!(
            "in force at all {} routers after {} ms",
            in_force.routers, in_force.after_ms
        ));
    }
}
