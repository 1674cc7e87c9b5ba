//! Connections of callers, and detection of callers that disconnect.
//!
//! The HTTP library keeps processing a request whose connection has closed, but a caller that
//! disconnects is meant to cancel its request. This module therefore wraps the connections: the
//! library reads from a connection while a request runs, and the end of the stream or a read error
//! marks the caller as disconnected.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
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
use tokio::sync::watch;

/// The open connections of callers.
#[derive(Debug, Clone)]
pub struct CallerConnections {
    open: Arc<Mutex<HashMap<SocketAddr, watch::Receiver<bool>>>>,
    accepting: Arc<watch::Sender<bool>>,
}

impl Default for CallerConnections {
    fn default() -> Self {
        Self {
            open: Arc::default(),
            accepting: Arc::new(watch::Sender::new(true)),
        }
    }
}

impl CallerConnections {
    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, watch::Receiver<bool>>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns an acceptor that accepts connections on `listener` and tracks them.
    ///
    /// # Errors
    ///
    /// Fails if the listener has no local address.
    pub fn accept_on(&self, listener: TcpListener) -> io::Result<CallerAcceptor> {
        Ok(CallerAcceptor {
            local: listener.local_addr()?,
            listener: Some(listener),
            callers: self.clone(),
        })
    }

    /// Closes the listener. Open connections stay open.
    pub fn stop_accepting(&self) {
        self.accepting.send_replace(false);
    }

    /// Returns whether no connection is open.
    #[must_use]
    pub fn all_closed(&self) -> bool {
        self.lock().is_empty()
    }

    /// Waits until the caller at `peer` has disconnected. Waits forever if no connection of `peer`
    /// is known.
    pub async fn disconnected(&self, peer: Option<SocketAddr>) {
        let receiver = peer.and_then(|peer| self.lock().get(&peer).cloned());
        let Some(mut disconnected_rx) = receiver else {
            return std::future::pending().await;
        };
        // An error means that the sender was dropped with its connection, which is a disconnect too.
        let _closed = disconnected_rx.wait_for(|disconnected| *disconnected).await;
    }
}

/// A connection of a caller that reports when it closes.
#[derive(Debug)]
pub struct CallerStream {
    stream: TcpStream,
    peer: SocketAddr,
    disconnected_tx: watch::Sender<bool>,
    callers: CallerConnections,
}

impl Drop for CallerStream {
    fn drop(&mut self) {
        self.callers.lock().remove(&self.peer);
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let (before, capacity) = (buf.filled().len(), buf.remaining());
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        let ended = match &read {
            Poll::Pending => false,
            Poll::Ready(Ok(())) => capacity > 0 && buf.filled().len() == before,
            Poll::Ready(Err(_)) => true,
        };
        if ended {
            self.disconnected_tx.send_replace(true);
        }
        read
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// Accepts and tracks connections of callers.
#[derive(Debug)]
pub struct CallerAcceptor {
    /// The listener; none once the router accepts no more connections. Dropping it makes the port
    /// refuse connections at once, where an open listener would leave them in its backlog.
    listener: Option<TcpListener>,
    local: SocketAddr,
    callers: CallerConnections,
}

impl CallerAcceptor {
    /// Waits for the next connection; waits forever once the listener is closed.
    ///
    /// The connections in the backlog are accepted before the listener is closed: the kernel has
    /// completed them, and their callers may have sent requests.
    async fn next(&mut self) -> io::Result<(TcpStream, SocketAddr)> {
        let mut accepting = self.callers.accepting.subscribe();
        if let Some(listener) = &self.listener {
            tokio::select! {
                biased;
                accepted = listener.accept() => return accepted,
                _ = accepting.wait_for(|accepting| !accepting) => {}
            }
        }
        self.listener = None;
        std::future::pending().await
    }
}

impl Acceptor for CallerAcceptor {
    type Io = CallerStream;

    fn local_addr(&self) -> Vec<LocalAddr> {
        vec![LocalAddr(self.local.into())]
    }

    async fn accept(&mut self) -> io::Result<(Self::Io, LocalAddr, RemoteAddr, Scheme)> {
        let (stream, peer) = self.next().await?;
        stream.set_nodelay(true)?;
        let (disconnected_tx, disconnected_rx) = watch::channel(false);
        self.callers.lock().insert(peer, disconnected_rx);
        let io = CallerStream {
            stream,
            peer,
            disconnected_tx,
            callers: self.callers.clone(),
        };
        let (local, remote) = (LocalAddr(self.local.into()), RemoteAddr(peer.into()));
        Ok((io, local, remote, Scheme::HTTP))
    }
}
