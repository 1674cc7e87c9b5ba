//! A standby home checks versions as soon as its servers reply, so that it can take over, and
//! completes a takeover in which it has sent a fence.

use carawayrill_core::assignment::Assignment;
use carawayrill_core::assignment::Block;
use carawayrill_core::assignment::BlockId;
use carawayrill_core::assignment::Reason;
use carawayrill_core::event::EventKind;
use carawayrill_core::id::Incarnation;
use carawayrill_core::id::RouterId;
use carawayrill_core::id::ServerId;
use carawayrill_core::id::ServiceId;
use carawayrill_core::id::ShardId;
use carawayrill_core::id::Version;
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
use carawayrill_core::token::Term;
use carawayrill_core::token::Token;
use rstest::rstest;

const INCARNATION: Incarnation = Incarnation(1);

fn service() -> ServiceId {
    "forms".parse().expect("valid ID")
}

fn server(name: &str) -> ServerId {
    name.parse().expect("valid ID")
}

fn router(name: &str) -> RouterId {
    name.parse().expect("valid ID")
}

fn block() -> Block {
    let id = BlockId {
        service: service(),
        index: 0,
    };
    let mut block = Block::empty(id);
    block.set(Assignment {
        shard: ShardId::range(service(), 0),
        owner: server("s-1"),
        standby: Some(server("s-2")),
        home: router("r-1"),
        home_run: INCARNATION,
        standby_home: Some(router("r-2")),
        standby_home_run: INCARNATION,
        token: Token::new(2, 1),
        reason: Reason::Initial,
        since: WallTime(0),
    });
    block
}

/// Returns the table of a standby home that has read the block and got replies from both servers at
/// `replied_at`.
fn standby_table(replied_at: u64) -> HomeTable {
    let me = RouterIncarnation {
        router: router("r-2"),
        incarnation: INCARNATION,
    };
    let mut table = HomeTable::new(me, Limits::default());
    table.input(
        Time(0),
        Input::Policy {
            service: service(),
            policy: Policy::default(),
        },
    );
    let read = Input::Block {
        started: Time(0),
        version: Version(1),
        block: block(),
    };
    table.input(Time(1), read);
    table.tick(Time(1));
    for name in ["s-1", "s-2"] {
        let reply = OrderReply {
            server: server(name),
            incarnation: INCARNATION,
            clock: ServerTime(50),
            load: LoadReport::default(),
            acks: Vec::new(),
        };
        table.input(
            Time(replied_at),
            Input::OrderReply {
                sent: Time(replied_at - 1),
                orders: Vec::new(),
                reply,
            },
        );
    }
    table
}

fn has_version_check(actions: &[Action]) -> bool {
    actions
        .iter()
        .any(|action| matches!(action, Action::CheckVersions { .. }))
}

#[rstest]
#[case::not_read_since(None, true)]
#[case::read_since(Some(15), false)]
fn versions_are_checked_at_once_until_a_read_follows_the_server_replies(
    #[case] read: Option<u64>,
    #[case] expected: bool,
) {
    let mut table = standby_table(10);
    if let Some(started) = read {
        let versions = vec![BlockVersion {
            block: block().id,
            version: Version(1),
        }];
        table.input(
            Time(started + 1),
            Input::Versions {
                started: Time(started),
                versions,
            },
        );
    }
    let found = (1..=4).any(|step| has_version_check(&table.tick(Time(20 + step * 50))));
    assert_eq!(
        expected, found,
        "whether versions are checked within 200 ms"
    );
}

/// Applies the orders among `actions` on the servers. Returns the highest fenced term, and whether
/// the standby home has taken over.
fn apply_orders(table: &mut HomeTable, now: u64, actions: Vec<Action>) -> (u64, bool) {
    let mut highest = 0;
    let mut complete = took_over(&actions);
    for action in actions {
        let Action::Order { server, orders } = action else {
            continue;
        };
        let fence_of = |order: &Order| match order {
            Order::Fence { shard, term } => Some((shard.clone(), *term)),
            _ => None,
        };
        let fences: Vec<_> = orders.iter().filter_map(fence_of).collect();
        highest = fences
            .iter()
            .map(|(_, term)| term.0)
            .max()
            .unwrap_or(0)
            .max(highest);
        let ack = |(shard, term): (ShardId, Term)| OrderAck {
            shard,
            accepted: true,
            highest: Token::new(term.0, 0),
            held: None,
            running: 0,
        };
        let reply = OrderReply {
            server,
            incarnation: INCARNATION,
            clock: ServerTime(50 + now),
            load: LoadReport::default(),
            acks: fences.into_iter().map(ack).collect(),
        };
        let input = Input::OrderReply {
            sent: Time(now + 1),
            orders,
            reply,
        };
        complete |= took_over(&table.input(Time(now + 2), input));
    }
    (highest, complete)
}

fn confirm_version(table: &mut HomeTable, now: u64) {
    let versions = vec![BlockVersion {
        block: block().id,
        version: Version(1),
    }];
    table.input(
        Time(now),
        Input::Versions {
            started: Time(now - 1),
            versions,
        },
    );
}

fn took_over(actions: &[Action]) -> bool {
    let is_takeover = |kind: &EventKind| matches!(kind, EventKind::TookOver { .. });
    actions
        .iter()
        .any(|action| matches!(action, Action::Emit { kind } if is_takeover(kind)))
}

/// The home ends its role when it learns of the fence. If the standby home then abandoned the
/// takeover, no router would serve the shard.
#[test]
fn a_takeover_with_a_fence_sent_completes_although_heartbeats_resume() {
    let mut table = standby_table(10);
    confirm_version(&mut table, 20);
    let mut now = 50;
    loop {
        let actions = table.tick(Time(now));
        if apply_orders(&mut table, now, actions).0 > 2 {
            break;
        }
        confirm_version(&mut table, now + 1);
        now += 50;
        assert!(
            now < 3_000,
            "the servers were not fenced although the home sent no heartbeats"
        );
    }
    // The standby home gets no messages for longer than its authority lasts.
    for _ in 0..60 {
        now += 50;
        table.tick(Time(now));
    }
    for _ in 0..40 {
        now += 50;
        confirm_version(&mut table, now);
        table.input(
            Time(now),
            Input::PeerSeen {
                router: router("r-1"),
                incarnation: INCARNATION,
            },
        );
        let actions = table.tick(Time(now));
        if apply_orders(&mut table, now, actions).1 {
            return;
        }
    }
    panic!("the takeover did not complete");
}
