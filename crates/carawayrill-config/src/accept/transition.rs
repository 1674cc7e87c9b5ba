//! What may not change from one generation to the next.
//!
//! Processes take a generation in at different moments, so two neighbouring ones are in force at
//! the same time. A change is refused if routers that route by the one and takers that wait by the
//! other could give a key two owners.

use std::time::Duration;

use crate::LoadedDeployment;
use crate::Problem;
use crate::deployment::Deployment;
use crate::deployment::OnStoreOutage;
use crate::deployment::Service;

/// Tells whether homes may hold on, or takers wait, for another time by `after` than by `before`.
/// Such a change may only follow once every process has the generation of `before` in force; the
/// store alone can't tell.
#[must_use]
pub fn changes_authority(before: &Deployment, after: &Deployment) -> bool {
    before.services.iter().any(|old| {
        let Some(new) = after.service(&old.id) else {
            return false;
        };
        validity(before, old) != validity(after, new)
            || site_validities(before, old).ne(site_validities(after, new))
    })
}

/// Lists the changes from `before` to `after` that are refused.
pub(crate) fn refused_changes(before: &Deployment, after: &LoadedDeployment) -> Vec<Problem> {
    let mut problems = Vec::new();
    for old in &before.services {
        if let Some(new) = after.deployment.service(&old.id) {
            check_fixed_fields(old, new, after, &mut problems);
            check_authority(before, old, new, after, &mut problems);
        }
    }
    problems
}

/// Refuses a change of what the stored assignments are laid out by.
fn check_fixed_fields(
    old: &Service,
    new: &Service,
    after: &LoadedDeployment,
    problems: &mut Vec<Problem>,
) {
    let fields = [
        ("shards", old.shards.to_string(), new.shards.to_string()),
        (
            "shards_per_block",
            old.shards_per_block.to_string(),
            new.shards_per_block.to_string(),
        ),
        ("fencing", old.fencing.to_string(), new.fencing.to_string()),
    ];
    for (name, old_value, new_value) in fields {
        if old_value != new_value {
            let path = format!("services.{}.{name}", old.id);
            let text = format!(
                "found `{new_value}`, expected `{old_value}` as in force: it is fixed for the life of a \
                 service; declare another service and move the callers over"
            );
            problems.push(Problem::new(&after.origin(&path), path, text));
        }
    }
}

/// Refuses a change after which a home may hold on, by either generation, for longer than a taker
/// waits by either.
fn check_authority(
    before: &Deployment,
    old: &Service,
    new: &Service,
    after: &LoadedDeployment,
    problems: &mut Vec<Problem>,
) {
    let wait = validity(before, old).min(validity(&after.deployment, new));
    let longest = site_validities(before, old)
        .chain(site_validities(&after.deployment, new))
        .max();
    if longest.is_some_and(|longest| longest > wait) {
        let path = format!("services.{}.on_store_outage", old.id);
        let text = format!(
            "found `{}`, in force is `{}`: while both are in use, a home could hold on for longer \
             than whoever takes over waits, and a key get a second owner; pin the shorter one in \
             the overlay of each data centre, wait until that is in force everywhere, then change \
             one of both at a time",
            outage_policy_text(&after.deployment, new),
            outage_policy_text(before, old)
        );
        problems.push(Problem::new(&after.origin(&path), path, text));
    }
}

/// Returns how long homes may hold on at each data centre.
fn site_validities<'a>(
    deployment: &'a Deployment,
    service: &'a Service,
) -> impl Iterator<Item = Duration> + 'a {
    let sites = deployment.data_centres.iter();
    let there = sites.filter_map(|dc| deployment.service_at(&service.id, &dc.id));
    there.map(|service| validity(deployment, service))
}

/// Writes how long homes hold on by the base file.
fn outage_policy_text(deployment: &Deployment, service: &Service) -> String {
    match service.on_store_outage {
        OnStoreOutage::Hold(span) => format!("hold {span}"),
        OnStoreOutage::Stop => format!("stop after {}", deployment.timing.authority),
    }
}

/// Returns how long a version check of the store gives authority over a service.
fn validity(deployment: &Deployment, service: &Service) -> Duration {
    match service.on_store_outage {
        OnStoreOutage::Hold(span) => span.0,
        OnStoreOutage::Stop => deployment.timing.authority.0,
    }
}
