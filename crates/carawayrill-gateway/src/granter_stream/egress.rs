//! Converts the shares of requests that leave their region.

use carawayrill_core::direct::egress::facts::EgressShare;
use carawayrill_core::direct::egress::facts::MAX_SHARES;
use carawayrill_core::id::RegionId;
use carawayrill_core::id::ServiceId;
use carawayrill_core::time::floor_to_u64;
use carawayrill_proto::granter as wire;

use super::convert::parse_id;

/// The share of all requests, in thousandths.
const WHOLE: u32 = 1_000;

/// Encodes shares.
pub(super) fn encode(shares: &[EgressShare]) -> Vec<wire::EgressShare> {
    let shares = shares.iter().map(|share| wire::EgressShare {
        service: share.service.as_str().to_owned(),
        region: share.region.as_str().to_owned(),
        milli_share: u32::try_from(floor_to_u64(share.share * f64::from(WHOLE))).unwrap_or(WHOLE),
        link_full: share.link_full,
        region_full: share.region_full,
    });
    shares.collect()
}

/// Decodes shares. Invalid parts are logged and skipped.
pub(super) fn decode(shares: &[wire::EgressShare]) -> Vec<EgressShare> {
    let shares = shares.iter().take(MAX_SHARES).filter_map(|share| {
        Some(EgressShare {
            service: parse_id(ServiceId::try_from(share.service.as_str()))?,
            region: parse_id(RegionId::try_from(share.region.as_str()))?,
            share: f64::from(share.milli_share.min(WHOLE)) / f64::from(WHOLE),
            link_full: share.link_full,
            region_full: share.region_full,
        })
    });
    shares.collect()
}
