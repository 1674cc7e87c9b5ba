//! `drain` and `undrain`: create and remove the drain orders of servers and routers.

use std::process::ExitCode;
use std::time::Duration;

use carawayrill_config::accept::RetryPolicy;
use carawayrill_config::accept::fetch;
use carawayrill_core::id::Version;
use carawayrill_core::object::DRAINS;
use carawayrill_core::object::DrainOrder;
use carawayrill_store::CallOutcome;
use carawayrill_store::http_store::HttpStore;
use carawayrill_store::port::Object;
use carawayrill_store::port::ObjectStore;
use serde_json::json;

use crate::cli::DrainArgs;
use crate::error::Error;
use crate::members;
use crate::output::print_json;
use crate::output::print_line;
use crate::store::ExponentialBackoff;
use crate::utc::format_utc;

/// Longest time to find out whether a request whose response was lost took effect.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Runs `drain`.
pub async fn drain(args: &DrainArgs) -> Result<ExitCode, Error> {
    let store = args.store.connect()?;
    check_name_exists(&store, &args.name).await?;
    let order = DrainOrder {
        name: args.name.clone(),
        reason: args.reason.clone(),
        since: carawayrill_telemetry::wall_now(),
    };
    let value = serde_json::to_vec(&order).map_err(|err| Error::invalid(err.to_string()))?;
    let backoff = ExponentialBackoff::new(SETTLE_TIMEOUT);
    let mut attempt = 0;
    loop {
        // A retry conflicts with an order that an earlier attempt wrote, which shows its outcome.
        let put = store
            .put(&object_name(args), value.clone().into(), Version(0))
            .await;
        match put {
            Ok(_) => break,
            Err(err) if err.conflicting_version().is_some() => {
                if let Some(found) = store.get(&object_name(args)).await? {
                    return report_existing_order(args, &order, &found);
                }
            }
            Err(err) if err.outcome() == CallOutcome::NotDone && attempt == 0 => {
                return Err(err.into());
            }
            Err(err) => {
                attempt += 1;
                if !backoff.wait(attempt).await {
                    return Err(Error::unknown(err.to_string()));
                }
            }
        }
    }
    print_order(args, "drain order in force", &order);
    Ok(ExitCode::SUCCESS)
}

/// Prints an order that already exists: that of an earlier attempt, or another one.
fn report_existing_order(
    args: &DrainArgs,
    order: &DrainOrder,
    found: &Object,
) -> Result<ExitCode, Error> {
    let existing: DrainOrder = serde_json::from_slice(&found.value)
        .map_err(|err| Error::invalid(format!("{}: {err}", found.name)))?;
    let what = if existing == *order {
        "drain order in force"
    } else {
        "drain order already in force"
    };
    print_order(args, what, &existing);
    Ok(ExitCode::SUCCESS)
}

/// Runs `undrain`.
pub async fn undrain(args: &DrainArgs) -> Result<ExitCode, Error> {
    let store = args.store.connect()?;
    let backoff = ExponentialBackoff::new(SETTLE_TIMEOUT);
    let mut attempt = 0;
    let mut is_sent = false;
    loop {
        let Some(found) = store.get(&object_name(args)).await? else {
            return report_removal(args, is_sent);
        };
        match store.delete(&object_name(args), found.version).await {
            Ok(()) => return report_removal(args, true),
            Err(err) if err.outcome() == CallOutcome::NotDone && !is_sent => return Err(err.into()),
            Err(err) => {
                is_sent = true;
                attempt += 1;
                if !backoff.wait(attempt).await {
                    return Err(Error::unknown(err.to_string()));
                }
            }
        }
    }
}

/// Prints the result once there is no order. `is_removed` is false if there was none to remove.
fn report_removal(args: &DrainArgs, is_removed: bool) -> Result<ExitCode, Error> {
    if !is_removed {
        return Err(Error::refused(format!(
            "there is no drain order for `{}`; `carawayrill status` lists the existing ones",
            args.name
        )));
    }
    if args.json {
        print_json(&json!({"name": args.name, "draining": false}));
    } else {
        print_line(&format!("{}: drain order removed", args.name));
    }
    Ok(ExitCode::SUCCESS)
}

/// Returns the name of the object that holds the order.
fn object_name(args: &DrainArgs) -> String {
    format!("{DRAINS}{}", args.name)
}

/// Checks that a server or router of this name exists, so that a typo does not create an order.
async fn check_name_exists(store: &HttpStore, name: &str) -> Result<(), Error> {
    let config = fetch(store).await?;
    let servers = config.iter().flat_map(|config| &config.deployment.servers);
    let is_server = servers.into_iter().any(|server| server.id.as_str() == name);
    if is_server || members::has_router(&members::list_routers(store).await?, name) {
        return Ok(());
    }
    Err(Error::invalid(format!(
        "there is no server and no running router named `{name}`; `carawayrill status` lists them"
    )))
}

/// Prints an order.
fn print_order(args: &DrainArgs, what: &str, order: &DrainOrder) {
    if args.json {
        print_json(
            &json!({"name": order.name, "draining": true, "reason": order.reason, "since": order.since}),
        );
        return;
    }
    print_line(&format!(
        "{}: {what} since {} ({})",
        order.name,
        format_utc(order.since),
        order.reason
    ));
}
