//! Connections to other processes, one an address, opened on first use.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use carawayrill_proto::wire::controller_client::ControllerClient;
use carawayrill_proto::wire::router_client::RouterClient;
use tonic::transport::Channel;
use tonic::transport::Endpoint;

/// How long opening a connection may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// How often an open connection is probed. A peer that is cut off is noticed within this time and
/// [`PROBE_TIMEOUT`], so that calls in flight to it end with an error and not at their deadline.
const PROBE_INTERVAL: Duration = Duration::from_millis(400);
/// How long the answer to a probe may take.
const PROBE_TIMEOUT: Duration = Duration::from_millis(600);
/// The longest message, in bytes: a body of the largest size and its headers.
pub const MAX_MESSAGE_BYTES: usize = 72 << 20;

/// The connections.
#[derive(Debug, Default)]
pub struct PeerPool {
    channels: Mutex<HashMap<SocketAddr, Channel>>,
}

impl PeerPool {
    /// Returns a client of the router at `address`.
    pub fn router(&self, address: SocketAddr) -> RouterClient<Channel> {
        RouterClient::new(self.channel(address))
            .max_decoding_message_size(MAX_MESSAGE_BYTES)
            .max_encoding_message_size(MAX_MESSAGE_BYTES)
    }

    /// Returns a client of the controller at `address`.
    pub fn controller(&self, address: SocketAddr) -> ControllerClient<Channel> {
        ControllerClient::new(self.channel(address))
    }

    fn channel(&self, address: SocketAddr) -> Channel {
        let mut channels = self.channels.lock().unwrap_or_else(PoisonError::into_inner);
        channels
            .entry(address)
            .or_insert_with(|| connect(address))
            .clone()
    }

    /// Forgets connections to addresses that `keep` does not hold.
    pub fn retain(&self, keep: impl Fn(&SocketAddr) -> bool) {
        let mut channels = self.channels.lock().unwrap_or_else(PoisonError::into_inner);
        channels.retain(|address, _| keep(address));
    }
}

/// Makes a connection that opens on its first use.
fn connect(address: SocketAddr) -> Channel {
    let uri = http::Uri::builder()
        .scheme("http")
        .authority(address.to_string())
        .path_and_query("/")
        .build()
        .unwrap_or_default();
    Endpoint::from(uri)
        .connect_timeout(CONNECT_TIMEOUT)
        .tcp_nodelay(true)
        .http2_keep_alive_interval(PROBE_INTERVAL)
        .keep_alive_timeout(PROBE_TIMEOUT)
        .connect_lazy()
}
