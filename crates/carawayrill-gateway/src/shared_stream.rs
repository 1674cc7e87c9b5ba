//! A caller's connection whose end is noticed also while further requests wait on it.
//!
//! The HTTP library reads ahead while it waits for a response, to notice that the caller closes the
//! connection. It does not once the caller has sent a further request, since that fills its buffer.
//! The end may also lie behind more requests, which nobody reads. So the stream itself reads ahead
//! while a request is served.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use bytes::Buf;
use bytes::BytesMut;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

/// The interval between two checks whether the caller has closed the connection.
const CHECK_INTERVAL: Duration = Duration::from_millis(150);
/// The most bytes that are read ahead. A caller that sends more is not read before a response.
const MAX_READ_AHEAD: usize = 16 << 10;

/// A TCP stream that the HTTP library reads and writes, and that can be observed meanwhile.
#[derive(Debug, Clone)]
pub(crate) struct SharedStream {
    stream: Arc<TcpStream>,
    ahead: Arc<Mutex<ReadAhead>>,
}

/// What was read while the HTTP library did not read.
#[derive(Debug, Default)]
struct ReadAhead {
    bytes: BytesMut,
    /// Whether the end of the stream, or an error, follows the bytes.
    has_ended: bool,
}

impl SharedStream {
    /// Wraps a stream.
    pub(crate) fn new(stream: TcpStream) -> Self {
        Self {
            stream: Arc::new(stream),
            ahead: Arc::default(),
        }
    }

    fn ahead(&self) -> MutexGuard<'_, ReadAhead> {
        self.ahead.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until the peer has closed the connection. Must be awaited by the task that reads the
    /// stream, since only one task is woken.
    pub(crate) async fn closed(&self) {
        loop {
            tokio::time::sleep(CHECK_INTERVAL).await;
            if std::future::poll_fn(|cx| Poll::Ready(self.read_ahead(cx))).await {
                return;
            }
        }
    }

    /// Reads what has arrived, as far as there is room. Returns whether the stream has ended.
    fn read_ahead(&self, cx: &mut Context<'_>) -> bool {
        let mut ahead = self.ahead();
        let mut buf = [0; 1_024];
        while !ahead.has_ended && ahead.bytes.len() < MAX_READ_AHEAD {
            match self.stream.poll_read_ready(cx) {
                Poll::Ready(Ok(())) => {}
                Poll::Ready(Err(_)) => ahead.has_ended = true,
                Poll::Pending => break,
            }
            match self.stream.try_read(&mut buf) {
                Ok(0) => ahead.has_ended = true,
                Ok(read) => ahead.bytes.extend_from_slice(&buf[..read]),
                Err(err) if err.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => ahead.has_ended = true,
            }
        }
        if !ahead.bytes.is_empty() {
            // The HTTP library may have been waiting for these bytes.
            cx.waker().wake_by_ref();
        }
        ahead.has_ended
    }
}

impl AsyncRead for SharedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        {
            let mut ahead = self.ahead();
            if !ahead.bytes.is_empty() {
                let read = ahead.bytes.len().min(buf.remaining());
                buf.put_slice(&ahead.bytes[..read]);
                ahead.bytes.advance(read);
                return Poll::Ready(Ok(()));
            }
        }
        loop {
            ready!(self.stream.poll_read_ready(cx))?;
            match self.stream.try_read(buf.initialize_unfilled()) {
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
            ready!(self.stream.poll_write_ready(cx))?;
            match self.stream.try_write(buf) {
                Err(err) if err.kind() == io::ErrorKind::WouldBlock => {}
                result => return Poll::Ready(result),
            }
        }
    }

    // Without vectored writes the HTTP library copies each body into a buffer of the connection, which
    // keeps the capacity of the largest one.
    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.stream.poll_write_ready(cx))?;
            match self.stream.try_write_vectored(bufs) {
                Err(err) if err.kind() == io::ErrorKind::WouldBlock => {}
                result => return Poll::Ready(result),
            }
        }
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let result = socket2::SockRef::from(&*self.stream).shutdown(std::net::Shutdown::Write);
        Poll::Ready(result)
    }
}
