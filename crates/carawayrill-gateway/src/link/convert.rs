//! Between the wire types of the stream and the types of this crate.

use std::collections::BTreeMap;
use std::collections::HashMap;

use carawayrill_core::direct::keys::Fence;
use carawayrill_core::direct::keys::KeyRange;
use carawayrill_core::id::ServerId;
use carawayrill_core::id::ServiceId;
use carawayrill_core::id::Version;
use carawayrill_core::time::floor_to_u64;
use carawayrill_proto::granter as wire;

use crate::granting::Report;
use crate::granting::Update;
use crate::spans::SpanEntry;
use crate::spans::SpanNews;
use crate::spans::Told;

/// Up to where a front was told of each service.
pub(super) type Known = BTreeMap<ServiceId, Told>;

/// Writes a report.
pub(super) fn report(report: Report, known: Known) -> wire::FrontReport {
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
            service_us: u32::try_from(floor_to_u64(service_ms * 1_000.0)).unwrap_or(u32::MAX),
        });
    wire::FrontReport {
        front: report.front.into(),
        demand: demand.collect(),
        speeds: speeds.collect(),
        known: known.into_iter().map(write_known).collect(),
        milli_cores: milli(report.cores),
    }
}

fn write_known((service, told): (ServiceId, Told)) -> wire::KnownTable {
    wire::KnownTable {
        service: service.as_str().to_owned(),
        granter: told.granter.0,
        change: told.change,
    }
}

/// Reads up to where a front was told.
pub(super) fn read_known(report: &wire::FrontReport) -> Known {
    let known = report.known.iter().filter_map(|known| {
        let service = named(ServiceId::try_from(known.service.as_str()))?;
        let told = Told {
            granter: Version(known.granter),
            change: known.change,
        };
        Some((service, told))
    });
    known.collect()
}

fn milli(cores: f64) -> u32 {
    u32::try_from(floor_to_u64(cores * 1_000.0)).unwrap_or(u32::MAX)
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
        cores: f64::from(report.milli_cores) / 1_000.0,
    }
}

fn named<T>(id: Result<T, carawayrill_core::Error>) -> Option<T> {
    id.map_err(|err| log::warn!("part of a message was left out: {err}"))
        .ok()
}

/// Writes an update with what a front was not told yet, and notes that as told.
pub(super) fn write_update(update: &Update, known: &mut Known) -> wire::GranterUpdate {
    let mut tables = Vec::new();
    for (service, table) in &update.tables {
        if let Some(news) = table.since(known.get(service).copied()) {
            known.insert(service.clone(), news.told);
            tables.push(write_news(service, &news));
        }
    }
    wire::GranterUpdate {
        lease_version: update.lease.0,
        fronts: update.fronts,
        tables,
        strongest_milli_cores: milli(update.strongest),
    }
}

fn write_news(service: &ServiceId, news: &SpanNews) -> wire::SpanTable {
    let spans = news.spans.iter().map(|span| wire::SpanRow {
        first: u32::from(span.range.first),
        last: u32::from(span.range.last),
        server: span.server.as_str().to_owned(),
        fence: span.fence.0,
        moving: span.moving,
    });
    wire::SpanTable {
        service: service.as_str().to_owned(),
        version: news.version.0,
        spans: spans.collect(),
        granter: news.told.granter.0,
        change: news.told.change,
    }
}

/// An update as a front gets it.
#[derive(Debug)]
pub(super) struct Heard {
    pub(super) lease: Version,
    pub(super) fronts: u32,
    pub(super) strongest: f64,
    pub(super) news: Vec<(ServiceId, SpanNews)>,
}

/// Reads an update; what can't be read of it is left out and logged.
pub(super) fn update(update: wire::GranterUpdate) -> Heard {
    let news = update.tables.into_iter().filter_map(|table| {
        let service = named(ServiceId::try_from(table.service.as_str()))?;
        let news = SpanNews {
            version: Version(table.version),
            told: Told {
                granter: Version(table.granter),
                change: table.change,
            },
            spans: table.spans.iter().filter_map(read_span).collect(),
        };
        Some((service, news))
    });
    Heard {
        lease: Version(update.lease_version),
        fronts: update.fronts,
        strongest: f64::from(update.strongest_milli_cores) / 1_000.0,
        news: news.collect(),
    }
}

/// Returns what this process's own granter tells, as a front gets it.
pub(super) fn own_update(update: &Update, known: &Known) -> Heard {
    let news = update.tables.iter().filter_map(|(service, table)| {
        let news = table.since(known.get(service).copied())?;
        Some((service.clone(), news))
    });
    Heard {
        lease: update.lease,
        fronts: update.fronts,
        strongest: update.strongest,
        news: news.collect(),
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
