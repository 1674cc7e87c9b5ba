//! What may not change from one generation to the next.
//!
//! Processes take a generation in at different moments, so two neighbouring ones are in force at
//! the same time. A change is refused if routers that route by the one and takers that wait by the
//! other could give a key two owners.

use std::time::Duration;

use crate::Loaded;
use crate::Problem;
use crate::deployment::Deployment;
use crate::deployment::OnStoreOutage;
use crate::deployment::Service;

/// Tells whether takers wait for a shorter time by `after` than by `before`. Such a change may only
/// follow once every router has the generation of `before` in force; the store alone can't tell.
#[must_use]
pub fn shortens_authority(before: &Deployment, after: &Deployment) -> bool {
    before.services.iter().any(|old| {
        let new = after.service(&old.id);
        new.is_some_and(|new| validity(after, new) < validity(before, old))
    })
}

/// Lists the changes from `before` to `after` that are refused.
pub(crate) fn refused(before: &Deployment, after: &Loaded) -> Vec<Problem> {
    let mut problems = Vec::new();
    for old in &before.services {
        if let Some(new) = after.deployment.service(&old.id) {
            fixed(old, new, after, &mut problems);
            authority(before, old, new, after, &mut problems);
        }
    }
    problems
}

/// Refuses a change of what the stored assignments are laid out by.
fn fixed(old: &Service, new: &Service, after: &Loaded, problems: &mut Vec<Problem>) {
    let fields = [
        ("shards", old.shards.to_string(), new.shards.to_string()),
        (
            "shards_per_block",
            old.shards_per_block.to_string(),
            new.shards_per_block.to_string(),
        ),
        ("fencing", old.fencing.to_string(), new.fencing.to_string()),
    ];
    for (name, was, is) in fields {
        if was != is {
            let path = format!("services.{}.{name}", old.id);
            let text = format!(
                "found `{is}`, expected `{was}` as in force: it is fixed for the life of a \
                 service; declare another service and move the callers over"
            );
            problems.push(Problem::new(&after.origin(&path), path, text));
        }
    }
}

/// Refuses to shorten the time that takers wait while a home may still hold on for longer.
fn authority(
    before: &Deployment,
    old: &Service,
    new: &Service,
    after: &Loaded,
    problems: &mut Vec<Problem>,
) {
    let is = validity(&after.deployment, new);
    let sites = before.data_centres.iter();
    let held = sites.filter_map(|dc| before.service_at(&old.id, &dc.id));
    let longest = held.map(|service| validity(before, service)).max();
    if longest.is_some_and(|longest| is < longest) {
        let path = format!("services.{}.on_store_outage", old.id);
        let text = format!(
            "found `{}`, shorter than a home may hold on by the generation in force: a key could \
             get a second owner; first shorten it in the overlay of each data centre, wait until \
             that is in force everywhere, then here",
            new.on_store_outage
        );
        problems.push(Problem::new(&after.origin(&path), path, text));
    }
}

/// Returns how long a version check of the store gives authority over a service.
fn validity(deployment: &Deployment, service: &Service) -> Duration {
    match service.on_store_outage {
        OnStoreOutage::Hold(span) => span.0,
        OnStoreOutage::Stop => deployment.timing.authority.0,
    }
}
