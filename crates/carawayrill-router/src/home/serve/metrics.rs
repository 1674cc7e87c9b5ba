//! Metrics of the home role.

use cadence::Counted;
use cadence::Gauged;
use carawayrill_core::answer::traffic::CrossRegionTraffic;

use crate::context::Context;
use crate::home::serve::desk::State;

/// What was reported of counts that only rise.
#[derive(Debug, Default)]
pub(super) struct Reported {
    unmatched: u64,
}

/// Reports what the desk holds. Metrics that can't be sent are lost.
pub(super) fn report(cx: &Context, state: &State, reported: &mut Reported) {
    let serving = &state.serving;
    let metrics = &cx.metrics;
    let in_flight = u64::try_from(serving.inflight().len()).unwrap_or(u64::MAX);
    let _lost = metrics.gauge("home.requests", in_flight);
    let _lost = metrics.gauge("home.waiting", u64::from(serving.waiting()));
    let _lost = metrics.gauge("home.claim_bytes", serving.claims.bytes());
    let counts = serving.inflight().unmatched();
    let unmatched = counts.not_in_flight + counts.other_token + counts.not_sent;
    let news = unmatched - reported.unmatched;
    reported.unmatched = unmatched;
    let _lost = metrics.count("home.answers_to_nobody", news);
}

/// Reports the bytes that crossed regions, by service and pair of regions.
pub(super) fn report_crossings(cx: &Context, crossings: &[CrossRegionTraffic]) {
    for crossing in crossings {
        cx.metrics
            .gauge_with_tags("cross_region_bytes", crossing.bytes)
            .with_tag("service", crossing.service.as_str())
            .with_tag("from", crossing.from.as_str())
            .with_tag("to", crossing.to.as_str())
            .send();
    }
}
