//! Cuts off callers that do not read their responses.
//!
//! A response is held until its caller has read it. A caller that has stopped reading would keep it
//! for ever, and many that read slowly would leave no room for the responses of others.

use std::io;
use std::io::ErrorKind;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use carawayrill_core::event::EventKind;
use carawayrill_core::time::Time;
use carawayrill_core::time::millis;
use carawayrill_telemetry::emit;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::time::Instant;
use tokio::time::Sleep;

use crate::clock;
use crate::state::Shared;

/// The interval between two checks of a caller that does not read at the moment.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Why a caller is cut off.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CutOff {
    /// It has stopped reading.
    Stalled,
    /// It has taken long, and the memory for responses runs out.
    Slow,
}

impl CutOff {
    /// Returns the name in logs and metrics.
    fn label(self) -> &'static str {
        match self {
            Self::Stalled => "stalled",
            Self::Slow => "slow",
        }
    }
}

/// A response that is being written.
#[derive(Debug, Clone, Copy)]
struct Delivery {
    began: Time,
    progressed: Time,
}

/// A caller's connection that ends if the caller takes too long to read a response.
#[derive(Debug)]
pub(crate) struct DeliveryStream<S> {
    stream: S,
    shared: Arc<Shared>,
    /// The longest time without progress.
    max_stall: Duration,
    delivery: Option<Delivery>,
    timer: Pin<Box<Sleep>>,
}

impl<S> DeliveryStream<S> {
    /// Wraps a connection on which a caller may stop reading for `max_stall`.
    pub(crate) fn new(stream: S, shared: Arc<Shared>, max_stall: Duration) -> Self {
        Self {
            stream,
            shared,
            max_stall,
            delivery: None,
            timer: Box::pin(tokio::time::sleep(CHECK_INTERVAL)),
        }
    }

    /// Passes on the result of a write, and fails instead of waiting if the caller is cut off.
    fn check(
        &mut self,
        written: Poll<io::Result<usize>>,
        cx: &mut Context<'_>,
    ) -> Poll<io::Result<usize>> {
        let now = clock::now();
        let delivery = self.delivery.get_or_insert(Delivery {
            began: now,
            progressed: now,
        });
        if written.is_ready() {
            delivery.progressed = now;
            return written;
        }
        let delivery = *delivery;
        loop {
            if let Some(reason) = self.cut_off(delivery, clock::now()) {
                return Poll::Ready(Err(self.record(reason, delivery)));
            }
            ready!(self.timer.as_mut().poll(cx));
            self.timer.as_mut().reset(Instant::now() + CHECK_INTERVAL);
        }
    }

    fn cut_off(&self, delivery: Delivery, now: Time) -> Option<CutOff> {
        if now.since(delivery.progressed) > self.max_stall {
            return Some(CutOff::Stalled);
        }
        let max_time = self.shared.buffers.max_delivery_time(self.max_stall)?;
        (now.since(delivery.began) > max_time).then_some(CutOff::Slow)
    }

    fn record(&self, reason: CutOff, delivery: Delivery) -> io::Error {
        let label = reason.label();
        let cut_off = &self.shared.metrics.callers_cut_off;
        cut_off.with_label_values(&[label]).inc();
        emit(EventKind::CallerCutOff {
            reason: label.into(),
            took_ms: millis(clock::now().since(delivery.began)),
        });
        io::Error::new(ErrorKind::TimedOut, "the caller does not read its response")
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for DeliveryStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for DeliveryStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.check(written, cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.check(written, cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // The HTTP library flushes once it has written everything.
        self.delivery = None;
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
