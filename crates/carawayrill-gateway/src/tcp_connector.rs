//! Opens TCP connections to servers.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use socket2::SockRef;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;

use crate::port::ServerConnector;

/// How long sent data may stay unacknowledged before a connection counts as dead.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(900);

/// Opens TCP connections to servers.
#[derive(Debug, Clone, Copy)]
pub struct TcpConnector;

#[async_trait]
impl ServerConnector for TcpConnector {
    async fn connect(&self, address: SocketAddr, timeout: Duration) -> std::io::Result<TcpStream> {
        let socket = TcpSocket::new_v4()?;
        SockRef::from(&socket).set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))?;
        let stream = tokio::time::timeout(timeout, socket.connect(address))
            .await
            .map_err(|_elapsed| std::io::Error::from(ErrorKind::TimedOut))??;
        stream.set_nodelay(true)?;
        Ok(stream)
    }
}
