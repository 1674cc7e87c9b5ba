//! HTTP client for the control interface of servers, as specified in `docs/PROTOCOLS.md`.

use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use carawayrill_core::order::Order;
use carawayrill_core::order::OrderReply;
use reqwest::Client;
use reqwest::StatusCode;
use serde::Deserialize;
use serde::Serialize;

use crate::Error;
use crate::client;
use crate::port::ServerControl;

/// Maximum size of a server's response, in bytes.
const MAX_REPLY_BYTES: usize = 8 << 20;

/// A message with orders, as written on the wire.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireOrders {
    /// The orders, processed in sequence.
    pub orders: Vec<Order>,
}

/// A request to cancel another request, as written on the wire.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireCancel {
    /// The identifier of the request to cancel.
    pub request: String,
}

/// A client of the control interface of all servers.
#[derive(Debug, Clone)]
pub struct HttpServerControl {
    client: Client,
}

impl HttpServerControl {
    /// Creates the client without connecting.
    ///
    /// # Errors
    ///
    /// Fails if the HTTP client can't be created.
    pub fn new() -> Result<Self, Error> {
        Ok(Self {
            client: client::new_client()?,
        })
    }

    /// Posts a message and reads the complete response.
    async fn post<T: Serialize + Sync>(
        &self,
        url: String,
        message: &T,
        wait: Duration,
    ) -> Result<Bytes, Error> {
        let call = self.client.post(url).json(message).timeout(wait);
        let resp = call.send().await.map_err(|err| client::call_error(&err))?;
        if resp.status() != StatusCode::OK {
            return Err(client::status_error(resp.status()));
        }
        client::read_body(resp, MAX_REPLY_BYTES).await
    }
}

#[async_trait]
impl ServerControl for HttpServerControl {
    async fn order(
        &self,
        address: SocketAddr,
        orders: Vec<Order>,
        wait: Duration,
    ) -> Result<OrderReply, Error> {
        let order_count = orders.len();
        let url = format!("http://{address}/carawayrill/orders");
        let body = self.post(url, &WireOrders { orders }, wait).await?;
        let reply: OrderReply =
            serde_json::from_slice(&body).map_err(|err| Error::malformed(err.to_string()))?;
        if reply.acks.len() != order_count {
            return Err(Error::malformed(format!(
                "{} acknowledgements for {order_count} orders",
                reply.acks.len()
            )));
        }
        Ok(reply)
    }

    async fn cancel(
        &self,
        address: SocketAddr,
        request: &str,
        wait: Duration,
    ) -> Result<(), Error> {
        let url = format!("http://{address}/carawayrill/cancel");
        let message = WireCancel {
            request: request.to_owned(),
        };
        self.post(url, &message, wait).await.map(|_body| ())
    }
}
