//! Claims of the shards whose home this router is, as the assignments have it.

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
use crate::home::serve::desk::Job;
use crate::home::serve::desk::State;
use crate::home::serve::route::Route;

/// Returns the claim that a request needs. One that another home passes on has its claim there.
pub(super) fn ask(service: &Service, job: &Job) -> Result<Option<ClaimRequest>, RefusalReason> {
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

/// Takes in that this router is the home of a request's shard.
pub(super) fn own(state: &mut State, cx: &Context, service: &Service, job: &Job) {
    let term = job.route.token().term;
    if !state.serving.claims.is_home_in_term(&job.req.shard, term) {
        own_shard(state, cx, service, &job.req.shard, term);
    }
}

fn own_shard(state: &mut State, cx: &Context, service: &Service, shard: &ShardId, term: Term) {
    let Some(row) = cx.routes().row(shard).cloned() else {
        return;
    };
    // An assignment that has not come through the watch yet comes soon; until then requests that
    // need a claim are refused.
    let Some(origin) = origin_of(&row, &own_run(cx), term) else {
        return;
    };
    let window = service.claim_window.0;
    let serving = &mut state.serving;
    serving
        .claims
        .set_home(cx.now(), shard, term, origin, window);
    name_standby(state, cx, &row, term);
}

/// Takes in the standby home of a shard, if the assignment is the one that this router acts under.
/// While a takeover is not recorded, there is no standby home that could take over in turn.
fn name_standby(state: &mut State, cx: &Context, row: &Assignment, term: Term) {
    let appointed = row.home == cx.settings.router && row.token.term == term;
    let standby = row.standby_home.as_ref().filter(|_| appointed);
    let lineage = Lineage::of(row);
    let mirror = &mut state.serving.mirror;
    mirror.set_standby(&row.shard, standby, lineage);
}

/// Takes in the present assignments: claims of shards that have another home now are dropped, and
/// standby homes that were named anew get copies.
pub(super) fn refresh(state: &mut State, cx: &Context, authority: &dyn Authority) {
    drop_foreign(state, cx, authority);
    let Some(whole) = cx.deployment.load_full() else {
        return;
    };
    for row in own_rows(cx) {
        let (Some(service), Ok(permit)) = (
            whole.service(&row.shard.service),
            authority.permit(cx.now(), &row.shard),
        ) else {
            continue;
        };
        let term = permit.token.term;
        if state.serving.claims.is_home_in_term(&row.shard, term) {
            name_standby(state, cx, &row, term);
        } else {
            own_shard(state, cx, service, &row.shard, term);
        }
    }
}

/// Returns the stored assignments that name this router as home.
fn own_rows(cx: &Context) -> Vec<Arc<Assignment>> {
    let routes = cx.routes();
    let rows = routes.rows().filter(|row| row.home == cx.settings.router);
    rows.map(Arc::clone).collect()
}

/// Drops the claims of shards that have another home by the stored assignment. Until that is
/// stored, the claims are kept: they may have to be handed over.
fn drop_foreign(state: &mut State, cx: &Context, authority: &dyn Authority) {
    let now = cx.now();
    let foreign = |shard: &&ShardId| {
        let denied = matches!(authority.permit(now, shard), Err(Denial::NotHome { .. }));
        let routes = cx.routes();
        let row = routes.row(shard);
        denied && row.is_some_and(|row| row.home != cx.settings.router)
    };
    let homes = state.serving.claims.home_shards().filter(foreign);
    let foreign: Vec<_> = homes.cloned().collect();
    for shard in foreign {
        state.serving.claims.remove_shard(&shard);
        state.serving.mirror.remove(&shard);
        state.serving.remove_owner(&shard);
    }
}

/// Drops what this router had of a shard as its home, if it is not the home any more, so that it
/// can keep copies for the present home. Returns false if it still is.
pub(super) fn make_way(
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

fn own_run(cx: &Context) -> RouterIncarnation {
    RouterIncarnation {
        router: cx.settings.router.clone(),
        incarnation: cx.incarnation,
    }
}
