//! Converts what fronts report of the requests of each service.

use std::collections::HashMap;

use carawayrill_core::direct::service_load::ServiceLoad;
use carawayrill_core::id::ServiceId;
use carawayrill_proto::granter as wire;

use super::convert::parse_id;

/// Encodes the requests of each service.
pub(super) fn encode(loads: &HashMap<ServiceId, ServiceLoad>) -> Vec<wire::RegionLoad> {
    let loads = loads.iter().map(|(service, load)| wire::RegionLoad {
        service: service.as_str().to_owned(),
        offered: load.offered,
        with_homes: load.with_homes,
        sent_away: load.sent_away,
        bytes: load.bytes,
        responses: load.responses,
    });
    loads.collect()
}

/// Decodes the requests of each service. Invalid parts are logged and skipped.
pub(super) fn decode(loads: &[wire::RegionLoad]) -> HashMap<ServiceId, ServiceLoad> {
    let loads = loads.iter().filter_map(|load| {
        let service = parse_id(ServiceId::try_from(load.service.as_str()))?;
        let load = ServiceLoad {
            offered: load.offered,
            with_homes: load.with_homes,
            sent_away: load.sent_away,
            bytes: load.bytes,
            responses: load.responses,
        };
        Some((service, load))
    });
    loads.collect()
}
