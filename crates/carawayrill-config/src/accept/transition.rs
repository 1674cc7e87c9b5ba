//! Checks of the changes from one generation to the next.
//!
//! Processes adopt a generation at different times, so that two successive ones are in use at the
//! same time. A change is refused if a key could get two owners while some processes route by the
//! old generation and others wait, before a takeover, by the new one, or the other way round.

use std::time::Duration;

use crate::LoadedDeployment;
use crate::Problem;
use crate::deployment::Deployment;
use crate::deployment::OnStoreOutage;
use crate::deployment::Service;

/// Returns whether a home keeps its authority without the store, or a takeover waits, for a
/// different time by `after` than by `before`.
///
/// Such a change is safe only once every process has the generation of `before` in force, which
/// can't be seen from the store alone.
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

/// Returns a problem for each change from `before` to `after` that is refused.
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

/// Refuses changes of fields that are fixed for the life of a service, because the stored
/// assignments depend on them.
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
                "found `{new_value}`, expected `{old_value}` as in force: the setting is fixed for \
                 the life of a service; declare a new service and move the callers to it"
            );
            problems.push(Problem::new(&after.origin(&path), path, text));
        }
    }
}

/// Refuses a change after which a home may keep its authority, by either generation, for longer
/// than a takeover waits by either.
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
            "found `{}`, in force is `{}`: while both are in use, a home could keep its authority \
             for longer than a takeover waits, and a key could get a second owner; set the shorter \
             time in the overlay of each data centre, wait until that is in force everywhere, then \
             change either the base file or the overlays, one at a time",
            outage_policy_text(&after.deployment, new),
            outage_policy_text(before, old)
        );
        problems.push(Problem::new(&after.origin(&path), path, text));
    }
}

/// Returns how long a version check gives authority over a service at each data centre.
fn site_validities<'a>(
    deployment: &'a Deployment,
    service: &'a Service,
) -> impl Iterator<Item = Duration> + 'a {
    let sites = deployment.data_centres.iter();
    let at_sites = sites.filter_map(|dc| deployment.service_at(&service.id, &dc.id));
    at_sites.map(|service| validity(deployment, service))
}

/// Formats what a home does by the base file while the store is unreachable.
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
