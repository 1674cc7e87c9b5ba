//! Converts between the wire types of the stream and the types of this crate.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use carawayrill_core::direct::egress::facts::EgressShare;
use carawayrill_core::direct::incarnation::Born;
use carawayrill_core::direct::keys::Fence;
use carawayrill_core::direct::keys::KeyRange;
use carawayrill_core::direct::knowledge::Delta;
use carawayrill_core::direct::knowledge::StorePosition;
use carawayrill_core::direct::knowledge::StoredVersion;
use carawayrill_core::direct::limit::FrontShare;
use carawayrill_core::direct::quarantine::CrashReport;
use carawayrill_core::direct::reach::Peer;
use carawayrill_core::direct::reach::PeerKey;
use carawayrill_core::id::DataCentreId;
use carawayrill_core::id::Era;
use carawayrill_core::id::Revision;
use carawayrill_core::id::ServerId;
use carawayrill_core::id::ServiceId;
use carawayrill_core::id::Version;
use carawayrill_core::time::Time;
use carawayrill_core::time::floor_to_u64;
use carawayrill_core::time::millis;
use carawayrill_proto::granter as wire;
use carawayrill_store::port::Object;

use super::crashes;
use super::egress;
use super::limits;
use super::loads;
use super::peers;
use crate::granter_runtime::LeavingServer;
use crate::granter_runtime::Report;
use crate::granter_runtime::Update;
use crate::knowledge::Knowledge;
use crate::knowledge::RelayedChanges;
use crate::peer_keys;
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
    let leaving = report
        .leaving
        .into_iter()
        .map(|leaving| wire::LeavingServer {
            server: leaving.server.as_str().to_owned(),
            born: leaving.born.0,
        });
    wire::FrontReport {
        front: report.front.into(),
        demand: demand.collect(),
        speeds: service_times.collect(),
        known: known.into_iter().map(encode_known).collect(),
        milli_cores: milli_cores(report.cores),
        kinds: Vec::new(),
        sent_ms: 0,
        leaving: leaving.collect(),
        limits: report.limits.iter().map(limits::encode_report).collect(),
        crashes: Vec::new(),
        address: report
            .peer
            .as_ref()
            .map_or_else(String::new, |peer| peer.address.to_string()),
        data_centre: report
            .peer
            .map_or_else(String::new, |peer| peer.data_centre.to_string()),
        is_cut_off: !report.serves_for_others,
        class_loads: Vec::new(),
        region_loads: loads::encode(&report.service_loads),
        proof: bytes::Bytes::new(),
    }
}

/// Adds what the front knows of the store, and when the report is sent.
pub(super) fn add_positions(
    report: wire::FrontReport,
    knowledge: &Knowledge,
    now: Time,
) -> wire::FrontReport {
    let kinds = knowledge.kinds().filter_map(|known| {
        let position = known.position()?;
        Some(wire::KnownKind {
            kind: known.kind().to_owned(),
            era: position.era.0,
            revision: position.revision.0,
        })
    });
    wire::FrontReport {
        kinds: kinds.collect(),
        sent_ms: now.0,
        ..report
    }
}

/// The positions up to which a front knows the store, by kind of object.
pub(super) type StorePositions = BTreeMap<String, StorePosition>;

/// Decodes the positions in a report.
pub(super) fn decode_positions(report: &wire::FrontReport) -> StorePositions {
    let positions = report.kinds.iter().map(|known| {
        let position = StorePosition {
            era: Era(known.era),
            revision: Revision(known.revision),
        };
        (known.kind.clone(), position)
    });
    positions.collect()
}

fn encode_known((service, position): (ServiceId, TablePosition)) -> wire::KnownTable {
    wire::KnownTable {
        service: service.as_str().to_owned(),
        granter: position.granter.version.0,
        granter_era: position.granter.era.0,
        change: position.change,
    }
}

/// Decodes the positions up to which a front has the granter's changes.
pub(super) fn decode_known(report: &wire::FrontReport) -> KnownPositions {
    let known = report.known.iter().filter_map(|known| {
        let service = parse_id(ServiceId::try_from(known.service.as_str()))?;
        let position = TablePosition {
            granter: stored_version(known.granter_era, known.granter),
            change: known.change,
        };
        Some((service, position))
    });
    known.collect()
}

fn stored_version(era: u64, version: u64) -> StoredVersion {
    StoredVersion {
        era: Era(era),
        version: Version(version),
    }
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
    let leaving = report.leaving.into_iter().filter_map(|leaving| {
        Some(LeavingServer {
            server: parse_id(ServerId::try_from(leaving.server.as_str()))?,
            born: Born(leaving.born),
        })
    });
    let limits = report.limits.iter().filter_map(limits::decode_report);
    let peer = peers::decode_peer(&report.front, &report.address, &report.data_centre);
    Report {
        data_centre: parse_data_centre(&report.data_centre),
        peer,
        serves_for_others: !report.is_cut_off,
        front: report.front.into(),
        leaving: leaving.collect(),
        limits: limits.collect(),
        demand: demand.collect::<HashMap<_, _>>(),
        service_loads: loads::decode(&report.region_loads),
        service_times: service_times.collect(),
        cores: f64::from(report.milli_cores) / 1_000.0,
    }
}

/// Decodes the data centre of a front. It is absent in all reports of a stream but the first.
fn parse_data_centre(name: &str) -> Option<DataCentreId> {
    if name.is_empty() {
        return None;
    }
    parse_id(DataCentreId::try_from(name))
}

pub(super) fn parse_id<T>(id: Result<T, carawayrill_core::Error>) -> Option<T> {
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
        lease_version: update.lease.version.0,
        lease_era: update.lease.era.0,
        fronts: update.fronts,
        tables,
        strongest_milli_cores: milli_cores(update.strongest_cores),
        kinds: Vec::new(),
        echo_ms: 0,
        limits: Vec::new(),
        crashes: Vec::new(),
        peers: None,
        peer_key: bytes::Bytes::new(),
        room: Vec::new(),
        egress: Vec::new(),
        trier: None,
    }
}

/// Encodes changes of one kind of object.
pub(super) fn encode_changes(kind: &str, relayed: RelayedChanges) -> wire::KindChanges {
    let objects = relayed
        .delta
        .objects
        .into_iter()
        .map(|object| wire::StoreObject {
            name: object.name.into(),
            version: object.version.0,
            value: object.value,
        });
    wire::KindChanges {
        kind: kind.to_owned(),
        era: relayed.delta.position.era.0,
        after: relayed.delta.after.revision.0,
        revision: relayed.delta.position.revision.0,
        objects: objects.collect(),
        age_ms: millis(relayed.age),
        retention_ms: millis(relayed.retention),
        is_complete: relayed.is_complete,
    }
}

/// The relayed changes of one kind of object as received by a front.
#[derive(Debug)]
pub(super) struct ReceivedChanges {
    pub(super) kind: String,
    pub(super) relayed: RelayedChanges,
    /// When the granter's knowledge was complete, on this front's clock.
    pub(super) confirmed: Time,
}

fn decode_changes(changes: wire::KindChanges, echo: Time) -> ReceivedChanges {
    let position = |revision| StorePosition {
        era: Era(changes.era),
        revision: Revision(revision),
    };
    let age = Duration::from_millis(changes.age_ms);
    let objects = changes.objects.into_iter().map(|object| Object {
        name: object.name.into(),
        version: Version(object.version),
        value: object.value,
    });
    ReceivedChanges {
        kind: changes.kind,
        confirmed: echo - age,
        relayed: RelayedChanges {
            delta: Delta {
                after: position(changes.after),
                position: position(changes.revision),
                objects: objects.collect(),
            },
            age,
            retention: Duration::from_millis(changes.retention_ms),
            is_complete: changes.is_complete,
        },
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
        version: delta.version.version.0,
        era: delta.version.era.0,
        spans: spans.collect(),
        granter: delta.position.granter.version.0,
        granter_era: delta.position.granter.era.0,
        change: delta.position.change,
    }
}

/// An update as received by a front.
#[derive(Debug)]
pub(super) struct ReceivedUpdate {
    pub(super) lease: StoredVersion,
    pub(super) fronts: u32,
    pub(super) strongest_cores: f64,
    pub(super) changes: Vec<ReceivedChanges>,
    pub(super) deltas: Vec<(ServiceId, SpanDelta)>,
    /// This front's shares in the limits of servers.
    pub(super) limits: Vec<FrontShare>,
    /// The requests under which servers crashed.
    pub(super) crashes: Vec<CrashReport>,
    /// The fronts that take the requests of this one if it is cut off; `None` if unchanged.
    pub(super) peers: Option<Vec<Peer>>,
    /// The key that the fronts share, and the version of the lease it is of.
    pub(super) peer_key: Option<(PeerKey, StoredVersion)>,
    /// The shares of requests that leave this region.
    pub(super) egress: Vec<EgressShare>,
    /// The front that tries requests under which servers crashed, if it is another one.
    pub(super) trier: Option<Peer>,
    /// A time before the update was made, on this front's clock.
    pub(super) echo: Time,
}

/// Decodes an update. Invalid parts are logged and skipped.
pub(super) fn decode_update(update: wire::GranterUpdate) -> ReceivedUpdate {
    let deltas = update.tables.into_iter().filter_map(|table| {
        let service = parse_id(ServiceId::try_from(table.service.as_str()))?;
        let delta = SpanDelta {
            version: stored_version(table.era, table.version),
            position: TablePosition {
                granter: stored_version(table.granter_era, table.granter),
                change: table.change,
            },
            spans: table.spans.iter().filter_map(decode_span).collect(),
        };
        Some((service, delta))
    });
    let echo = Time(update.echo_ms);
    let changes = update
        .kinds
        .into_iter()
        .map(|changes| decode_changes(changes, echo));
    ReceivedUpdate {
        lease: stored_version(update.lease_era, update.lease_version),
        changes: changes.collect(),
        fronts: update.fronts,
        strongest_cores: f64::from(update.strongest_milli_cores) / 1_000.0,
        deltas: deltas.collect(),
        limits: update
            .limits
            .iter()
            .filter_map(limits::decode_share)
            .collect(),
        crashes: crashes::decode(&update.crashes),
        egress: egress::decode(&update.egress),
        trier: update.trier.as_ref().and_then(peers::decode_one),
        echo,
        peers: update.peers.as_ref().map(peers::decode),
        peer_key: peer_keys::decode(
            &update.peer_key,
            stored_version(update.lease_era, update.lease_version),
        ),
    }
}

/// Converts an update of the granter in this process.
pub(super) fn local_update(
    update: &Update,
    known: &KnownPositions,
    limits: Vec<FrontShare>,
    peers: Option<Vec<Peer>>,
    egress: Vec<EgressShare>,
    now: Time,
) -> ReceivedUpdate {
    let deltas = update.tables.iter().filter_map(|(service, table)| {
        let delta = table.delta_since(known.get(service).copied())?;
        Some((service.clone(), delta))
    });
    ReceivedUpdate {
        lease: update.lease,
        changes: Vec::new(),
        fronts: update.fronts,
        strongest_cores: update.strongest_cores,
        deltas: deltas.collect(),
        limits,
        crashes: Vec::new(),
        peers,
        // The granter has it from its own lease.
        peer_key: None,
        egress,
        trier: None,
        echo: now,
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
