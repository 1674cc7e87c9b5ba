//! Connections of a stand-in: limits their number, and aborts one before its response is sent.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;

use http::uri::Scheme;
use poem::listener::Acceptor;
use poem::web::LocalAddr;
use poem::web::RemoteAddr;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

/// The open connections of one listener.
#[derive(Debug, Clone)]
pub struct Connections {
    limit: usize,
    open: Arc<Mutex<HashMap<SocketAddr, Arc<AtomicBool>>>>,
}

impl Connections {
    /// Creates an empty set that allows up to `limit` open connections.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            open: Arc::default(),
        }
    }

    /// Returns the number of open connections.
    #[must_use]
    pub fn count(&self) -> usize {
        self.lock().len()
    }

    /// Makes all further writes to the connection from `peer` fail, which closes it.
    pub fn abort(&self, peer: SocketAddr) {
        if let Some(aborted) = self.lock().get(&peer) {
            aborted.store(true, Ordering::SeqCst);
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Arc<AtomicBool>>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Registers a connection. Returns `None` if the limit is reached.
    fn open(&self, stream: TcpStream, peer: SocketAddr) -> Option<Connection> {
        let mut open = self.lock();
        if open.len() >= self.limit {
            return None;
        }
        let aborted = Arc::new(AtomicBool::new(false));
        open.insert(peer, Arc::clone(&aborted));
        drop(open);
        Some(Connection {
            stream,
            peer,
            aborted,
            connections: self.clone(),
        })
    }
}

/// One open connection. Dropping it removes it from the open connections.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    peer: SocketAddr,
    aborted: Arc<AtomicBool>,
    connections: Connections,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.connections.lock().remove(&self.peer);
    }
}

impl AsyncRead for Connection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for Connection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.aborted.load(Ordering::SeqCst) {
            return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
        }
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// Accepts connections up to the limit and closes further ones at once.
#[derive(Debug)]
pub struct LimitedAcceptor {
    listener: TcpListener,
    local: SocketAddr,
    connections: Connections,
}

impl LimitedAcceptor {
    /// Creates an acceptor for `listener`.
    ///
    /// # Errors
    ///
    /// Returns an error if the local address of the listener can't be read.
    pub fn new(listener: TcpListener, connections: Connections) -> io::Result<Self> {
        Ok(Self {
            local: listener.local_addr()?,
            listener,
            connections,
        })
    }
}

impl Acceptor for LimitedAcceptor {
    type Io = Connection;

    fn local_addr(&self) -> Vec<LocalAddr> {
        vec![LocalAddr(self.local.into())]
    }

    async fn accept(&mut self) -> io::Result<(Connection, LocalAddr, RemoteAddr, Scheme)> {
        loop {
            let (stream, peer) = self.listener.accept().await?;
            stream.set_nodelay(true)?;
            if let Some(connection) = self.connections.open(stream, peer) {
                let local = LocalAddr(self.local.into());
                return Ok((connection, local, RemoteAddr(peer.into()), Scheme::HTTP));
            }
        }
    }
}
