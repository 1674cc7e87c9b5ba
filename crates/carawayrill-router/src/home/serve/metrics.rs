//! Metrics of the home role.

use cadence::Counted;
use cadence::Gauged;
use carawayrill_core::answer::traffic::CrossRegionTraffic;

use crate::context::Context;
use crate::home::serve::driver::State;

/// The values of monotonic counts at the last report.
#[derive(Debug, Default)]
pub(super) struct ReportedCounts {
    unmatched: u64,
}

/// Reports the state of requests and claims. Metrics that can't be sent are dropped.
pub(super) fn report(cx: &Context, state: &State, reported: &mut ReportedCounts) {
    let serving = &state.serving;
    let metrics = &cx.metrics;
    let in_flight = u64::try_from(serving.inflight().len()).unwrap_or(u64::MAX);
    let _lost = metrics.gauge("home.requests", in_flight);
    let _lost = metrics.gauge("home.waiting", u64::from(serving.waiting()));
    let _lost = metrics.gauge("home.claim_bytes", serving.claims.bytes());
    let counts = serving.inflight().unmatched();
    let unmatched = counts.not_in_flight + counts.other_token + counts.not_sent;
    let increase = unmatched - reported.unmatched;
    reported.unmatched = unmatched;
    let _lost = metrics.count("home.answers_to_nobody", increase);
}

/// Reports the bytes that crossed regions, by service and pair of regions.
pub(super) fn report_cross_region_traffic(cx: &Context, traffic: &[CrossRegionTraffic]) {
    for pair in traffic {
        cx.metrics
            .gauge_with_tags("cross_region_bytes", pair.bytes)
            .with_tag("service", pair.service.as_str())
            .with_tag("from", pair.from.as_str())
            .with_tag("to", pair.to.as_str())
            .send();
    }
}
