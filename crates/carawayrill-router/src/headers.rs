//! Selects the end-to-end headers, which are forwarded.

use http::HeaderMap;
use http::HeaderName;

/// Headers that apply to one connection (RFC 9110, section 7.6.1), and headers that the HTTP
/// library sets itself.
const HOP_BY_HOP_HEADERS: &[&str] = &[
    "connection",
    "content-length",
    "expect",
    "host",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// The prefix of the system's own headers. They are never forwarded, so that callers can't forge
/// them.
const RESERVED_PREFIX: &str = "x-carawayrill-";

/// Returns the headers that are forwarded.
#[must_use]
pub fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let connection_options = connection_named(headers);
    let is_end_to_end = |name: &HeaderName| {
        let text = name.as_str();
        !HOP_BY_HOP_HEADERS.contains(&text)
            && !text.starts_with(RESERVED_PREFIX)
            && !connection_options.contains(name)
    };
    let pairs = headers.iter().filter(|(name, _)| is_end_to_end(name));
    pairs
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}

/// Returns the names listed in the `connection` header, which are hop-by-hop too.
fn connection_named(headers: &HeaderMap) -> Vec<HeaderName> {
    headers
        .get_all(http::header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|list| list.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect()
}
