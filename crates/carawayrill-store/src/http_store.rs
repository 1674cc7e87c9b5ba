//! HTTP client for the object store, as specified in `docs/PROTOCOLS.md`.

use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use carawayrill_core::id::Era;
use carawayrill_core::id::Revision;
use carawayrill_core::id::Version;
use carawayrill_core::time::millis;
use compact_str::CompactString;
use reqwest::Client;
use reqwest::Method;
use reqwest::RequestBuilder;
use reqwest::Response;
use reqwest::StatusCode;
use reqwest::Url;
use serde::Deserialize;
use serde::Serialize;

use crate::Error;
use crate::client;
use crate::port::Changes;
use crate::port::MAX_VALUE_BYTES;
use crate::port::Object;
use crate::port::ObjectStore;

/// Header with the version that an update expects.
pub const EXPECTED_VERSION: &str = "x-expected-version";
/// Header with the version that the store holds.
pub const FOUND_VERSION: &str = "x-version";

/// Default timeout of a call, see [`HttpStore::timeout`].
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum size of the response to a watch, in bytes.
const MAX_WATCH_BYTES: usize = 32 << 20;

/// An object in the response to a watch, as written on the wire.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireObject {
    /// Name of the object.
    pub name: CompactString,
    /// Version; 0 denotes a deleted object.
    pub version: Version,
    /// Value of the object.
    pub value: String,
}

/// The response to a watch, as written on the wire.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireChanges {
    /// The revision from which the next watch continues.
    pub revision: Revision,
    /// The changed objects.
    pub objects: Vec<WireObject>,
}

impl From<WireObject> for Object {
    fn from(wire: WireObject) -> Self {
        Self {
            name: wire.name,
            version: wire.version,
            value: Bytes::from(wire.value),
        }
    }
}

impl From<WireChanges> for Changes {
    fn from(wire: WireChanges) -> Self {
        Self {
            era: Era::default(),
            revision: wire.revision,
            objects: wire.objects.into_iter().map(Object::from).collect(),
        }
    }
}

impl TryFrom<Object> for WireObject {
    type Error = Error;

    fn try_from(object: Object) -> Result<Self, Error> {
        let value = String::from_utf8(object.value.to_vec())
            .map_err(|err| Error::malformed(err.to_string()))?;
        Ok(Self {
            name: object.name,
            version: object.version,
            value,
        })
    }
}

impl TryFrom<Changes> for WireChanges {
    type Error = Error;

    fn try_from(changes: Changes) -> Result<Self, Error> {
        let objects: Result<Vec<_>, _> = changes
            .objects
            .into_iter()
            .map(WireObject::try_from)
            .collect();
        Ok(Self {
            revision: changes.revision,
            objects: objects?,
        })
    }
}

/// A client of the object store.
///
/// # Examples
///
/// ```no_run
/// use std::time::Duration;
///
/// use carawayrill_store::http_store::HttpStore;
/// use carawayrill_store::port::ObjectStore;
///
/// # async fn read() -> Result<(), carawayrill_store::Error> {
/// let store = HttpStore::new("127.0.0.1:7001".parse().expect("an address"))?
///     .timeout(Duration::from_millis(500));
/// let head = store.get("config/head").await?;
/// # Ok(())
/// # }
/// ```
#[derive(Debug, Clone)]
pub struct HttpStore {
    client: Client,
    base: Url,
    timeout: Duration,
}

impl HttpStore {
    /// Creates a client of the store at `address` without connecting.
    ///
    /// # Errors
    ///
    /// Fails if the HTTP client can't be created.
    pub fn new(address: std::net::SocketAddr) -> Result<Self, Error> {
        let base = Url::parse(&format!("http://{address}/"))
            .map_err(|err| Error::unavailable(err.to_string()))?;
        Ok(Self {
            client: client::new_client()?,
            base,
            timeout: CALL_TIMEOUT,
        })
    }

    /// Sets the timeout of a call; 2 s by default. A watch may take this time in addition to its
    /// wait.
    #[must_use]
    pub fn timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// Returns the URL of an object.
    fn object_url(&self, name: &str) -> Url {
        let mut url = self.base.clone();
        if let Ok(mut segments) = url.path_segments_mut() {
            segments.clear().push("objects").extend(name.split('/'));
        }
        url
    }

    /// Builds a call on one object.
    fn build_call(&self, method: Method, name: &str) -> RequestBuilder {
        self.client
            .request(method, self.object_url(name))
            .timeout(self.timeout)
    }
}

/// Sends a call and returns its response once the headers have arrived.
async fn send(call: RequestBuilder) -> Result<Response, Error> {
    call.send().await.map_err(|err| client::call_error(&err))
}

/// Reads the version from the headers of a response.
fn read_version(resp: &Response) -> Result<Version, Error> {
    let text = resp
        .headers()
        .get(FOUND_VERSION)
        .and_then(|value| value.to_str().ok())
        .ok_or_else(|| Error::malformed("missing header x-version"))?;
    text.parse()
        .map_err(|err: carawayrill_core::Error| Error::malformed(err.to_string()))
}

/// Returns the result of a conditional update. Reads the body to its end, because a response that
/// ends early leaves the outcome unknown.
async fn update_result(resp: Response) -> Result<Version, Error> {
    let status = resp.status();
    let version = read_version(&resp);
    client::read_body(resp, MAX_VALUE_BYTES).await?;
    match status {
        StatusCode::OK => version,
        StatusCode::PRECONDITION_FAILED => Err(Error::conflict(version?)),
        other => Err(client::status_error(other)),
    }
}

#[async_trait]
impl ObjectStore for HttpStore {
    async fn get(&self, name: &str) -> Result<Option<Object>, Error> {
        let resp = send(self.build_call(Method::GET, name)).await?;
        match resp.status() {
            StatusCode::OK => {}
            StatusCode::NOT_FOUND => return Ok(None),
            other => return Err(client::status_error(other)),
        }
        let version = read_version(&resp)?;
        let value = client::read_body(resp, MAX_VALUE_BYTES).await?;
        Ok(Some(Object {
            name: name.into(),
            version,
            value,
        }))
    }

    async fn version(&self, name: &str) -> Result<Version, Error> {
        let resp = send(self.build_call(Method::HEAD, name)).await?;
        match resp.status() {
            StatusCode::OK => read_version(&resp),
            StatusCode::NOT_FOUND => Ok(Version(0)),
            other => Err(client::status_error(other)),
        }
    }

    async fn put(&self, name: &str, value: Bytes, expected: Version) -> Result<Version, Error> {
        let call = self
            .build_call(Method::PUT, name)
            .header(EXPECTED_VERSION, expected.to_string())
            .body(value);
        update_result(send(call).await?).await
    }

    async fn delete(&self, name: &str, expected: Version) -> Result<(), Error> {
        let call = self
            .build_call(Method::DELETE, name)
            .header(EXPECTED_VERSION, expected.to_string());
        let resp = send(call).await?;
        if resp.status() == StatusCode::OK {
            return client::read_body(resp, MAX_VALUE_BYTES)
                .await
                .map(|_body| ());
        }
        update_result(resp).await.map(|_version| ())
    }

    async fn watch(&self, prefix: &str, after: Revision, wait: Duration) -> Result<Changes, Error> {
        let query = [
            ("prefix", prefix.to_owned()),
            ("after", after.to_string()),
            ("wait_ms", millis(wait).to_string()),
        ];
        let mut url = self.base.clone();
        url.set_path("/watch");
        let call = self.client.get(url).query(&query);
        let resp = send(call.timeout(self.timeout + wait)).await?;
        if resp.status() != StatusCode::OK {
            return Err(client::status_error(resp.status()));
        }
        let body = client::read_body(resp, MAX_WATCH_BYTES).await?;
        let wire: WireChanges =
            serde_json::from_slice(&body).map_err(|err| Error::malformed(err.to_string()))?;
        Ok(wire.into())
    }
}
