//! One process of the model.

use carawayrill_core::assignment::Block;
use carawayrill_core::id::ControllerId;
use carawayrill_core::id::Incarnation;
use carawayrill_core::id::ServerId;
use carawayrill_core::id::Version;
use carawayrill_core::ownership::evidence::RouterIncarnation;
use carawayrill_core::ownership::home;
use carawayrill_core::ownership::home::HomeTable;
use carawayrill_core::ownership::limits::Limits;
use carawayrill_core::ownership::limits::Mechanisms;
use carawayrill_core::ownership::limits::Policy;
use carawayrill_core::ownership::server::FenceTable;
use carawayrill_core::ownership::takeover;
use carawayrill_core::ownership::takeover::TakeoverTable;
use carawayrill_core::time::Time;

use super::clock::Clock;
use super::clock::Micros;
use super::planner::View;
use super::topology;
use super::topology::CONTROLLERS;
use super::topology::NODES;
use super::topology::ROUTERS;
use super::topology::SERVERS;

/// The configuration of all processes.
#[derive(Debug, Clone, Copy)]
pub struct Setup {
    pub limits: Limits,
    pub policy: Policy,
    pub mechanisms: Mechanisms,
}

#[derive(Debug)]
pub enum Kind {
    Server(FenceTable),
    Router(Box<HomeTable>),
    Controller(Box<Controller>),
    Store,
}

#[derive(Debug)]
pub struct Controller {
    pub table: TakeoverTable,
    pub view: View,
    pub leading: bool,
    pub other_last_heartbeat: Time,
    pub block: Option<(Version, Block)>,
    pub last_plan: Time,
}

#[derive(Debug)]
pub struct Node {
    pub name: &'static str,
    pub data_centre: usize,
    pub up: bool,
    /// Start count of the process; messages to an earlier start are dropped.
    pub boot: u64,
    pub paused_until: Micros,
    pub clock: Clock,
    pub kind: Kind,
}

impl Node {
    pub fn start(ix: usize, now: Micros, boot: u64, ppm: i64, setup: &Setup) -> Self {
        let (name, data_centre) = NODES[ix];
        let own_incarnation = Incarnation(boot);
        let clock = Clock {
            started_at: now,
            offset: if SERVERS.contains(&ix) {
                10_000 * boot
            } else {
                0
            },
            ppm,
        };
        let mut node = Self {
            name,
            data_centre,
            up: true,
            boot,
            paused_until: 0,
            clock,
            kind: Kind::Store,
        };
        if SERVERS.contains(&ix) {
            let id = ServerId::try_from(name).expect("valid server ID");
            let checking = setup.mechanisms.fence && setup.policy.fencing;
            node.kind = Kind::Server(FenceTable::new(id, own_incarnation).checking(checking));
        } else if ROUTERS.contains(&ix) {
            let me = RouterIncarnation {
                router: name.parse().expect("valid router ID"),
                incarnation: own_incarnation,
            };
            let mut table = HomeTable::new(me, setup.limits).with_mechanisms(setup.mechanisms);
            table.input(Time(0), home_policy(setup));
            node.kind = Kind::Router(Box::new(table));
        } else if CONTROLLERS.contains(&ix) {
            let me = ControllerId::try_from(name).expect("valid controller ID");
            let mut table = TakeoverTable::new(me, setup.limits).with_mechanisms(setup.mechanisms);
            table.input(Time(0), takeover_policy(setup));
            node.kind = Kind::Controller(Box::new(Controller {
                table,
                view: View::default(),
                leading: false,
                other_last_heartbeat: Time(0),
                block: None,
                last_plan: Time(0),
            }));
        }
        node
    }

    pub fn region(&self) -> usize {
        topology::region(self.data_centre)
    }

    pub fn runs(&self, now: Micros) -> bool {
        self.up && self.paused_until <= now
    }
}

pub fn home_policy(setup: &Setup) -> home::Input {
    home::Input::Policy {
        service: topology::service(),
        policy: setup.policy,
    }
}

pub fn takeover_policy(setup: &Setup) -> takeover::Input {
    takeover::Input::Policy {
        service: topology::service(),
        policy: setup.policy,
    }
}
