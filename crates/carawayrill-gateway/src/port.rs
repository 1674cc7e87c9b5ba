//! The traits behind which the outside systems stand, besides the object store's.

use std::fmt::Debug;
use std::time::Duration;

use async_trait::async_trait;
use carawayrill_core::direct::granter::OrderResult;
use carawayrill_core::direct::granter::SpanOrder;
use carawayrill_core::direct::load::LoadReport;
use carawayrill_core::direct::manifest::Manifest;
use carawayrill_core::direct::servers::Server;
use carawayrill_core::id::ServerId;
use carawayrill_store::Error;
use carawayrill_store::port::Object;
use compact_str::CompactString;
use http::HeaderMap;
use http::StatusCode;

/// What a request's headers say.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RequestMetadata {
    /// The caller's id of this request.
    pub id: Option<CompactString>,
    /// How long the caller will wait.
    pub timeout: Option<Duration>,
    /// The key, if one is named.
    pub key: Option<Key>,
}

/// The key that a request names.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Key {
    /// A proper key.
    Valid(u16),
    /// Something that is no key.
    Invalid,
}

/// What is told to a server with a request.
#[derive(Debug, Clone)]
pub struct SendMetadata<'a> {
    /// The server that is meant. Any other refuses the request.
    pub server: &'a ServerId,
    /// The time that is left.
    pub timeout: Duration,
}

/// What an answer's head says.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ResponseMetadata {
    /// The id of the request that it answers.
    pub request: Option<CompactString>,
    /// Whether the server vouches for it.
    pub signed: bool,
    /// Whether the server says that it did not run the request.
    pub not_run: bool,
    /// Whether the server says that it is another one or does not hold the key.
    pub misdirected: bool,
    /// The server's own report of its load.
    pub load: Option<LoadReport>,
    /// How long the server keeps an idle connection, if it says so.
    pub keep_alive: Option<Duration>,
}

/// The headers in which callers and servers say what is not plain HTTP.
pub trait HeaderCodec: Debug + Send + Sync {
    /// Reads the headers of a request.
    fn parse_request(&self, headers: &HeaderMap) -> RequestMetadata;

    /// Writes the headers that a server expects with a request.
    fn write_request(&self, headers: &mut HeaderMap, metadata: &SendMetadata<'_>);

    /// Reads the head of an answer.
    fn parse_response(&self, status: StatusCode, headers: &HeaderMap) -> ResponseMetadata;
}

/// Reads the objects of the platform out of the store.
pub trait StoreSchema: Debug + Send + Sync {
    /// The kind of objects that the manifest is stored as.
    fn manifest_kind(&self) -> &'static str;

    /// The name of the object of that kind that holds the manifest in force.
    fn manifest_name(&self) -> &'static str;

    /// The kind of objects that servers are listed as.
    fn server_kind(&self) -> &'static str;

    /// Reads a manifest.
    ///
    /// # Errors
    ///
    /// Fails if the object does not hold a whole, proper manifest.
    fn decode_manifest(&self, object: &Object) -> Result<Manifest, Error>;

    /// Reads the entry of a server.
    ///
    /// # Errors
    ///
    /// Fails if the object does not hold a whole, proper entry.
    fn decode_server(&self, object: &Object) -> Result<Server, Error>;
}

/// Sends the granter's orders to servers.
#[async_trait]
pub trait SpanOrderSender: Debug + Send + Sync {
    /// Sends one order and waits for its end, at most for the order's own time limit.
    ///
    /// An order that is given up is cut off, so that it can't arrive after this has returned.
    async fn send(&self, order: &SpanOrder) -> OrderResult;
}
