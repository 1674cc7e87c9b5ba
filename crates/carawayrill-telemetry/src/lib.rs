//! Events, logs and metrics of a process.
//!
//! [`init`] is called once, at the start of `main`. After that, [`emit`] writes events, and the
//! macros of the `log` crate write messages. Both are written to standard error as JSON lines in
//! the schema of [`carawayrill_core::event`]. `RUST_LOG` filters messages as usual. Events are
//! always written, except those of single requests and of inputs, which need the targets `request`
//! and `input` at level `debug`.

use std::io::Write;
use std::net::SocketAddr;
use std::net::UdpSocket;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use cadence::NopMetricSink;
use cadence::QueuingMetricSink;
use cadence::StatsdClient;
use cadence::UdpMetricSink;
use carawayrill_core::event::Event;
use carawayrill_core::event::EventKind;
use carawayrill_core::hlc::HybridClock;
use carawayrill_core::hlc::Stamp;
use carawayrill_core::id::NodeId;
use carawayrill_core::time::WallTime;
use carawayrill_core::time::millis;
use compact_str::format_compact;
use env_logger::Builder;
use env_logger::Env;
use env_logger::Target;
use env_logger::WriteStyle;
use log::LevelFilter;

mod error;
mod pipe;

pub use crate::error::Error;

/// Log target of events, whose text is already serialised.
const EVENT_TARGET: &str = "event";
/// Log target of events of single requests.
const REQUEST_TARGET: &str = "request";
/// Log target of inputs of decision code.
const INPUT_TARGET: &str = "input";

/// Prefix of all metric names.
const METRIC_PREFIX: &str = "carawayrill";

/// The origin of the events of this process.
#[derive(Debug)]
struct EventSource {
    node: NodeId,
    state: Mutex<SourceState>,
}

#[derive(Debug, Default)]
struct SourceState {
    clock: HybridClock,
    seq: u64,
}

/// Maximum time to wait at exit until the buffered lines are written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(300);

static STDOUT: OnceLock<pipe::BoundedStdout> = OnceLock::new();

static SOURCE: OnceLock<EventSource> = OnceLock::new();

/// Initialises events and logs on standard error, for the process named `node`.
///
/// # Errors
///
/// Fails if it was called before, or if another logger is set.
pub fn init(node: NodeId) -> Result<(), Error> {
    init_to(node, Target::Stderr)
}

/// Initialises events and logs on standard output, through a bounded buffer that never blocks.
///
/// # Errors
///
/// Fails if it was called before, if another logger is set, or if the thread that writes the buffer
/// can't be started.
pub fn init_stdout(node: NodeId) -> Result<(), Error> {
    let out = pipe::BoundedStdout::start().map_err(|err| Error::output(&err.to_string()))?;
    let _first = STDOUT.set(out.clone());
    init_to(node, Target::Pipe(Box::new(out)))
}

/// Waits a bounded time until the lines of [`init_stdout`] are written. To be called before the
/// process ends.
pub fn flush() {
    if let Some(out) = STDOUT.get() {
        out.flush_within(FLUSH_TIMEOUT);
    }
}

fn init_to(node: NodeId, target: Target) -> Result<(), Error> {
    let source = EventSource {
        node,
        state: Mutex::new(SourceState::default()),
    };
    SOURCE
        .set(source)
        .map_err(|_source| Error::already_initialised())?;
    Builder::from_env(Env::default().default_filter_or("info"))
        .filter_module(EVENT_TARGET, LevelFilter::Info)
        .write_style(WriteStyle::Never)
        .target(target)
        .format(|out, record| {
            if [EVENT_TARGET, REQUEST_TARGET, INPUT_TARGET].contains(&record.target()) {
                return writeln!(out, "{}", record.args());
            }
            writeln!(out, "{}", event_line(message_event(record)))
        })
        .try_init()
        .map_err(|_err| Error::already_initialised())
}

/// Converts a log record to an event.
fn message_event(record: &log::Record<'_>) -> EventKind {
    EventKind::Message {
        level: format_compact!("{}", record.level()).to_lowercase(),
        target: record.target().into(),
        text: record.args().to_string(),
    }
}

/// Serialises an event with its timestamp and sequence number.
fn event_line(kind: EventKind) -> String {
    let Some(source) = SOURCE.get() else {
        return String::new();
    };
    let (at, seq) = {
        let mut state = source.state.lock().unwrap_or_else(PoisonError::into_inner);
        let at = state.clock.tick(wall_now());
        let seq = state.seq;
        state.seq += 1;
        (at, seq)
    };
    let event = Event {
        at,
        node: source.node.clone(),
        seq,
        kind,
    };
    serde_json::to_string(&event)
        .unwrap_or_else(|err| format!("{{\"event\":\"unwritable\",\"why\":\"{err}\"}}"))
}

/// Writes an event. Does nothing before [`init`].
pub fn emit(kind: EventKind) {
    if SOURCE.get().is_some() {
        log::info!(target: EVENT_TARGET, "{}", event_line(kind));
    }
}

/// Writes an event of a single request, if `RUST_LOG` enables the target `request` at `debug`.
pub fn emit_request(kind: impl FnOnce() -> EventKind) {
    if SOURCE.get().is_some() && log::log_enabled!(target: REQUEST_TARGET, log::Level::Debug) {
        log::debug!(target: REQUEST_TARGET, "{}", event_line(kind()));
    }
}

/// Writes an input of decision code as an event that can be replayed, if `RUST_LOG` enables the
/// target `input` at `debug`.
pub fn emit_input<T: serde::Serialize>(table: &'static str, input: &T) {
    if SOURCE.get().is_none() || !log::log_enabled!(target: INPUT_TARGET, log::Level::Debug) {
        return;
    }
    match serde_json::to_value(input) {
        Ok(input) => {
            let kind = EventKind::Input {
                table: table.into(),
                input,
            };
            log::debug!(target: INPUT_TARGET, "{}", event_line(kind));
        }
        Err(err) => log::error!("could not serialise an input of {table}: {err}"),
    }
}

/// Returns the timestamp for a message that is about to be sent.
#[must_use]
pub fn stamp() -> Stamp {
    with_clock(|clock| clock.tick(wall_now()))
}

/// Advances the clock past the timestamp of a received message, so that later events of this
/// process are ordered after it.
pub fn observe(remote: Stamp) {
    with_clock(|clock| clock.observe(remote, wall_now()));
}

/// Runs `f` on the clock of the process, or on a new clock before [`init`].
fn with_clock(f: impl FnOnce(&mut HybridClock) -> Stamp) -> Stamp {
    match SOURCE.get() {
        Some(source) => f(&mut source
            .state
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clock),
        None => f(&mut HybridClock::default()),
    }
}

/// Returns the wall-clock time.
#[must_use]
pub fn wall_now() -> WallTime {
    WallTime(
        SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, millis),
    )
}

/// Creates a metrics client that sends to the statsd server at `address`, or discards all metrics
/// if there is none.
///
/// # Errors
///
/// Fails if no UDP socket can be opened.
pub fn metrics_client(address: Option<SocketAddr>) -> Result<StatsdClient, Error> {
    let Some(address) = address else {
        return Ok(StatsdClient::from_sink(METRIC_PREFIX, NopMetricSink));
    };
    let socket = UdpSocket::bind("0.0.0.0:0").map_err(|err| Error::metrics(&err.to_string()))?;
    let sink =
        UdpMetricSink::from(address, socket).map_err(|err| Error::metrics(&err.to_string()))?;
    Ok(StatsdClient::from_sink(
        METRIC_PREFIX,
        QueuingMetricSink::from(sink),
    ))
}
