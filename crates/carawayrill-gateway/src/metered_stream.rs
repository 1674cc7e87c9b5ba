//! A connection that reads a limited number of bytes for each response.
//!
//! A server in trouble may send bytes without end. An HTTP library bounds what it keeps of them, but
//! skips interim responses for as long as they come. Here all bytes count, whatever they are: header
//! lines, interim responses, chunk extensions, trailers.

use std::io;
use std::io::ErrorKind;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

use crate::buffer_limit::HeldBytes;

/// The bytes that may still be read from a connection.
#[derive(Debug)]
struct Allowance {
    left: usize,
    /// The bytes of the head that is being read, if they count towards a common limit.
    head: Option<HeldBytes>,
    in_head: bool,
}

/// Limits what is read from a connection.
#[derive(Debug)]
pub struct ReadMeter(Mutex<Allowance>);

impl ReadMeter {
    /// Creates a meter that lets `bytes` through.
    #[must_use]
    pub fn new(bytes: usize) -> Arc<Self> {
        Arc::new(Self(Mutex::new(Allowance {
            left: bytes,
            head: None,
            in_head: false,
        })))
    }

    /// Creates a meter that lets nothing through yet. The bytes of heads count as `head`.
    pub(crate) fn of_responses(head: HeldBytes) -> Arc<Self> {
        Arc::new(Self(Mutex::new(Allowance {
            left: 0,
            head: Some(head),
            in_head: false,
        })))
    }

    fn allowance(&self) -> MutexGuard<'_, Allowance> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Lets `bytes` through until the head of the next response is complete.
    pub(crate) fn begin_head(&self, bytes: usize) {
        let mut allowance = self.allowance();
        allowance.left = bytes;
        allowance.in_head = true;
    }

    /// Lets `bytes` through until the body is complete. The body itself is counted by its reader.
    pub(crate) fn begin_body(&self, bytes: usize) {
        let mut allowance = self.allowance();
        allowance.left = bytes;
        allowance.in_head = false;
        if let Some(head) = &mut allowance.head {
            head.release();
        }
    }

    fn count(&self, bytes: usize) -> io::Result<()> {
        let mut allowance = self.allowance();
        let left = allowance.left.checked_sub(bytes);
        allowance.left = left.ok_or_else(|| too_much("the response is too long"))?;
        if allowance.in_head
            && let Some(head) = &mut allowance.head
        {
            head.add(bytes).map_err(|err| too_much(&err.to_string()))?;
        }
        Ok(())
    }
}

fn too_much(reason: &str) -> io::Error {
    io::Error::new(ErrorKind::InvalidData, reason)
}

/// A connection whose reads are limited by a [`ReadMeter`].
#[derive(Debug)]
pub struct MeteredStream {
    stream: TcpStream,
    meter: Arc<ReadMeter>,
}

impl MeteredStream {
    /// Limits the reads of a connection.
    #[must_use]
    pub fn new(stream: TcpStream, meter: Arc<ReadMeter>) -> Self {
        Self { stream, meter }
    }
}

impl AsyncRead for MeteredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        Poll::Ready(self.meter.count(buf.filled().len() - before))
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
