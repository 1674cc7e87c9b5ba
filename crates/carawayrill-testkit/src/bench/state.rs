//! What the store says: assignments, and when a fleet is ready.

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

/// The pause between two looks at something awaited.
pub(crate) const POLL: Duration = Duration::from_millis(20);

/// Reads all assignments out of the store.
///
/// # Errors
///
/// Fails if the store does not answer or holds something else.
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

/// Reads how many calls the stand-in store has taken.
///
/// # Errors
///
/// Fails if it does not answer.
pub async fn calls(store: SocketAddr) -> Result<CallCounts, Error> {
    let url = format!("http://{store}/control/calls");
    Ok(reqwest::get(url).await?.json().await?)
}

/// Puts a fault on a stand-in; `fault` is the JSON of its order.
///
/// # Errors
///
/// Fails if the stand-in does not answer or refuses.
pub async fn set_fault(stand_in: SocketAddr, fault: &str) -> Result<(), Error> {
    let url = format!("http://{stand_in}/control/fault");
    let call = reqwest::Client::new().post(url).body(fault.to_owned());
    call.send().await?.error_for_status()?;
    Ok(())
}

/// Waits until something listens at `address`.
///
/// # Errors
///
/// Fails if nothing does within `limit`.
pub async fn wait_listening(address: SocketAddr, limit: Duration) -> Result<(), Error> {
    let began = Instant::now();
    while tokio::net::TcpStream::connect(address).await.is_err() {
        if began.elapsed() > limit {
            return Err(format!("nothing listens at {address} within {limit:?}").into());
        }
        tokio::time::sleep(POLL).await;
    }
    Ok(())
}

/// Waits until the store answers.
///
/// # Errors
///
/// Fails if it does not within `limit`.
pub async fn wait_store(store: SocketAddr, limit: Duration) -> Result<(), Error> {
    let began = Instant::now();
    while calls(store).await.is_err() {
        if began.elapsed() > limit {
            return Err(format!("the store does not answer within {limit:?}").into());
        }
        tokio::time::sleep(POLL).await;
    }
    Ok(())
}

/// Waits until a router says that it is ready.
///
/// # Errors
///
/// Fails if it is not within `limit`.
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
            return Err(format!("router at {router} is not ready within {limit:?}").into());
        }
        tokio::time::sleep(POLL).await;
    }
}
