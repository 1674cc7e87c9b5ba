//! Queries to the store, stand-ins and routers, and waits until they are ready.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use carawayrill_core::assignment::Block;
use carawayrill_core::id::Revision;
use carawayrill_core::object::ASSIGNMENTS;
use carawayrill_core::route::RouteTable;
use carawayrill_store::http_store::HttpStore;
use carawayrill_store::memory::CallCounts;
use carawayrill_store::port::ObjectStore;

use crate::fleet::Error;

/// Interval at which a condition is polled.
pub(crate) const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Reads all assignments from the store.
///
/// # Errors
///
/// Fails if the store does not answer or an object can't be decoded.
pub async fn routes(store: SocketAddr) -> Result<RouteTable, Error> {
    let store = HttpStore::new(store)?;
    let all = store
        .watch(ASSIGNMENTS, Revision::default(), Duration::ZERO)
        .await?;
    let mut routes = RouteTable::default();
    for object in all.objects {
        let block: Block = serde_json::from_slice(&object.value)?;
        routes.apply(object.version, block);
    }
    Ok(routes)
}

/// Returns the numbers of calls that the stand-in store has received.
///
/// # Errors
///
/// Fails if the store does not answer.
pub async fn call_counts(store: SocketAddr) -> Result<CallCounts, Error> {
    let url = format!("http://{store}/control/calls");
    Ok(reqwest::get(url).await?.json().await?)
}

/// Injects a fault into a stand-in; `fault` is the JSON body of the request.
///
/// # Errors
///
/// Fails if the stand-in does not answer or rejects the request.
pub async fn set_fault(stand_in: SocketAddr, fault: &str) -> Result<(), Error> {
    let url = format!("http://{stand_in}/control/fault");
    let call = reqwest::Client::new().post(url).body(fault.to_owned());
    call.send().await?.error_for_status()?;
    Ok(())
}

/// Waits until a connection to `address` succeeds.
///
/// # Errors
///
/// Fails if no connection succeeds within `limit`.
pub async fn wait_listening(address: SocketAddr, limit: Duration) -> Result<(), Error> {
    let began = Instant::now();
    while tokio::net::TcpStream::connect(address).await.is_err() {
        if began.elapsed() > limit {
            return Err(format!("no process listened on {address} within {limit:?}").into());
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Ok(())
}

/// Waits until the store answers.
///
/// # Errors
///
/// Fails if the store does not answer within `limit`.
pub async fn wait_store(store: SocketAddr, limit: Duration) -> Result<(), Error> {
    let began = Instant::now();
    while call_counts(store).await.is_err() {
        if began.elapsed() > limit {
            return Err(format!("the store did not answer within {limit:?}").into());
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Ok(())
}

/// Waits until the readiness check of a router succeeds.
///
/// # Errors
///
/// Fails if the router is not ready within `limit`.
pub async fn wait_ready(router: SocketAddr, limit: Duration) -> Result<(), Error> {
    let url = format!("http://{router}/carawayrill/ready");
    let began = Instant::now();
    loop {
        if let Ok(resp) = reqwest::get(&url).await
            && resp.status().is_success()
        {
            return Ok(());
        }
        if began.elapsed() > limit {
            return Err(format!("router at {router} was not ready within {limit:?}").into());
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
