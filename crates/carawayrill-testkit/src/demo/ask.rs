//! One request of a caller, and the check of its answer.

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

/// The time limit of a request.
const LIMIT: Duration = Duration::from_secs(2);

/// A request to one service for one key.
#[derive(Debug, Clone)]
pub struct Question {
    /// The service.
    pub service: ServiceId,
    key: String,
    method: Method,
    path: String,
    header: Option<(String, String)>,
}

/// The answer, checked to be whole and to this request.
#[derive(Debug, Clone)]
pub struct Reply {
    server: String,
    token: String,
    request: String,
}

impl Question {
    /// Makes a request for `key` in the way that the service's callers send it.
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

/// Sends a request to a router and checks its answer.
///
/// # Errors
///
/// Fails if there is no answer, the answer is a refusal, or it is not the answer to this request.
pub async fn ask(entry: &RouterEndpoints, question: &Question) -> Result<Reply, Error> {
    let url = format!("http://{}{}", entry.http, question.path);
    let mut call = reqwest::Client::new()
        .request(question.method.clone(), url)
        .header("x-carawayrill-deadline-ms", LIMIT.as_millis().to_string())
        .timeout(LIMIT * 2);
    if let Some((name, value)) = &question.header {
        call = call.header(name, value);
    }
    if question.method == Method::POST {
        call = call.header("idempotency-key", format!("demo-{}", question.key));
    }
    let response = call.send().await?;
    let status = response.status();
    let headers = response.headers().clone();
    let body = response.text().await?;
    if !status.is_success() {
        return Err(format!("{status}: {body}").into());
    }
    check(question, &headers, &body)
}

fn check(question: &Question, headers: &HeaderMap, body: &str) -> Result<Reply, Error> {
    let read = |name: &str| header(headers, name);
    if read("x-carawayrill-outcome")? != "done" {
        return Err(format!("the outcome is {}", read("x-carawayrill-outcome")?).into());
    }
    let reply = Reply {
        server: read("x-carawayrill-server")?,
        token: read("x-carawayrill-token")?,
        request: read("x-carawayrill-request")?,
    };
    let answer: serde_json::Value = serde_json::from_str(body)?;
    let matches = |field: &str, value: &str| answer[field].as_str() == Some(value);
    let right = matches("request", &reply.request)
        && matches("server", &reply.server)
        && matches("service", question.service.as_str());
    if right {
        Ok(reply)
    } else {
        Err(format!("a wrong answer: {body}").into())
    }
}

fn header(headers: &HeaderMap, name: &str) -> Result<String, Error> {
    let value = headers
        .get(name)
        .ok_or_else(|| format!("the answer has no {name}"))?;
    Ok(value.to_str()?.to_owned())
}

impl fmt::Display for Reply {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "answered by {} under token {} (request {})",
            self.server, self.token, self.request
        )
    }
}
