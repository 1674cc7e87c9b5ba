//! Parser of traces.

use std::collections::BTreeMap;
use std::str::FromStr;

use serde::Deserialize;

use super::statement::Statement;
use crate::Error;
use crate::event::Event;
use crate::hlc::Stamp;
use crate::id::NodeId;

/// The version of the trace format that this module reads and the recorder writes.
pub const VERSION: u32 = 1;

/// A trace: events in order, and statements about them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Trace {
    /// Description for readers of the trace.
    pub about: String,
    /// The events, each with its line number, counted from 1.
    pub events: Vec<(usize, Event)>,
    /// The statements, each with its line number.
    pub statements: Vec<(usize, Statement)>,
}

/// The first line of a trace.
#[derive(Debug, Deserialize)]
struct Header {
    carawayrill_trace: u32,
    #[serde(default)]
    about: String,
}

/// Checks that the events are in the order of their time stamps and none is missing.
#[derive(Debug, Default)]
struct EventOrder {
    at: Stamp,
    sequences: BTreeMap<NodeId, u64>,
}

impl FromStr for Trace {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let mut lines = (1..).zip(text.lines());
        let (_, first) = lines
            .next()
            .ok_or_else(|| Error::trace(1, "the trace is empty"))?;
        let mut trace = Self {
            about: read_header(first)?,
            ..Self::default()
        };
        let mut order = EventOrder::default();
        for (number, line) in lines {
            trace.read_line(number, line, &mut order)?;
        }
        let last = text.lines().count();
        if !text.ends_with('\n') {
            return Err(Error::trace(
                last,
                "the trace is truncated: the last line has no newline",
            ));
        }
        if trace.statements.is_empty() {
            let reason = "the trace is truncated: it has no statement";
            return Err(Error::trace(last, reason));
        }
        trace.check_statements()?;
        Ok(trace)
    }
}

fn read_header(line: &str) -> Result<String, Error> {
    let header: Header = serde_json::from_str(line).map_err(|err| {
        Error::trace(1, format!("could not parse the header of the trace: {err}"))
    })?;
    if header.carawayrill_trace != VERSION {
        let found = header.carawayrill_trace;
        let reason =
            format!("unknown version {found} of the trace format; the known version is {VERSION}");
        return Err(Error::trace(1, reason));
    }
    Ok(header.about)
}

impl Trace {
    fn read_line(
        &mut self,
        number: usize,
        line: &str,
        order: &mut EventOrder,
    ) -> Result<(), Error> {
        let line_error = |err: serde_json::Error| {
            let what = if err.is_eof() {
                "is truncated"
            } else {
                "could not be parsed"
            };
            Error::trace(number, format!("the line {what}: {err}"))
        };
        let value: serde_json::Value = serde_json::from_str(line).map_err(line_error)?;
        if value.get("statement").is_some() {
            let statement = serde_json::from_value(value).map_err(line_error)?;
            self.statements.push((number, statement));
            return Ok(());
        }
        let event: Event = serde_json::from_value(value).map_err(line_error)?;
        order.check_next(number, &event)?;
        self.events.push((number, event));
        Ok(())
    }

    /// Checks that the events that statements refer to exist.
    fn check_statements(&self) -> Result<(), Error> {
        let count = self.events.len();
        for (line, statement) in &self.statements {
            let last = statement.last_event();
            if last > count {
                let reason = format!(
                    "the statement refers to event {last}; the number of events is {count}"
                );
                return Err(Error::trace(*line, reason));
            }
        }
        Ok(())
    }
}

impl EventOrder {
    fn check_next(&mut self, number: usize, event: &Event) -> Result<(), Error> {
        if event.at < self.at {
            let reason = format!("out of order: {} follows {}", event.at, self.at);
            return Err(Error::trace(number, reason));
        }
        self.at = event.at;
        let last = self.sequences.insert(event.node.clone(), event.seq);
        match last {
            // A restarted process counts its events from 0 again.
            Some(last) if event.seq != last + 1 && event.seq != 0 => {
                let (node, seq) = (&event.node, event.seq);
                let reason =
                    format!("out of order: event {seq} of {node} follows its event {last}");
                Err(Error::trace(number, reason))
            }
            _ => Ok(()),
        }
    }
}
