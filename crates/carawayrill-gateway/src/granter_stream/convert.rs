//! Converts between the wire types of the stream and the types of this crate.

use std::collections::BTreeMap;
use std::collections::HashMap;

use carawayrill_core::direct::keys::Fence;
use carawayrill_core::direct::keys::KeyRange;
use carawayrill_core::id::ServerId;
use carawayrill_core::id::ServiceId;
use carawayrill_core::id::Version;
use carawayrill_core::time::floor_to_u64;
use carawayrill_proto::granter as wire;

use crate::granter_runtime::Report;
use crate::granter_runtime::Update;
use crate::spans::SpanDelta;
use crate::spans::SpanEntry;
use crate::spans::TablePosition;

/// The position up to which a front has the changes of each service.
pub(super) type KnownPositions = BTreeMap<ServiceId, TablePosition>;

/// Encodes a report.
pub(super) fn encode_report(report: Report, known: KnownPositions) -> wire::FrontReport {
    let demand = report.demand.into_iter().map(|(service, keys)| {
        let (keys, counts) = keys
            .into_iter()
            .map(|(key, count)| (u32::from(key), count))
            .unzip();
        wire::ServiceDemand {
            service: service.as_str().to_owned(),
            keys,
            counts,
        }
    });
    let service_times = report
        .service_times
        .into_iter()
        .map(|(server, service_ms)| wire::ServerSpeed {
            server: server.as_str().to_owned(),
            service_us: u32::try_from(floor_to_u64(service_ms * 1_000.0)).unwrap_or(u32::MAX),
        });
    wire::FrontReport {
        front: report.front.into(),
        demand: demand.collect(),
        speeds: service_times.collect(),
        known: known.into_iter().map(encode_known).collect(),
        milli_cores: milli_cores(report.cores),
    }
}

fn encode_known((service, position): (ServiceId, TablePosition)) -> wire::KnownTable {
    wire::KnownTable {
        service: service.as_str().to_owned(),
        granter: position.granter.0,
        change: position.change,
    }
}

/// Decodes the positions up to which a front has the granter's changes.
pub(super) fn decode_known(report: &wire::FrontReport) -> KnownPositions {
    let known = report.known.iter().filter_map(|known| {
        let service = parse_id(ServiceId::try_from(known.service.as_str()))?;
        let position = TablePosition {
            granter: Version(known.granter),
            change: known.change,
        };
        Some((service, position))
    });
    known.collect()
}

fn milli_cores(cores: f64) -> u32 {
    u32::try_from(floor_to_u64(cores * 1_000.0)).unwrap_or(u32::MAX)
}

/// Decodes a report. Invalid parts are logged and skipped.
pub(super) fn decode_report(report: wire::FrontReport) -> Report {
    let demand = report.demand.into_iter().filter_map(|demand| {
        let service = parse_id(ServiceId::try_from(demand.service.as_str()))?;
        let keys = demand
            .keys
            .into_iter()
            .zip(demand.counts)
            .filter_map(|(key, count)| Some((u16::try_from(key).ok()?, count)))
            .collect::<BTreeMap<u16, u32>>();
        Some((service, keys))
    });
    let service_times = report.speeds.into_iter().filter_map(|speed| {
        let server = parse_id(ServerId::try_from(speed.server.as_str()))?;
        Some((server, f64::from(speed.service_us) / 1_000.0))
    });
    Report {
        front: report.front.into(),
        demand: demand.collect::<HashMap<_, _>>(),
        service_times: service_times.collect(),
        cores: f64::from(report.milli_cores) / 1_000.0,
    }
}

fn parse_id<T>(id: Result<T, carawayrill_core::Error>) -> Option<T> {
    id.map_err(|err| log::warn!("skipped part of a message with an invalid name: {err}"))
        .ok()
}

/// Encodes an update with the changes that a front does not have yet, and advances its positions.
pub(super) fn encode_update(update: &Update, known: &mut KnownPositions) -> wire::GranterUpdate {
    let mut tables = Vec::new();
    for (service, table) in &update.tables {
        if let Some(delta) = table.delta_since(known.get(service).copied()) {
            known.insert(service.clone(), delta.position);
            tables.push(encode_delta(service, &delta));
        }
    }
    wire::GranterUpdate {
        lease_version: update.lease.0,
        fronts: update.fronts,
        tables,
        strongest_milli_cores: milli_cores(update.strongest_cores),
    }
}

fn encode_delta(service: &ServiceId, delta: &SpanDelta) -> wire::SpanTable {
    let spans = delta.spans.iter().map(|span| wire::SpanRow {
        first: u32::from(span.range.first),
        last: u32::from(span.range.last),
        server: span.server.as_str().to_owned(),
        fence: span.fence.0,
        moving: span.moving,
    });
    wire::SpanTable {
        service: service.as_str().to_owned(),
        version: delta.version.0,
        spans: spans.collect(),
        granter: delta.position.granter.0,
        change: delta.position.change,
    }
}

/// An update as received by a front.
#[derive(Debug)]
pub(super) struct ReceivedUpdate {
    pub(super) lease: Version,
    pub(super) fronts: u32,
    pub(super) strongest_cores: f64,
    pub(super) deltas: Vec<(ServiceId, SpanDelta)>,
}

/// Decodes an update. Invalid parts are logged and skipped.
pub(super) fn decode_update(update: wire::GranterUpdate) -> ReceivedUpdate {
    let deltas = update.tables.into_iter().filter_map(|table| {
        let service = parse_id(ServiceId::try_from(table.service.as_str()))?;
        let delta = SpanDelta {
            version: Version(table.version),
            position: TablePosition {
                granter: Version(table.granter),
                change: table.change,
            },
            spans: table.spans.iter().filter_map(decode_span).collect(),
        };
        Some((service, delta))
    });
    ReceivedUpdate {
        lease: Version(update.lease_version),
        fronts: update.fronts,
        strongest_cores: f64::from(update.strongest_milli_cores) / 1_000.0,
        deltas: deltas.collect(),
    }
}

/// Converts an update of the granter in this process.
pub(super) fn local_update(update: &Update, known: &KnownPositions) -> ReceivedUpdate {
    let deltas = update.tables.iter().filter_map(|(service, table)| {
        let delta = table.delta_since(known.get(service).copied())?;
        Some((service.clone(), delta))
    });
    ReceivedUpdate {
        lease: update.lease,
        fronts: update.fronts,
        strongest_cores: update.strongest_cores,
        deltas: deltas.collect(),
    }
}

fn decode_span(span: &wire::SpanRow) -> Option<SpanEntry> {
    Some(SpanEntry {
        range: KeyRange {
            first: u16::try_from(span.first).ok()?,
            last: u16::try_from(span.last).ok()?,
        },
        server: parse_id(ServerId::try_from(span.server.as_str()))?,
        fence: Fence(span.fence),
        moving: span.moving,
    })
}
