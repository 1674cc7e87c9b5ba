//! Keeps the claim table in step with the assignments: which shards have their home here, and which
//! standby homes get copies.

use std::sync::Arc;

use carawayrill_config::deployment::Service;
use carawayrill_core::answer::claims::ClaimKey;
use carawayrill_core::answer::claims::Fingerprint;
use carawayrill_core::answer::claims::IdempotencyKey;
use carawayrill_core::answer::claims::Lineage;
use carawayrill_core::answer::claims::origin_of;
use carawayrill_core::answer::refusal::RefusalReason;
use carawayrill_core::answer::serving::ClaimRequest;
use carawayrill_core::assignment::Assignment;
use carawayrill_core::id::ShardId;
use carawayrill_core::ownership::evidence::RouterIncarnation;
use carawayrill_core::ownership::home::Denial;
use carawayrill_core::token::Term;

use crate::context::Context;
use crate::home::serve::authority::Authority;
use crate::home::serve::driver::Job;
use crate::home::serve::driver::State;
use crate::home::serve::route::Route;

/// Returns the claim that a request needs; `None` if it has no idempotency key, or if another home
/// has forwarded it, which then holds the claim.
pub(super) fn claim_request(
    service: &Service,
    job: &Job,
) -> Result<Option<ClaimRequest>, RefusalReason> {
    let (Route::Home(_), Some(key)) = (&job.route, &job.req.idempotency_key) else {
        return Ok(None);
    };
    let req = &job.req;
    let idempotency =
        IdempotencyKey::try_from(key.as_str()).map_err(|_err| RefusalReason::BadRequest)?;
    Ok(Some(ClaimRequest {
        key: ClaimKey {
            shard: req.shard.clone(),
            key: req.key,
            idempotency,
        },
        fingerprint: Fingerprint::of(req.method.as_str(), &req.path_and_query, &req.body),
        window: service.claim_window.0,
    }))
}

/// Makes the claim table treat this router as the home of a request's shard, in the term of its
/// route.
pub(super) fn ensure_home_shard(state: &mut State, cx: &Context, service: &Service, job: &Job) {
    let term = job.route.token().term;
    if !state.serving.claims.is_home_in_term(&job.req.shard, term) {
        set_home_shard(state, cx, service, &job.req.shard, term);
    }
}

fn set_home_shard(state: &mut State, cx: &Context, service: &Service, shard: &ShardId, term: Term) {
    let Some(row) = cx.routes().row(shard).cloned() else {
        return;
    };
    // Until the watch delivers the assignment of this term, requests that need a claim are refused.
    let Some(origin) = origin_of(&row, &own_incarnation(cx), term) else {
        return;
    };
    let window = service.claim_window.0;
    let serving = &mut state.serving;
    serving
        .claims
        .set_home(cx.now(), shard, term, origin, window);
    update_standby(state, cx, &row, term);
}

/// Sets the standby home of a shard, if the assignment is the one that this router acts under.
/// Otherwise a takeover is not stored yet, and no standby home could take over from this router.
fn update_standby(state: &mut State, cx: &Context, row: &Assignment, term: Term) {
    let is_stored_home = row.home == cx.settings.router && row.token.term == term;
    let standby = row.standby_home.as_ref().filter(|_| is_stored_home);
    let lineage = Lineage::of(row);
    let mirror = &mut state.serving.mirror;
    mirror.set_standby(&row.shard, standby, lineage);
}

/// Applies the current assignments: drops claims of shards that have another home now, and updates
/// the standby homes that get copies.
pub(super) fn refresh(state: &mut State, cx: &Context, authority: &dyn Authority) {
    remove_other_homes_shards(state, cx, authority);
    let Some(deployment) = cx.deployment.load_full() else {
        return;
    };
    for row in own_assignments(cx) {
        let (Some(service), Ok(permit)) = (
            deployment.service(&row.shard.service),
            authority.permit(cx.now(), &row.shard),
        ) else {
            continue;
        };
        let term = permit.token.term;
        if state.serving.claims.is_home_in_term(&row.shard, term) {
            update_standby(state, cx, &row, term);
        } else {
            set_home_shard(state, cx, service, &row.shard, term);
        }
    }
}

/// Returns the stored assignments that name this router as home.
fn own_assignments(cx: &Context) -> Vec<Arc<Assignment>> {
    let routes = cx.routes();
    let rows = routes.rows().filter(|row| row.home == cx.settings.router);
    rows.map(Arc::clone).collect()
}

/// Drops the claims of shards that have another home in the stored assignment. Until such an
/// assignment is stored the claims are kept, as they may have to be handed over.
fn remove_other_homes_shards(state: &mut State, cx: &Context, authority: &dyn Authority) {
    let now = cx.now();
    let moved = |shard: &&ShardId| {
        let denied = matches!(authority.permit(now, shard), Err(Denial::NotHome { .. }));
        let routes = cx.routes();
        let row = routes.row(shard);
        denied && row.is_some_and(|row| row.home != cx.settings.router)
    };
    let homes = state.serving.claims.home_shards().filter(moved);
    let moved: Vec<_> = homes.cloned().collect();
    for shard in moved {
        state.serving.claims.remove_shard(&shard);
        state.serving.mirror.remove(&shard);
        state.serving.remove_owner(&shard);
    }
}

/// Drops the claims that this router held as the home of a shard, so that it can store copies for
/// the current home. Returns false, and drops nothing, if this router may still be the home.
pub(super) fn drop_former_home(
    state: &mut State,
    cx: &Context,
    authority: &dyn Authority,
    shard: &ShardId,
) -> bool {
    match authority.permit(cx.now(), shard) {
        Err(Denial::NotHome { .. }) => {}
        _ => return false,
    }
    if state.serving.claims.is_home(shard) {
        state.serving.claims.remove_shard(shard);
        state.serving.mirror.remove(shard);
    }
    true
}

fn own_incarnation(cx: &Context) -> RouterIncarnation {
    RouterIncarnation {
        router: cx.settings.router.clone(),
        incarnation: cx.incarnation,
    }
}
