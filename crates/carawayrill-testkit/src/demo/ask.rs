//! Sends one request as a client does and checks its response.

use std::fmt;
use std::time::Duration;

use carawayrill_config::deployment::KeySource;
use carawayrill_config::deployment::Repeat;
use carawayrill_config::deployment::Service;
use carawayrill_core::id::KeyHash;
use carawayrill_core::id::ServiceId;
use http::HeaderMap;
use http::Method;

use crate::fleet::Error;
use crate::fleet::RouterEndpoints;

/// Deadline of a request. The client waits twice as long.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// A request to one service for one key.
#[derive(Debug, Clone)]
pub struct DemoRequest {
    /// Service that the request is for.
    pub service: ServiceId,
    key: String,
    method: Method,
    path: String,
    header: Option<(String, String)>,
}

/// A response that is complete and belongs to its request.
#[derive(Debug, Clone)]
pub struct CheckedResponse {
    server: String,
    token: String,
    request: String,
}

impl DemoRequest {
    /// Creates a request for `key` as clients of the service send it.
    #[must_use]
    pub fn new(service: &Service, key: &str) -> Self {
        let id = &service.id;
        let (path, header) = match &service.key {
            KeySource::Header(name) => (
                format!("/{id}/item"),
                Some((name.to_string(), key.to_owned())),
            ),
            KeySource::Query(name) => (format!("/{id}/item?{name}={key}"), None),
            KeySource::Path(index) => {
                let padding = "x/".repeat(*index as usize);
                (format!("/{id}/{padding}{key}"), None)
            }
        };
        let method = if service.repeat == Repeat::Never {
            Method::POST
        } else {
            Method::GET
        };
        Self {
            service: id.clone(),
            key: key.to_owned(),
            method,
            path,
            header,
        }
    }

    /// Returns the hash of the key.
    #[must_use]
    pub fn key_hash(&self) -> KeyHash {
        KeyHash::of(self.key.as_bytes())
    }
}

/// Sends a request to a router and checks its response.
///
/// # Errors
///
/// Fails if there is no response, the request is refused, or the response belongs to another
/// request.
pub async fn send(
    entry: &RouterEndpoints,
    request: &DemoRequest,
) -> Result<CheckedResponse, Error> {
    let url = format!("http://{}{}", entry.http, request.path);
    let mut call = reqwest::Client::new()
        .request(request.method.clone(), url)
        .header(
            "x-carawayrill-deadline-ms",
            REQUEST_TIMEOUT.as_millis().to_string(),
        )
        .timeout(REQUEST_TIMEOUT * 2);
    if let Some((name, value)) = &request.header {
        call = call.header(name, value);
    }
    if request.method == Method::POST {
        call = call.header("idempotency-key", format!("demo-{}", request.key));
    }
    let response = call.send().await?;
    let status = response.status();
    let headers = response.headers().clone();
    let body = response.text().await?;
    if !status.is_success() {
        return Err(format!("{status}: {body}").into());
    }
    check(request, &headers, &body)
}

fn check(request: &DemoRequest, headers: &HeaderMap, body: &str) -> Result<CheckedResponse, Error> {
    let read = |name: &str| header(headers, name);
    if read("x-carawayrill-outcome")? != "done" {
        return Err(format!(
            "the outcome is `{}`, expected `done`",
            read("x-carawayrill-outcome")?
        )
        .into());
    }
    let checked = CheckedResponse {
        server: read("x-carawayrill-server")?,
        token: read("x-carawayrill-token")?,
        request: read("x-carawayrill-request")?,
    };
    let parsed: serde_json::Value = serde_json::from_str(body)?;
    let matches = |field: &str, value: &str| parsed[field].as_str() == Some(value);
    let is_expected = matches("request", &checked.request)
        && matches("server", &checked.server)
        && matches("service", request.service.as_str());
    if is_expected {
        Ok(checked)
    } else {
        Err(format!("the response does not match the request: {body}").into())
    }
}

fn header(headers: &HeaderMap, name: &str) -> Result<String, Error> {
    let value = headers
        .get(name)
        .ok_or_else(|| format!("the response has no header `{name}`"))?;
    Ok(value.to_str()?.to_owned())
}

impl fmt::Display for CheckedResponse {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "answered by {} under token {} (request {})",
            self.server, self.token, self.request
        )
    }
}
