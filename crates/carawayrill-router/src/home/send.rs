//! One exchange with a server.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use carawayrill_core::answer::refusal::Refusal;
use carawayrill_core::answer::refusal::RefusalReason;
use carawayrill_core::answer::refusal::ServerRefusal;
use carawayrill_core::id::ServerId;
use carawayrill_core::outcome::Outcome;
use carawayrill_core::time::millis;
use carawayrill_core::token::Token;
use http::HeaderMap;

use crate::headers;
use crate::message::Answer;
use crate::message::Request;

/// The header that a server sets on a request that it has not run.
const REFUSED_HEADER: &str = "x-carawayrill-refused";
/// The header that names a request.
const REQUEST_HEADER: &str = "x-carawayrill-request";
/// The longest answer of a server, in bytes.
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// Where a request goes, and under which authority.
#[derive(Debug, Clone)]
pub struct Target {
    /// The server.
    pub server: ServerId,
    /// Its address.
    pub address: SocketAddr,
    /// The token of its grant.
    pub token: Token,
}

/// Sends a request to a server and reads its whole answer.
pub async fn send(
    client: &reqwest::Client,
    target: &Target,
    req: &Request,
    left: Duration,
) -> Answer {
    let url = format!("http://{}{}", target.address, req.path_and_query);
    let call = client
        .request(req.method.clone(), url)
        .headers(req.headers.clone())
        .header(REQUEST_HEADER, req.id.as_str())
        .header("x-carawayrill-service", req.service.as_str())
        .header("x-carawayrill-shard", req.shard.to_string())
        .header("x-carawayrill-token", target.token.to_string())
        .header("x-carawayrill-deadline-ms", millis(left))
        .timeout(left)
        .body(req.body.clone());
    let call = match &req.idempotency_key {
        Some(key) => call.header("idempotency-key", key.as_str()),
        None => call,
    };
    match call.send().await {
        Ok(response) => read(response, target, req).await,
        Err(err) => read_failure(&err, target),
    }
}

async fn read(response: reqwest::Response, target: &Target, req: &Request) -> Answer {
    let status = response.status().as_u16();
    let headers = response.headers().clone();
    if headers
        .get(REQUEST_HEADER)
        .is_none_or(|id| id.as_bytes() != req.id.as_str().as_bytes())
    {
        return lost("the server answered another request");
    }
    if let Some(word) = refused(&headers) {
        return refused_by(target, word);
    }
    match read_body(response).await {
        Ok(body) => Answer {
            outcome: Outcome::Done,
            status,
            headers: headers::end_to_end(&headers),
            body,
            reason: None,
            retry_after: None,
            server: Some(target.server.clone()),
            token: Some(target.token),
            home_hint: None,
        },
        Err(err) => Refusal::new(RefusalReason::AnswerBrokenOff, err).into(),
    }
}

/// Returns the server's statement that it has not run the request, if it made one.
fn refused(headers: &HeaderMap) -> Option<ServerRefusal> {
    headers.get(REFUSED_HEADER)?.to_str().ok()?.parse().ok()
}

fn refused_by(target: &Target, word: ServerRefusal) -> Answer {
    let reason = RefusalReason::from(word);
    Refusal::new(reason, format!("refused by {}", target.server)).into()
}

/// Tells what a failed exchange means. Only a connection that never opened proves that the server
/// has not seen the request.
fn read_failure(err: &reqwest::Error, target: &Target) -> Answer {
    let server = &target.server;
    if err.is_connect() {
        let detail = format!("no connection to {server}");
        return Refusal::new(RefusalReason::ServerUnreachable, detail).into();
    }
    if err.is_timeout() {
        return Refusal::new(RefusalReason::AnswerLate, format!("no answer of {server}")).into();
    }
    lost(&format!("the exchange with {server} failed: {err}"))
}

fn lost(detail: &str) -> Answer {
    Refusal::new(RefusalReason::AnswerLost, detail).into()
}

/// Reads a whole body. A body that ends before its announced end is an error, never a short body.
async fn read_body(mut response: reqwest::Response) -> Result<Bytes, String> {
    let mut body = BytesMut::new();
    while let Some(chunk) = response.chunk().await.map_err(|err| err.to_string())? {
        if body.len() + chunk.len() > MAX_ANSWER_BYTES {
            return Err(format!(
                "the answer is longer than {MAX_ANSWER_BYTES} bytes"
            ));
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}
