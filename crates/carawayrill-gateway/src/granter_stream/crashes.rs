//! Converts what fronts and the granter tell each other of requests under which servers crashed.

use std::time::Duration;

use carawayrill_core::direct::incarnation::Born;
use carawayrill_core::direct::quarantine::CrashReport;
use carawayrill_core::direct::quarantine::Fingerprint;
use carawayrill_core::direct::quarantine::ReportedCrash;
use carawayrill_core::id::ServerId;
use carawayrill_core::time::millis;
use carawayrill_proto::granter as wire;

use super::convert::parse_id;

/// Encodes reports.
pub(super) fn encode(reports: &[CrashReport]) -> Vec<wire::RequestCrashes> {
    reports.iter().map(encode_report).collect()
}

/// Decodes reports. Invalid parts are logged and skipped.
pub(super) fn decode(reports: &[wire::RequestCrashes]) -> Vec<CrashReport> {
    reports.iter().map(decode_report).collect()
}

fn encode_report(report: &CrashReport) -> wire::RequestCrashes {
    let crashes = report.crashes.iter().map(|crash| wire::ServerCrash {
        server: crash.server.as_str().to_owned(),
        born: crash.born.0,
        sent_age_ms: millis(crash.sent_age),
        ended_age_ms: millis(crash.ended_age),
    });
    wire::RequestCrashes {
        fingerprint: report.fingerprint.0,
        crashes: crashes.collect(),
        served_age_ms: report.served_age.map(millis),
    }
}

fn decode_report(report: &wire::RequestCrashes) -> CrashReport {
    CrashReport {
        fingerprint: Fingerprint(report.fingerprint),
        crashes: report.crashes.iter().filter_map(decode_crash).collect(),
        served_age: report.served_age_ms.map(Duration::from_millis),
    }
}

fn decode_crash(crash: &wire::ServerCrash) -> Option<ReportedCrash> {
    Some(ReportedCrash {
        server: parse_id(ServerId::try_from(crash.server.as_str()))?,
        born: Born(crash.born),
        sent_age: Duration::from_millis(crash.sent_age_ms),
        ended_age: Duration::from_millis(crash.ended_age_ms),
    })
}
