//! Keeps whether a request may have run, by what is known of each of its sends.

use http::StatusCode;

/// Returns whether a status tells a caller that its request has not run and never will.
pub(super) fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// Returns whether a status tells a caller that nobody knows what became of its request.
pub(super) fn is_unknown(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::BAD_GATEWAY | StatusCode::GATEWAY_TIMEOUT
    )
}

/// The sends of one request for which it is not proved that the receiver has not run it.
///
/// Each send counts from before its first byte is written until there is such a proof for this very
/// send. No other outcome takes it back, so that a reply may say "not run" exactly if
/// [`SendLedger::may_have_run`] returns `false`, at whatever moment the request ends.
#[derive(Debug, Default)]
pub(super) struct SendLedger {
    begun: u32,
    /// The numbers of the sends without a proof.
    unproven: Vec<u32>,
}

/// One send of a request. Dropping it leaves the send as one that may have run the request.
#[derive(Debug)]
pub(super) struct UnprovenSend {
    number: u32,
}

impl SendLedger {
    /// Records that a send begins.
    pub(super) fn begin(&mut self) -> UnprovenSend {
        self.begun += 1;
        self.unproven.push(self.begun);
        UnprovenSend { number: self.begun }
    }

    /// Returns whether a server may have run the request, or may still do so.
    pub(super) fn may_have_run(&self) -> bool {
        !self.unproven.is_empty()
    }

    /// Returns the number of sends that may have run the request.
    pub(super) fn unproven(&self) -> usize {
        self.unproven.len()
    }
}

impl UnprovenSend {
    /// Records that the receiver has not run the request and never will.
    pub(super) fn prove_not_run(self, sends: &mut SendLedger) {
        sends.unproven.retain(|number| *number != self.number);
    }
}
