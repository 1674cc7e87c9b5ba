//! HTTP client for the platform's list of VMs, as specified in `docs/PROTOCOLS.md`.

use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use reqwest::Client;
use reqwest::StatusCode;

use crate::Error;
use crate::client;
use crate::port::Vm;
use crate::port::VmList;

/// Timeout of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum size of the list, in bytes.
const MAX_LIST_BYTES: usize = 4 << 20;

/// A client of the list of VMs.
#[derive(Debug, Clone)]
pub struct HttpVmList {
    client: Client,
    url: String,
}

impl HttpVmList {
    /// Creates a client of the list at `address` without connecting.
    ///
    /// # Errors
    ///
    /// Fails if the HTTP client can't be created.
    pub fn new(address: SocketAddr) -> Result<Self, Error> {
        Ok(Self {
            client: client::new_client()?,
            url: format!("http://{address}/vms"),
        })
    }
}

#[async_trait]
impl VmList for HttpVmList {
    async fn vms(&self) -> Result<Vec<Vm>, Error> {
        let call = self.client.get(&self.url).timeout(CALL_TIMEOUT);
        let resp = call.send().await.map_err(|err| client::call_error(&err))?;
        if resp.status() != StatusCode::OK {
            return Err(client::status_error(resp.status()));
        }
        let body = client::read_body(resp, MAX_LIST_BYTES).await?;
        serde_json::from_slice(&body).map_err(|err| Error::malformed(err.to_string()))
    }
}
