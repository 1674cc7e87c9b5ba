//! Connections to other processes, one for each address, opened on first use.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use carawayrill_proto::wire::controller_client::ControllerClient;
use carawayrill_proto::wire::router_client::RouterClient;
use tonic::transport::Channel;
use tonic::transport::Endpoint;

/// The timeout for connecting to a process.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// The interval between keepalive probes on an open connection. An unreachable peer is detected
/// within this time plus [`PROBE_TIMEOUT`], so that calls in flight fail before their deadline.
const PROBE_INTERVAL: Duration = Duration::from_millis(400);
/// The timeout of the answer to a keepalive probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(600);
/// The maximum size of a message: the largest body and its headers.
pub const MAX_MESSAGE_BYTES: usize = 72 << 20;

/// The pool of connections.
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

    /// Drops the connections to addresses for which `keep` returns false.
    pub fn retain(&self, keep: impl Fn(&SocketAddr) -> bool) {
        let mut channels = self.channels.lock().unwrap_or_else(PoisonError::into_inner);
        channels.retain(|address, _| keep(address));
    }
}

/// Creates a connection that is opened on first use.
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
