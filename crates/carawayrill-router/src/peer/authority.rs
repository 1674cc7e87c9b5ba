//! Conversions between core types and wire types for queries about authority: releases and
//! promises.

use carawayrill_core::Error;
use carawayrill_core::ownership::evidence::AssignmentRef;
use carawayrill_core::ownership::evidence::ReleaseStatus;
use carawayrill_core::ownership::evidence::StandbyStatus;
use carawayrill_proto::wire;

use crate::context::Context;
use crate::peer::convert;

/// Converts the assignments that a query is about from their wire type.
///
/// # Errors
///
/// Fails if an identifier is malformed or the two lists differ in length.
pub fn assignment_refs_from_wire(
    shards: &[String],
    tokens: &[String],
) -> Result<Vec<AssignmentRef>, Error> {
    if shards.len() != tokens.len() {
        let found = format!("{} shards, {} tokens", shards.len(), tokens.len());
        return Err(Error::syntax("Claimed", &found, "one token a shard"));
    }
    let rows = shards.iter().zip(tokens);
    rows.map(|(shard, token)| {
        Ok(AssignmentRef {
            shard: shard.parse()?,
            token: token.parse()?,
        })
    })
    .collect()
}

/// Creates a query whether a standby home has acted under its reserved term, which asks for no
/// promise.
#[must_use]
pub fn standby_query(cx: &Context, rows: &[AssignmentRef]) -> wire::PromiseRequest {
    wire::PromiseRequest {
        stamp: convert::stamp(),
        from: cx.settings.router.to_string(),
        shards: rows.iter().map(|row| row.shard.to_string()).collect(),
        tokens: rows.iter().map(|row| row.token.to_string()).collect(),
        ask_only: true,
    }
}

/// Converts the answers of a standby home to their wire type.
#[must_use]
pub fn standby_statuses_to_wire(rows: Vec<StandbyStatus>) -> Vec<wire::Promised> {
    rows.into_iter()
        .map(|row| wire::Promised {
            shard: row.claimed.shard.to_string(),
            promised: row.promised,
            token: row.claimed.token.to_string(),
            acted: row.acted,
        })
        .collect()
}

/// Converts the answers of a standby home from their wire type.
///
/// # Errors
///
/// Fails if an identifier is malformed.
pub fn standby_statuses_from_wire(reply: wire::PromiseReply) -> Result<Vec<StandbyStatus>, Error> {
    let rows = reply.promised.into_iter().map(|row| {
        Ok(StandbyStatus {
            claimed: AssignmentRef {
                shard: row.shard.parse()?,
                token: row.token.parse()?,
            },
            acted: row.acted,
            promised: row.promised,
        })
    });
    rows.collect()
}

/// Converts the answers of a home to their wire type.
#[must_use]
pub fn release_statuses_to_wire(rows: Vec<ReleaseStatus>) -> Vec<wire::Released> {
    rows.into_iter()
        .map(|row| wire::Released {
            shard: row.claimed.shard.to_string(),
            stopped: row.stopped,
            highest: row.highest.to_string(),
            server: row
                .server
                .map(|server| server.to_string())
                .unwrap_or_default(),
            revoked: row.revoked,
            grant_left_ms: row.grant_left,
            pledged: row.pledged,
            token: row.claimed.token.to_string(),
        })
        .collect()
}
