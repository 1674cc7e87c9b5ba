//! The connections of callers at a planned stop.

use std::time::Duration;

use carawayrill_router::entry::callers::CallerConnections;
use poem::listener::Acceptor;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// The number of connections that wait in the backlog.
const WAITING: usize = 20;

/// The kernel has completed these connections, and their callers may have sent requests. A listener
/// that closes resets them.
#[tokio::test]
async fn a_planned_stop_accepts_the_connections_in_the_backlog() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let callers = CallerConnections::default();
    let mut acceptor = callers.accept_on(listener).expect("an acceptor");
    let mut streams = Vec::new();
    for _connection in 0..WAITING {
        streams.push(TcpStream::connect(address).await.expect("a connection"));
    }
    callers.stop_accepting();
    let mut accepted = Vec::new();
    while let Ok(next) = timeout(Duration::from_millis(200), acceptor.accept()).await {
        accepted.push(next.expect("a connection"));
    }
    assert_eq!(accepted.len(), WAITING);
    TcpStream::connect(address)
        .await
        .expect_err("the listener is closed");
}
