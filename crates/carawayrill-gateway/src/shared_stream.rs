//! A caller's connection whose end is noticed also while further requests wait on it.
//!
//! The HTTP library reads ahead while it waits for a response, to notice that the caller closes the
//! connection. It does not once the caller has sent a further request, since that fills its buffer.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

/// The interval between two checks whether the caller has closed the connection.
const CHECK_INTERVAL: Duration = Duration::from_millis(150);

/// A TCP stream that the HTTP library reads and writes, and that can be observed meanwhile.
#[derive(Debug, Clone)]
pub(crate) struct SharedStream(Arc<TcpStream>);

impl SharedStream {
    /// Wraps a stream.
    pub(crate) fn new(stream: TcpStream) -> Self {
        Self(Arc::new(stream))
    }

    /// Waits until the peer has closed the connection and all that it sent was read.
    pub(crate) async fn closed(&self) {
        loop {
            tokio::time::sleep(CHECK_INTERVAL).await;
            if std::future::poll_fn(|cx| Poll::Ready(self.is_closed(cx))).await {
                return;
            }
        }
    }

    /// Returns whether the end of the stream is the next thing to be read. The task of `cx` must be
    /// the one that reads the stream, since only one task is woken.
    fn is_closed(&self, cx: &mut Context<'_>) -> bool {
        let mut buf = [0; 1];
        let mut buf = ReadBuf::new(&mut buf);
        match self.0.poll_peek(cx, &mut buf) {
            Poll::Ready(Ok(read)) => read == 0,
            Poll::Ready(Err(err)) => err.kind() != io::ErrorKind::WouldBlock,
            Poll::Pending => false,
        }
    }
}

impl AsyncRead for SharedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            ready!(self.0.poll_read_ready(cx))?;
            match self.0.try_read(buf.initialize_unfilled()) {
                Ok(read) => {
                    buf.advance(read);
                    return Poll::Ready(Ok(()));
                }
                Err(err) if err.kind() == io::ErrorKind::WouldBlock => {}
                Err(err) => return Poll::Ready(Err(err)),
            }
        }
    }
}

impl AsyncWrite for SharedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.poll_write_ready(cx))?;
            match self.0.try_write(buf) {
                Err(err) if err.kind() == io::ErrorKind::WouldBlock => {}
                result => return Poll::Ready(result),
            }
        }
    }

    fn poll_flush(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let result = socket2::SockRef::from(&*self.0).shutdown(std::net::Shutdown::Write);
        Poll::Ready(result)
    }
}
