//! `drain` and `undrain`: orders that a server or a router shall leave.

use std::process::ExitCode;
use std::time::Duration;

use carawayrill_config::accept::Pause;
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
use crate::output::say;
use crate::store::Patience;
use crate::utc::utc;

/// How long an order whose answer was lost is looked for.
const SETTLE_LIMIT: Duration = Duration::from_secs(10);

/// Runs `drain`.
pub async fn drain(args: &DrainArgs) -> Result<ExitCode, Error> {
    let store = args.store.connect()?;
    known(&store, &args.name).await?;
    let order = DrainOrder {
        name: args.name.clone(),
        reason: args.reason.clone(),
        since: carawayrill_telemetry::wall_now(),
    };
    let value = serde_json::to_vec(&order).map_err(|err| Error::wrong(err.to_string()))?;
    let pause = Patience::new(SETTLE_LIMIT);
    let mut attempt = 0;
    loop {
        // A repeated create finds the order of the attempt before, so that it settles itself.
        let put = store
            .put(&name(args), value.clone().into(), Version(0))
            .await;
        match put {
            Ok(_) => break,
            Err(err) if err.conflicting_version().is_some() => {
                if let Some(found) = store.get(&name(args)).await? {
                    return already(args, &order, &found);
                }
            }
            Err(err) if err.outcome() == CallOutcome::NotDone && attempt == 0 => {
                return Err(err.into());
            }
            Err(err) => {
                attempt += 1;
                if !pause.pause(attempt).await {
                    return Err(Error::unknown(err.to_string()));
                }
            }
        }
    }
    told(args, "ordered to leave", &order);
    Ok(ExitCode::SUCCESS)
}

/// Answers for an order that stands already: our own, or another's.
fn already(args: &DrainArgs, order: &DrainOrder, found: &Object) -> Result<ExitCode, Error> {
    let standing: DrainOrder = serde_json::from_slice(&found.value)
        .map_err(|err| Error::wrong(format!("{}: {err}", found.name)))?;
    let what = if standing == *order {
        "ordered to leave"
    } else {
        "was ordered to leave before"
    };
    told(args, what, &standing);
    Ok(ExitCode::SUCCESS)
}

/// Runs `undrain`.
pub async fn undrain(args: &DrainArgs) -> Result<ExitCode, Error> {
    let store = args.store.connect()?;
    let pause = Patience::new(SETTLE_LIMIT);
    let mut attempt = 0;
    let mut is_sent = false;
    loop {
        let Some(found) = store.get(&name(args)).await? else {
            return gone(args, is_sent);
        };
        match store.delete(&name(args), found.version).await {
            Ok(()) => return gone(args, true),
            Err(err) if err.outcome() == CallOutcome::NotDone && !is_sent => return Err(err.into()),
            Err(err) => {
                is_sent = true;
                attempt += 1;
                if !pause.pause(attempt).await {
                    return Err(Error::unknown(err.to_string()));
                }
            }
        }
    }
}

/// Answers once there is no order any more.
fn gone(args: &DrainArgs, by_us: bool) -> Result<ExitCode, Error> {
    if !by_us {
        return Err(Error::refused(format!(
            "There is no drain order for `{}`. `carawayrill status` lists those that stand.",
            args.name
        )));
    }
    if args.json {
        print_json(&json!({"name": args.name, "draining": false}));
    } else {
        say(&format!("{}: may stay; its order is taken back", args.name));
    }
    Ok(ExitCode::SUCCESS)
}

/// Returns the name of the order's object.
fn name(args: &DrainArgs) -> String {
    format!("{DRAINS}{}", args.name)
}

/// Checks that there is such a server or router, so that a slip of the pen isn't an order.
async fn known(store: &HttpStore, name: &str) -> Result<(), Error> {
    let config = fetch(store).await?;
    let servers = config.iter().flat_map(|config| &config.deployment.servers);
    let is_server = servers.into_iter().any(|server| server.id.as_str() == name);
    if is_server || members::has_router(&members::list(store).await?, name) {
        return Ok(());
    }
    Err(Error::wrong(format!(
        "There is no server and no running router named `{name}`. `carawayrill status` lists them."
    )))
}

/// Tells about an order that stands.
fn told(args: &DrainArgs, what: &str, order: &DrainOrder) {
    if args.json {
        print_json(
            &json!({"name": order.name, "draining": true, "reason": order.reason, "since": order.since}),
        );
        return;
    }
    say(&format!(
        "{}: {what} since {} ({})",
        order.name,
        utc(order.since),
        order.reason
    ));
}
