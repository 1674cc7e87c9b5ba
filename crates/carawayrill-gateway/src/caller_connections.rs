//! The open connections of callers, and which of them are idle.
//!
//! Callers keep connections open for further requests, and each takes a descriptor. If callers take
//! them all, this front can't connect to servers any more. So there is a limit, at which the
//! connection that has been idle for longest is closed. Its caller has to expect that at any time.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use tokio::sync::Notify;

/// The connections of callers.
#[derive(Debug)]
pub(crate) struct CallerConnections {
    max: usize,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    open: usize,
    /// The number of times that a connection has become idle.
    turns: u64,
    /// The idle connections, by the turn in which they became idle.
    idle: BTreeMap<u64, Arc<Notify>>,
}

/// An open connection. Dropping it records that the connection has ended.
#[derive(Debug)]
pub(crate) struct CallerConnection {
    connections: Arc<CallerConnections>,
    close: Arc<Notify>,
    /// The turn in which it became idle, unless a request is being served on it.
    idle_since: Mutex<Option<u64>>,
}

impl CallerConnections {
    /// Creates the table of a front that keeps at most `max` connections open.
    pub(crate) fn new(max: usize) -> Arc<Self> {
        Arc::new(Self {
            max,
            state: Mutex::default(),
        })
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the number of open connections.
    pub(crate) fn open(&self) -> usize {
        self.state().open
    }

    /// Adds a new connection. At the limit the connection that has been idle for longest is closed for
    /// it. Returns `None` if there is no idle one.
    pub(crate) fn add(self: &Arc<Self>) -> Option<CallerConnection> {
        let mut state = self.state();
        if state.open >= self.max {
            let (_turn, close) = state.idle.pop_first()?;
            close.notify_one();
        }
        state.open += 1;
        drop(state);
        let connection = CallerConnection {
            connections: Arc::clone(self),
            close: Arc::default(),
            idle_since: Mutex::default(),
        };
        connection.end_request();
        Some(connection)
    }
}

impl CallerConnection {
    fn idle_since(&self) -> MutexGuard<'_, Option<u64>> {
        let idle_since = self.idle_since.lock();
        idle_since.unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that a request has arrived on the connection.
    pub(crate) fn begin_request(&self) {
        let turn = self.idle_since().take();
        if let Some(turn) = turn {
            self.connections.state().idle.remove(&turn);
        }
    }

    /// Records that the request was answered, so that the connection may be closed.
    pub(crate) fn end_request(&self) {
        let mut state = self.connections.state();
        state.turns += 1;
        let turn = state.turns;
        state.idle.insert(turn, Arc::clone(&self.close));
        *self.idle_since() = Some(turn);
    }

    /// Waits until the connection has to be closed for another one.
    pub(crate) async fn closing(&self) {
        self.close.notified().await;
    }
}

impl Drop for CallerConnection {
    fn drop(&mut self) {
        self.begin_request();
        self.connections.state().open -= 1;
    }
}
