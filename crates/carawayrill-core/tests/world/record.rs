//! Records a simulation as a trace.

use std::collections::BTreeMap;

use carawayrill_core::event::Event;
use carawayrill_core::event::EventKind;
use carawayrill_core::hlc::Stamp;
use carawayrill_core::id::Incarnation;
use carawayrill_core::replay;
use carawayrill_core::replay::ServerInput;
use carawayrill_core::replay::Start;
use serde::Serialize;

use super::World;
use super::clock::MS;
use super::message::NodeIndex;
use super::node;
use super::node::Kind;

/// The lines of a trace.
#[derive(Debug, Default)]
pub struct Recorder {
    pub lines: Vec<String>,
    nodes: Vec<NodeIndex>,
    sequences: BTreeMap<NodeIndex, u64>,
    count: u32,
}

impl Recorder {
    pub fn new(nodes: &[NodeIndex]) -> Self {
        Self {
            nodes: nodes.to_vec(),
            ..Self::default()
        }
    }
}

impl World {
    /// Records one input of a node's table.
    pub fn record<T: Serialize>(&mut self, ix: NodeIndex, table: &str, now: u64, input: &T) {
        if self.trace.is_some() {
            self.write_event(ix, replay::recorded(table, now, input));
        }
    }

    pub fn write_event(&mut self, ix: NodeIndex, kind: EventKind) {
        let Some(trace) = &mut self.trace else {
            return;
        };
        if !trace.nodes.contains(&ix) {
            return;
        }
        let seq = trace.sequences.entry(ix).or_default();
        trace.count += 1;
        let event = Event {
            at: Stamp {
                wall: self.now / MS,
                count: trace.count,
            },
            node: self.nodes[ix].name.parse().expect("valid node ID"),
            seq: *seq,
            kind,
        };
        *seq += 1;
        let line = serde_json::to_string(&event).expect("serialisable event");
        trace.lines.push(line);
    }

    /// Records the start of a node's table and its policy.
    pub fn record_start(&mut self, ix: NodeIndex) {
        let node = &self.nodes[ix];
        let setup = self.setup;
        let incarnation = Incarnation(node.boot);
        let start = Start {
            name: node.name.into(),
            incarnation,
            limits: setup.limits,
        };
        match node.kind {
            Kind::Server(_) => {
                let start = ServerInput::Start {
                    server: node.name.parse().expect("valid server ID"),
                    incarnation,
                    checking: setup.mechanisms.fence && setup.policy.fencing,
                };
                let clock = node.clock.server(self.now);
                self.record(ix, "server", clock.0, &start);
            }
            Kind::Router(_) => {
                self.record(ix, "home", 0, &start);
                self.record(ix, "home", 0, &node::home_policy(&setup));
            }
            Kind::Controller(_) => {
                self.record(ix, "takeover", 0, &start);
                self.record(ix, "takeover", 0, &node::takeover_policy(&setup));
            }
            Kind::Store => {}
        }
    }
}
