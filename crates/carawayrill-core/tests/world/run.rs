//! Message handling of each kind of node.

use carawayrill_core::event::EventKind;
use carawayrill_core::id::Incarnation;
use carawayrill_core::id::RouterId;
use carawayrill_core::id::ServerId;
use carawayrill_core::id::ShardId;
use carawayrill_core::order::Order;
use carawayrill_core::ownership::home;
use carawayrill_core::ownership::home::BlockVersion;
use carawayrill_core::ownership::takeover;
use carawayrill_core::replay::ServerInput;
use carawayrill_core::replay::Tick;
use carawayrill_core::time::ServerTime;
use carawayrill_core::time::Time;
use carawayrill_core::time::WallTime;
use carawayrill_core::token::Token;
use rand::RngExt;

use super::Envelope;
use super::TICK;
use super::World;
use super::clock::MS;
use super::message::Message;
use super::message::NodeIndex;
use super::node::Kind;
use super::topology;
use super::topology::CONTROLLERS;
use super::topology::NODES;
use super::topology::ROUTERS;
use super::topology::STORE;
use super::topology::node_ix;

/// Interval of a router's heartbeats, in ticks.
const HEARTBEAT_TICKS: u64 = 6;
/// Interval of a controller's planning, in milliseconds.
const PLAN_EVERY_MS: u128 = 250;
/// Silence of the first controller after which the second one leads, in milliseconds.
const LEASE_MS: u128 = 2_000;

impl World {
    pub(super) fn handle(&mut self, envelope: Envelope) {
        let to = envelope.to;
        match self.nodes[to].kind {
            Kind::Store => self.handle_store(envelope),
            Kind::Server(_) => self.handle_server(envelope),
            Kind::Router(_) => self.handle_router(envelope),
            Kind::Controller(_) => self.handle_controller(envelope),
        }
    }

    fn handle_store(&mut self, envelope: Envelope) {
        let from = envelope.from;
        if let Message::Tick = envelope.message {
            let hint = Message::Hint {
                version: self.store.version,
                block: self.store.block.clone(),
            };
            for ix in ROUTERS {
                if !self.store.down {
                    self.send(STORE, ix, hint.clone());
                }
            }
            self.send_to_self(STORE, 700 * MS, Message::Tick);
            return;
        }
        if self.store.down {
            return;
        }
        let slow = self.store.slow_ms * MS;
        let delay = MS
            + if slow > 0 {
                self.rng.random_range(0..slow)
            } else {
                0
            };
        let version = self.store.version;
        let reply = match envelope.message {
            Message::Read { started } => Message::ReadReply {
                started,
                version,
                block: self.store.block.clone(),
            },
            Message::Check { started } => Message::CheckReply { started, version },
            Message::Write { expected, block } => {
                let lost = self.rng.random_range(0..100) < self.store.lost_reply_percent;
                if lost && self.rng.random_bool(0.3) {
                    // The write takes no effect here, but the caller can't know that.
                    return self.send_after(STORE, from, delay, Message::WriteFailed);
                }
                let written = self.store.write(expected, block);
                self.check_stored();
                self.send_hints();
                match written {
                    Some(_) if lost && self.rng.random_bool(0.5) => return,
                    Some(_) if lost => Message::WriteFailed,
                    Some(version) => Message::Written { version },
                    None => Message::WriteFailed,
                }
            }
            _ => return,
        };
        self.send_after(STORE, from, delay, reply);
    }

    fn send_hints(&mut self) {
        let hint = Message::Hint {
            version: self.store.version,
            block: self.store.block.clone(),
        };
        for ix in ROUTERS {
            self.send(STORE, ix, hint.clone());
        }
    }

    fn handle_server(&mut self, envelope: Envelope) {
        let ix = envelope.to;
        let clock = self.nodes[ix].clock.server(self.now);
        let expires_from_receipt = !self.setup.mechanisms.server_clock;
        let Kind::Server(fence) = &mut self.nodes[ix].kind else {
            return;
        };
        match envelope.message {
            Message::Orders { sent, orders } => {
                let applied = if expires_from_receipt {
                    expire_from_receipt(clock, &orders)
                } else {
                    orders.clone()
                };
                let reply = fence.apply(clock, &applied);
                let input = ServerInput::Orders { orders: applied };
                self.record(ix, "server", clock.0, &input);
                self.send(
                    ix,
                    envelope.from,
                    Message::OrderReply {
                        sent,
                        orders,
                        reply,
                    },
                );
            }
            Message::Request { shard, token, .. } => self.start_request(ix, shard, token),
            Message::Finish { shard } => fence.finish(&shard),
            _ => {}
        }
    }

    /// Runs a request on a server, unless the server refuses it.
    fn start_request(&mut self, ix: NodeIndex, shard: ShardId, token: Token) {
        let clock = self.nodes[ix].clock.server(self.now);
        let Kind::Server(fence) = &mut self.nodes[ix].kind else {
            return;
        };
        if fence.start(clock, &shard, token).is_err() {
            return;
        }
        self.check_run(ix, &shard, token);
        let span = self.rng.random_range(1..30) * MS;
        self.send_to_self(ix, span, Message::Finish { shard });
    }

    fn handle_router(&mut self, envelope: Envelope) {
        let (ix, from) = (envelope.to, envelope.from);
        let now = self.nodes[ix].clock.local(self.now);
        let input = match envelope.message {
            Message::Tick => return self.tick_router(ix, now),
            Message::Confirm(permit) => {
                let Kind::Router(table) = &self.nodes[ix].kind else {
                    return;
                };
                let confirmed = table.confirm(now, &permit).is_ok();
                if confirmed && !self.setup.policy.fencing {
                    return self.write_request(ix, permit);
                }
                if confirmed {
                    let gap = self.rng.random_range(0..MS);
                    self.send_to_self(ix, gap, Message::Send(permit));
                }
                return;
            }
            Message::Send(permit) => return self.write_request(ix, permit),
            Message::Heartbeat { incarnation, .. } => home::Input::PeerSeen {
                router: router(from),
                incarnation,
            },
            Message::OrderReply {
                sent,
                orders,
                reply,
            } => home::Input::OrderReply {
                sent,
                orders,
                reply,
            },
            Message::ReadReply {
                started,
                version,
                block,
            } => home::Input::Block {
                started,
                version,
                block,
            },
            Message::CheckReply { started, version } => {
                let versions = vec![BlockVersion {
                    block: topology::block_id(),
                    version,
                }];
                home::Input::Versions { started, versions }
            }
            Message::Written { version } => home::Input::Written {
                block: topology::block_id(),
                version,
            },
            Message::WriteFailed => home::Input::WriteFailed {
                block: topology::block_id(),
            },
            Message::Hint { version, block } => home::Input::Hint { version, block },
            Message::AskStandby {
                asked,
                promise,
                rows,
            } => home::Input::Standby {
                ask: asked.0,
                promise,
                rows,
            },
            Message::StandbyReply {
                asked,
                incarnation,
                rows,
            } => home::Input::StandbyReply {
                asked,
                router: router(from),
                incarnation,
                rows,
            },
            Message::AskRelease { rows } => home::Input::Release { ask: 0, rows },
            Message::Quiesced { shard } => home::Input::Quiesced { shard },
            _ => return,
        };
        self.apply_router_input(ix, from, now, input);
    }

    /// Writes a request to a server's socket.
    fn write_request(&mut self, ix: NodeIndex, permit: home::Permit) {
        self.check_single_receiver(&permit);
        let to = node_ix(permit.server.as_str());
        let request = Message::Request {
            shard: permit.shard,
            token: permit.token,
            to,
        };
        self.send(ix, to, request);
    }

    fn apply_router_input(
        &mut self,
        ix: NodeIndex,
        from: NodeIndex,
        now: Time,
        input: home::Input,
    ) {
        self.record(ix, "home", now.0, &input);
        let Kind::Router(table) = &mut self.nodes[ix].kind else {
            return;
        };
        let actions = table.input(now, input);
        self.perform_router_actions(ix, from, now, actions);
    }

    fn tick_router(&mut self, ix: NodeIndex, now: Time) {
        self.send_to_self(ix, TICK, Message::Tick);
        let boot = self.nodes[ix].boot;
        self.record(ix, "home", now.0, &Tick::default());
        let Kind::Router(table) = &mut self.nodes[ix].kind else {
            return;
        };
        let actions = table.tick(now);
        let lost: Vec<(ServerId, bool)> = table
            .servers()
            .filter(|seen| seen.incarnation.is_some())
            .map(|seen| (seen.server.clone(), seen.lost))
            .collect();
        let permits: Vec<home::Permit> = self
            .shards
            .iter()
            .filter_map(|shard| table.permit(now, shard).ok())
            .collect();
        self.perform_router_actions(ix, ix, now, actions);
        for permit in permits {
            if self.rng.random_bool(0.3) {
                let gap = self.rng.random_range(0..40 * MS);
                self.send_to_self(ix, gap, Message::Confirm(permit));
            }
        }
        if (self.now / TICK + ix as u64).is_multiple_of(HEARTBEAT_TICKS) {
            for to in ROUTERS.chain(CONTROLLERS).filter(|to| *to != ix) {
                let message = Message::Heartbeat {
                    incarnation: Incarnation(boot),
                    lost: lost.clone(),
                };
                self.send(ix, to, message);
            }
        }
    }

    fn perform_router_actions(
        &mut self,
        ix: NodeIndex,
        from: NodeIndex,
        now: Time,
        actions: Vec<home::Action>,
    ) {
        let incarnation = Incarnation(self.nodes[ix].boot);
        for action in actions {
            match action {
                home::Action::Order { server, orders } => self.send(
                    ix,
                    node_ix(server.as_str()),
                    Message::Orders { sent: now, orders },
                ),
                home::Action::ReadBlock { .. } => {
                    self.send(ix, STORE, Message::Read { started: now });
                }
                home::Action::CheckVersions { .. } => {
                    self.send(ix, STORE, Message::Check { started: now });
                }
                home::Action::WriteBlock { expected, block } => {
                    self.send(ix, STORE, Message::Write { expected, block });
                }
                home::Action::AskStandby { router, rows } => {
                    self.send(
                        ix,
                        node_ix(router.as_str()),
                        Message::AskStandby {
                            asked: now,
                            promise: false,
                            rows,
                        },
                    );
                }
                home::Action::Quiesce { shard } => {
                    let span = self.rng.random_range(1..60) * MS;
                    self.send_to_self(ix, span, Message::Quiesced { shard });
                }
                home::Action::AnswerRelease { released, .. } => self.send(
                    ix,
                    from,
                    Message::ReleaseReply {
                        incarnation,
                        rows: released,
                    },
                ),
                home::Action::AnswerStandby { ask, standings } => {
                    self.send(
                        ix,
                        from,
                        Message::StandbyReply {
                            asked: Time(ask),
                            incarnation,
                            rows: standings,
                        },
                    );
                }
                home::Action::Emit { kind } => {
                    if let EventKind::Granted { shard, token, .. } = &kind {
                        self.check_granted(shard, *token);
                    }
                    self.write_event(ix, kind);
                }
            }
        }
    }

    fn handle_controller(&mut self, envelope: Envelope) {
        let (ix, from) = (envelope.to, envelope.from);
        let now = self.nodes[ix].clock.local(self.now);
        let Kind::Controller(controller) = &mut self.nodes[ix].kind else {
            return;
        };
        let input = match envelope.message {
            Message::Tick => return self.tick_controller(ix, now),
            Message::Heartbeat { incarnation, lost } => {
                if ROUTERS.contains(&from) {
                    controller
                        .view
                        .routers
                        .insert(router(from), (incarnation, now));
                    for (id, lost) in lost {
                        controller.view.update_server(now, &id, lost);
                    }
                } else {
                    controller.other_last_heartbeat = now;
                }
                return;
            }
            Message::ReadReply { version, block, .. } => {
                controller.block = Some((version, block.clone()));
                takeover::Input::Block { version, block }
            }
            Message::Written { version } => takeover::Input::Written {
                block: topology::block_id(),
                version,
            },
            Message::WriteFailed => takeover::Input::WriteFailed {
                block: topology::block_id(),
            },
            Message::OrderReply {
                sent,
                orders,
                reply,
            } => takeover::Input::OrderReply {
                sent,
                orders,
                reply,
            },
            Message::ReleaseReply { incarnation, rows } => takeover::Input::ReleaseReply {
                router: router(from),
                incarnation,
                rows,
            },
            Message::StandbyReply {
                incarnation, rows, ..
            } => takeover::Input::StandbyReply {
                router: router(from),
                incarnation,
                rows,
            },
            _ => return,
        };
        let actions = controller.table.input(now, input.clone());
        self.record(ix, "takeover", now.0, &input);
        self.perform_controller_actions(ix, now, actions);
    }

    fn tick_controller(&mut self, ix: NodeIndex, now: Time) {
        self.send_to_self(ix, TICK, Message::Tick);
        let wall = WallTime(self.now / MS);
        let first = ix == CONTROLLERS.start;
        let mut inputs = Vec::new();
        let Kind::Controller(controller) = &mut self.nodes[ix].kind else {
            return;
        };
        let leads = first || now.since(controller.other_last_heartbeat).as_millis() > LEASE_MS;
        if leads != controller.leading {
            controller.leading = leads;
            inputs.push(takeover::Input::Leading { leading: leads });
        }
        let plans = leads && now.since(controller.last_plan).as_millis() >= PLAN_EVERY_MS;
        if plans {
            controller.last_plan = now;
            if let Some((_, block)) = &controller.block {
                let changes = controller.view.plan(now, &block.clone());
                inputs.extend(
                    changes
                        .into_iter()
                        .map(|change| takeover::Input::Wanted { change, wall }),
                );
            }
        }
        let mut actions = Vec::new();
        for input in &inputs {
            actions.extend(controller.table.input(now, input.clone()));
        }
        actions.extend(controller.table.tick(now));
        for input in &inputs {
            self.record(ix, "takeover", now.0, input);
        }
        self.record(ix, "takeover", now.0, &Tick::default());
        self.perform_controller_actions(ix, now, actions);
        if plans {
            self.send(ix, STORE, Message::Read { started: now });
            for to in CONTROLLERS.filter(|to| *to != ix) {
                let message = Message::Heartbeat {
                    incarnation: Incarnation(0),
                    lost: Vec::new(),
                };
                self.send(ix, to, message);
            }
        }
    }

    fn perform_controller_actions(
        &mut self,
        ix: NodeIndex,
        now: Time,
        actions: Vec<takeover::Action>,
    ) {
        for action in actions {
            match action {
                takeover::Action::ReadBlock { .. } => {
                    self.send(ix, STORE, Message::Read { started: now });
                }
                takeover::Action::WriteBlock { expected, block } => {
                    self.send(ix, STORE, Message::Write { expected, block });
                }
                takeover::Action::Order { server, orders } => self.send(
                    ix,
                    node_ix(server.as_str()),
                    Message::Orders { sent: now, orders },
                ),
                takeover::Action::AskRelease { router, rows } => {
                    self.send(ix, node_ix(router.as_str()), Message::AskRelease { rows });
                }
                takeover::Action::AskPromise { router, rows } => {
                    self.send(
                        ix,
                        node_ix(router.as_str()),
                        Message::AskStandby {
                            asked: now,
                            promise: true,
                            rows,
                        },
                    );
                }
                takeover::Action::Emit { kind } => self.write_event(ix, kind),
            }
        }
    }
}

fn router(ix: NodeIndex) -> RouterId {
    NODES[ix].0.parse().expect("valid router ID")
}

/// Replaces the ends of grants by ends that count from receipt, as without
/// [`server_clock`](carawayrill_core::ownership::limits::Mechanisms::server_clock).
fn expire_from_receipt(clock: ServerTime, orders: &[Order]) -> Vec<Order> {
    let ttl = std::time::Duration::from_millis(1_500);
    let change = |order: &Order| match order.clone() {
        Order::Grant {
            shard,
            token,
            home,
            incarnation,
            ..
        } => Order::Grant {
            shard,
            token,
            until: clock + ttl,
            home,
            incarnation,
        },
        other => other,
    };
    orders.iter().map(change).collect()
}
