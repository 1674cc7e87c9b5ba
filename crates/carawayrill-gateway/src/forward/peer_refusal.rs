//! How a front refuses a request that another front has passed on to it.

use std::time::Duration;

use http::HeaderName;
use http::HeaderValue;
use http::StatusCode;

use super::Reply;
use super::peer::SENDS;
use crate::upstream::ServerResponse;

/// Marks the refusal of a request by a front that is cut off as well, or stops. The front that has
/// passed it on asks a further one.
const CUT_OFF: HeaderName = HeaderName::from_static("carawayrill-cut-off");

/// What a front has done with a request before it refuses it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct PeerRefusal {
    /// The sends after which a server may have received the request. Older builds don't name them.
    pub(crate) sends: u32,
    /// Whether a server may have run the request.
    pub(crate) may_have_run: bool,
}

impl PeerRefusal {
    /// The refusal of a request that was not sent to a server.
    pub(crate) const UNSENT: Self = Self {
        sends: 0,
        may_have_run: false,
    };

    /// Returns the reply to the front that has passed the request on. As for callers, only a status
    /// that says so means that the request has not run.
    pub(crate) fn into_reply(self, reason: &'static str, retry_after: Duration) -> Reply {
        let mut reply = if self.may_have_run {
            Reply::local(StatusCode::BAD_GATEWAY, reason, None)
        } else {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            Reply::local(status, reason, Some(retry_after))
        };
        reply.headers.insert(CUT_OFF, HeaderValue::from_static("1"));
        reply.headers.insert(SENDS, HeaderValue::from(self.sends));
        reply
    }

    /// Returns the refusal of another front, if its response is one.
    pub(super) fn parse(response: &ServerResponse) -> Option<Self> {
        response.headers.get(CUT_OFF)?;
        let sends = response.headers.get(SENDS);
        let sends = sends.and_then(|value| value.to_str().ok()?.parse().ok());
        Some(Self {
            sends: sends.unwrap_or(0),
            may_have_run: response.status != StatusCode::SERVICE_UNAVAILABLE,
        })
    }
}
