//! The heads of requests and responses as this front passes them on.

use carawayrill_core::direct::quarantine::Fingerprints;
use carawayrill_core::direct::quarantine::RequestContent;
use http::HeaderMap;
use http::Uri;
use http::header;
use http::request::Parts;

use crate::forward::peer;
use crate::port::Key;
use crate::port::RequestMetadata;

/// Headers that apply to a single connection.
const HOP_BY_HOP_HEADERS: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    // Set by the HTTP library from the body that is sent.
    "content-length",
];

/// Returns the fingerprints of a request.
pub(crate) fn fingerprints(parts: &Parts, metadata: &RequestMetadata, body: &[u8]) -> Fingerprints {
    let host = parts.headers.get(header::HOST);
    let key = match metadata.key {
        Some(Key::Valid(key)) => Some(key),
        Some(Key::Invalid) | None => None,
    };
    let content = RequestContent {
        host: host.and_then(|host| host.to_str().ok()).unwrap_or(""),
        method: parts.method.as_str(),
        path: parts.uri.path(),
        query: parts.uri.query().unwrap_or(""),
        key,
        body,
    };
    content.fingerprints()
}

/// Returns the URI with only path and query.
pub(crate) fn origin_form(uri: &Uri) -> Uri {
    uri.path_and_query()
        .map_or_else(|| Uri::from_static("/"), |path| Uri::from(path.clone()))
}

/// Copies the headers of a request that are sent to the server.
pub(crate) fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    let mut copy = end_to_end_headers(headers);
    for mark in [peer::FORWARDED, peer::SENDS, peer::COUNTED, peer::CHANGES] {
        copy.remove(mark);
    }
    copy
}

/// Copies the headers that a proxy forwards.
pub(crate) fn end_to_end_headers(headers: &HeaderMap) -> HeaderMap {
    let named: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let mut copy = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let is_hop_by_hop = HOP_BY_HOP_HEADERS.contains(&name.as_str());
        if !is_hop_by_hop && !named.iter().any(|dropped| dropped == name.as_str()) {
            copy.append(name.clone(), value.clone());
        }
    }
    copy
}
