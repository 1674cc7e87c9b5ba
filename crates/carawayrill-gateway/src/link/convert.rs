//! Between the wire types of the stream and the types of this crate.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;

use carawayrill_core::direct::keys::Fence;
use carawayrill_core::direct::keys::KeyRange;
use carawayrill_core::id::ServerId;
use carawayrill_core::id::ServiceId;
use carawayrill_core::id::Version;
use carawayrill_core::time::whole;
use carawayrill_proto::granter as wire;

use crate::granting::Report;
use crate::granting::Update;
use crate::state::SpanEntry;
use crate::state::SpanTable;

/// Writes a report.
pub(super) fn report(report: Report) -> wire::FrontReport {
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
    let speeds = report
        .speeds
        .into_iter()
        .map(|(server, service_ms)| wire::ServerSpeed {
            server: server.as_str().to_owned(),
            service_us: u32::try_from(whole(service_ms * 1_000.0)).unwrap_or(u32::MAX),
        });
    wire::FrontReport {
        front: report.front.into(),
        demand: demand.collect(),
        speeds: speeds.collect(),
    }
}

/// Reads a report; what can't be read of it is left out and logged.
pub(super) fn read_report(report: wire::FrontReport) -> Report {
    let demand = report.demand.into_iter().filter_map(|demand| {
        let service = named(ServiceId::try_from(demand.service.as_str()))?;
        let keys = demand
            .keys
            .into_iter()
            .zip(demand.counts)
            .filter_map(|(key, count)| Some((u16::try_from(key).ok()?, count)))
            .collect::<BTreeMap<u16, u32>>();
        Some((service, keys))
    });
    let speeds = report.speeds.into_iter().filter_map(|speed| {
        let server = named(ServerId::try_from(speed.server.as_str()))?;
        Some((server, f64::from(speed.service_us) / 1_000.0))
    });
    Report {
        front: report.front.into(),
        demand: demand.collect::<HashMap<_, _>>(),
        speeds: speeds.collect(),
    }
}

fn named<T>(id: Result<T, carawayrill_core::Error>) -> Option<T> {
    id.map_err(|err| log::warn!("part of a message was left out: {err}"))
        .ok()
}

/// What was sent on one stream.
#[derive(Debug, Default)]
pub(super) struct Sent {
    tables: BTreeMap<ServiceId, (u64, Arc<SpanTable>)>,
}

/// Writes an update with the spans that differ from what was sent, and notes them there.
pub(super) fn write_update(update: &Update, sent: &mut Sent) -> wire::GranterUpdate {
    let mut tables = Vec::new();
    for (service, (change, table)) in &update.tables {
        let before = sent
            .tables
            .insert(service.clone(), (*change, Arc::clone(table)));
        match before {
            Some((last, _)) if last == *change => {}
            before => tables.push(write_table(service, table, before.as_ref())),
        }
    }
    wire::GranterUpdate {
        lease_version: update.lease.0,
        fronts: update.fronts,
        tables,
        manifest_version: update.manifest,
    }
}

fn write_table(
    service: &ServiceId,
    table: &SpanTable,
    before: Option<&(u64, Arc<SpanTable>)>,
) -> wire::SpanTable {
    let known = before.map_or(&[][..], |(_, table)| &table.spans);
    let changed = table.spans.iter().filter(|span| {
        let at = known.partition_point(|known| known.range.first < span.range.first);
        known.get(at) != Some(*span)
    });
    let spans = changed.map(|span| wire::SpanRow {
        first: u32::from(span.range.first),
        last: u32::from(span.range.last),
        server: span.server.as_str().to_owned(),
        fence: span.fence.0,
        moving: span.moving,
    });
    wire::SpanTable {
        service: service.as_str().to_owned(),
        version: table.version.0,
        spans: spans.collect(),
    }
}

/// Reads an update.
pub(super) fn update(update: wire::GranterUpdate) -> Update {
    let tables = update.tables.into_iter().filter_map(|table| {
        let service = named(ServiceId::try_from(table.service.as_str()))?;
        let spans = table.spans.iter().filter_map(read_span).collect();
        let version = Version(table.version);
        Some((service, (0, Arc::new(SpanTable { version, spans }))))
    });
    Update {
        lease: Version(update.lease_version),
        fronts: update.fronts,
        manifest: update.manifest_version,
        tables: tables.collect(),
    }
}

fn read_span(span: &wire::SpanRow) -> Option<SpanEntry> {
    Some(SpanEntry {
        range: KeyRange {
            first: u16::try_from(span.first).ok()?,
            last: u16::try_from(span.last).ok()?,
        },
        server: named(ServerId::try_from(span.server.as_str()))?,
        fence: Fence(span.fence),
        moving: span.moving,
    })
}
