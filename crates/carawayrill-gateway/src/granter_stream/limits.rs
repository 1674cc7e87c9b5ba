//! Converts what fronts and the granter tell each other of the limits of servers.

use std::time::Duration;

use carawayrill_core::direct::incarnation::Born;
use carawayrill_core::direct::limit::ColdStatement;
use carawayrill_core::direct::limit::FrontShare;
use carawayrill_core::direct::limit::LimitReport;
use carawayrill_core::direct::limit::LimitStatement;
use carawayrill_core::direct::limit::RequestRate;
use carawayrill_core::id::ServerId;
use carawayrill_core::time::millis;
use carawayrill_proto::granter as wire;

use super::convert::parse_id;

/// Encodes a report.
pub(super) fn encode_report(report: &LimitReport) -> wire::LimitReport {
    wire::LimitReport {
        statement: Some(encode_statement(&report.statement)),
        wanted: report.wanted,
    }
}

/// Decodes a report. Invalid parts are logged and skipped.
pub(super) fn decode_report(report: &wire::LimitReport) -> Option<LimitReport> {
    Some(LimitReport {
        statement: decode_statement(report.statement.as_ref()?)?,
        wanted: report.wanted,
    })
}

fn encode_statement(statement: &LimitStatement) -> wire::LimitStatement {
    wire::LimitStatement {
        server: statement.server.as_str().to_owned(),
        born: statement.born.0,
        milli_rate: statement.limit.map(|limit| limit.0),
        age_ms: millis(statement.age),
        cold_milli_rate: statement.cold.map(|cold| cold.rate.0),
        cold_left_ms: statement.cold.map(|cold| millis(cold.left)),
    }
}

fn decode_statement(statement: &wire::LimitStatement) -> Option<LimitStatement> {
    Some(LimitStatement {
        server: parse_id(ServerId::try_from(statement.server.as_str()))?,
        born: Born(statement.born),
        limit: statement.milli_rate.map(RequestRate),
        age: Duration::from_millis(statement.age_ms),
        cold: decode_cold(statement),
    })
}

fn decode_cold(statement: &wire::LimitStatement) -> Option<ColdStatement> {
    Some(ColdStatement {
        rate: RequestRate(statement.cold_milli_rate?),
        left: Duration::from_millis(statement.cold_left_ms?),
    })
}

/// Adds the front's shares in the limits of servers.
pub(super) fn add_shares(
    update: wire::GranterUpdate,
    shares: &[FrontShare],
) -> wire::GranterUpdate {
    let limits = shares.iter().map(|share| wire::LimitShare {
        statement: Some(encode_statement(&share.statement)),
        milli_rate: share.share.0,
    });
    wire::GranterUpdate {
        limits: limits.collect(),
        ..update
    }
}

/// Decodes a share. An invalid one is logged and skipped.
pub(super) fn decode_share(share: &wire::LimitShare) -> Option<FrontShare> {
    Some(FrontShare {
        statement: decode_statement(share.statement.as_ref()?)?,
        share: RequestRate(share.milli_rate),
    })
}
