//! The shard of a hot key stays on its server when its range moves.

use carawayrill_core::assignment::Assignment;
use carawayrill_core::assignment::Block;
use carawayrill_core::assignment::BlockId;
use carawayrill_core::assignment::Reason;
use carawayrill_core::id::Incarnation;
use carawayrill_core::id::KeyHash;
use carawayrill_core::id::ServiceId;
use carawayrill_core::id::ShardId;
use carawayrill_core::id::Version;
use carawayrill_core::order::HeldGrant;
use carawayrill_core::order::LoadReport;
use carawayrill_core::order::Order;
use carawayrill_core::order::OrderAck;
use carawayrill_core::order::OrderReply;
use carawayrill_core::ownership::evidence::RouterIncarnation;
use carawayrill_core::ownership::home::Action;
use carawayrill_core::ownership::home::BlockVersion;
use carawayrill_core::ownership::home::HomeTable;
use carawayrill_core::ownership::home::Input;
use carawayrill_core::ownership::limits::Limits;
use carawayrill_core::ownership::limits::Policy;
use carawayrill_core::time::ServerTime;
use carawayrill_core::time::Time;
use carawayrill_core::time::WallTime;
use carawayrill_core::token::Token;

const INCARNATION: Incarnation = Incarnation(1);
const STEP_MS: u64 = 50;

fn service() -> ServiceId {
    "forms".parse().expect("valid ID")
}

fn range() -> ShardId {
    ShardId::range(service(), 0)
}

fn hot() -> ShardId {
    ShardId::hot(service(), KeyHash(7))
}

fn row(shard: ShardId, owner: &str, standby: &str, term: u64) -> Assignment {
    Assignment {
        shard,
        owner: owner.parse().expect("valid ID"),
        standby: Some(standby.parse().expect("valid ID")),
        home: "r-1".parse().expect("valid ID"),
        home_run: INCARNATION,
        standby_home: None,
        standby_home_run: Incarnation(0),
        token: Token::new(term, 1),
        reason: Reason::Initial,
        since: WallTime(0),
    }
}

fn block(rows: Vec<Assignment>) -> Block {
    let mut block = Block::empty(BlockId {
        service: service(),
        index: 0,
    });
    for row in rows {
        block.set(row);
    }
    block
}

/// A home whose servers apply each order immediately and whose store always answers.
struct SimulatedHome {
    table: HomeTable,
    now: u64,
    version: Version,
}

impl SimulatedHome {
    fn new() -> Self {
        let me = RouterIncarnation {
            router: "r-1".parse().expect("valid ID"),
            incarnation: INCARNATION,
        };
        let mut table = HomeTable::new(me, Limits::default());
        let policy = Policy {
            ranges: 1,
            ..Policy::default()
        };
        table.input(
            Time(0),
            Input::Policy {
                service: service(),
                policy,
            },
        );
        Self {
            table,
            now: STEP_MS,
            version: Version(0),
        }
    }

    fn store(&mut self, block: Block) {
        self.version = self.version.next();
        let (started, version) = (Time(self.now), self.version);
        self.table.input(
            Time(self.now + 1),
            Input::Block {
                started,
                version,
                block,
            },
        );
    }

    fn run(&mut self, span_ms: u64) {
        let end = self.now + span_ms;
        while self.now < end {
            self.now += STEP_MS;
            let mut actions = self.table.tick(Time(self.now));
            while let Some(action) = actions.pop() {
                if let Some(input) = self.answer(action) {
                    actions.extend(self.table.input(Time(self.now + 2), input));
                }
            }
        }
    }

    fn answer(&self, action: Action) -> Option<Input> {
        match action {
            Action::Order { server, orders } => {
                let acks = orders.iter().map(accepted_ack).collect();
                let (clock, load) = (ServerTime(self.now + 1), LoadReport::default());
                let reply = OrderReply {
                    server,
                    incarnation: INCARNATION,
                    clock,
                    load,
                    acks,
                };
                Some(Input::OrderReply {
                    sent: Time(self.now + 1),
                    orders,
                    reply,
                })
            }
            Action::CheckVersions { blocks } => {
                let version = self.version;
                let versions = blocks
                    .into_iter()
                    .map(|block| BlockVersion { block, version });
                let versions = versions.collect();
                Some(Input::Versions {
                    started: Time(self.now + 1),
                    versions,
                })
            }
            Action::Quiesce { shard } => Some(Input::Quiesced { shard }),
            _ => None,
        }
    }

    fn server_of(&self, shard: &ShardId) -> Option<String> {
        let permit = self.table.permit(Time(self.now + 3), shard).ok()?;
        Some(permit.server.to_string())
    }
}

fn accepted_ack(order: &Order) -> OrderAck {
    let (shard, highest, held) = match order {
        Order::Grant {
            shard,
            token,
            until,
            ..
        } => (
            shard,
            *token,
            Some(HeldGrant {
                token: *token,
                until: *until,
            }),
        ),
        Order::Revoke { shard, token } => (shard, *token, None),
        Order::Fence { shard, term } => (shard, Token::new(term.0, 0), None),
    };
    OrderAck {
        shard: shard.clone(),
        accepted: true,
        highest,
        held,
        running: 0,
    }
}

#[test]
fn a_hot_key_stays_on_its_server_when_its_range_moves() {
    let mut home = SimulatedHome::new();
    home.store(block(vec![row(range(), "s-1", "s-2", 2)]));
    home.run(1_000);
    assert_eq!(Some("s-1".to_owned()), home.server_of(&range()));

    home.store(block(vec![
        row(range(), "s-1", "s-2", 2),
        row(hot(), "s-1", "s-2", 2),
    ]));
    home.run(1_000);
    assert_eq!(Some("s-1".to_owned()), home.server_of(&hot()));

    home.store(block(vec![
        row(range(), "s-2", "s-1", 4),
        row(hot(), "s-1", "s-2", 2),
    ]));
    home.run(5_000);
    assert_eq!(Some("s-2".to_owned()), home.server_of(&range()));
    assert_eq!(
        Some("s-1".to_owned()),
        home.server_of(&hot()),
        "after its range has moved"
    );
}
