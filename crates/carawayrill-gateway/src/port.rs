//! Traits for the external systems, except the object store.

use std::fmt::Debug;
use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use carawayrill_core::direct::granter::OrderResult;
use carawayrill_core::direct::granter::SpanOrder;
use carawayrill_core::direct::limit::RequestRate;
use carawayrill_core::direct::load::LoadReport;
use carawayrill_core::direct::manifest::Manifest;
use carawayrill_core::direct::servers::Server;
use carawayrill_core::id::ServerId;
use carawayrill_store::Error;
use carawayrill_store::port::Object;
use compact_str::CompactString;
use http::HeaderMap;
use http::StatusCode;
use tokio::net::TcpStream;

/// The metadata in the headers of a request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RequestMetadata {
    /// The caller's id of this request.
    pub id: Option<CompactString>,
    /// The time that the caller waits for a response.
    pub timeout: Option<Duration>,
    /// The routing key, if the request has one.
    pub key: Option<Key>,
}

/// The routing key of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Key {
    /// A well-formed key.
    Valid(u16),
    /// A value that is not a key.
    Invalid,
}

/// The metadata that is sent to a server with a request.
#[derive(Debug, Clone)]
pub struct SendMetadata<'a> {
    /// The intended server. Any other server refuses the request.
    pub server: &'a ServerId,
    /// The time left until the deadline.
    pub timeout: Duration,
}

/// Why a server did not run a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerRefusal {
    /// The server is not the intended one, or does not hold the key.
    Misdirected,
    /// Any other reason, such as a full queue.
    NotRun,
}

/// The metadata in the status and headers of a response.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ResponseMetadata {
    /// The id of the request that this response belongs to.
    pub request: Option<CompactString>,
    /// Whether the server signed the response.
    pub signed: bool,
    /// The reason why the server did not run the request, if it reports that.
    pub refusal: Option<ServerRefusal>,
    /// The load that the server reports.
    pub load: Option<LoadReport>,
    /// How long the server keeps an idle connection open, if it says so.
    pub keep_alive: Option<Duration>,
    /// Whether the server says that it leaves.
    pub leaving: bool,
    /// The time for which an overloaded server wants no request from this front.
    pub pause: Option<Duration>,
    /// The limit on the requests that the server takes.
    pub limit: LimitHeader,
    /// The time until the server is warm, if it says that it is cold.
    pub cold: Option<Duration>,
}

/// What a response says of the requests a second that its server takes from all fronts together.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum LimitHeader {
    /// The server has no limit.
    #[default]
    Absent,
    /// The server has this limit.
    Named(RequestRate),
    /// A value that is not a rate. It says nothing about the limit.
    Invalid,
}

/// Reads and writes the platform-specific headers of requests and responses.
pub trait HeaderCodec: Debug + Send + Sync {
    /// Parses the headers of a request.
    fn parse_request(&self, headers: &HeaderMap) -> RequestMetadata;

    /// Sets the headers that a server expects with a request.
    fn write_request(&self, headers: &mut HeaderMap, metadata: &SendMetadata<'_>);

    /// Parses the status and headers of a response.
    fn parse_response(&self, status: StatusCode, headers: &HeaderMap) -> ResponseMetadata;
}

/// Decodes the platform's objects in the store.
pub trait StoreSchema: Debug + Send + Sync {
    /// Returns the kind of object that holds manifests.
    fn manifest_kind(&self) -> &'static str;

    /// Returns the name of the object that holds the manifest in force.
    fn manifest_name(&self) -> &'static str;

    /// Returns the kind of object that holds server entries.
    fn server_kind(&self) -> &'static str;

    /// Returns the kind of object whose names are the data centres to evacuate.
    fn evacuation_kind(&self) -> &'static str;

    /// Decodes a manifest.
    ///
    /// # Errors
    ///
    /// Fails if the object is not a complete, valid manifest.
    fn decode_manifest(&self, object: &Object) -> Result<Manifest, Error>;

    /// Decodes a server entry.
    ///
    /// # Errors
    ///
    /// Fails if the object is not a complete, valid entry.
    fn decode_server(&self, object: &Object) -> Result<Server, Error>;
}

/// Opens connections to servers.
#[async_trait]
pub trait ServerConnector: Debug + Send + Sync {
    /// Opens a connection that fails if the server stops acknowledging data.
    ///
    /// # Errors
    ///
    /// Fails if the connection is not established within `timeout`.
    async fn connect(&self, address: SocketAddr, timeout: Duration) -> std::io::Result<TcpStream>;
}

/// Sends the granter's orders to servers.
#[async_trait]
pub trait SpanOrderSender: Debug + Send + Sync {
    /// Sends one order and waits for its result, at most for the timeout of the order.
    ///
    /// An order that times out is aborted, so that it can't arrive after this call has returned.
    async fn send(&self, order: &SpanOrder) -> OrderResult;
}
