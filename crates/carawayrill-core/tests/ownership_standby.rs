//! A standby home makes itself ready to take over as soon as it knows its servers.

use carawayrill_core::assignment::Assignment;
use carawayrill_core::assignment::Block;
use carawayrill_core::assignment::BlockId;
use carawayrill_core::assignment::Reason;
use carawayrill_core::id::Incarnation;
use carawayrill_core::id::RouterId;
use carawayrill_core::id::ServerId;
use carawayrill_core::id::ServiceId;
use carawayrill_core::id::ShardId;
use carawayrill_core::id::Version;
use carawayrill_core::order::LoadReport;
use carawayrill_core::order::OrderReply;
use carawayrill_core::ownership::evidence::Run;
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
use rstest::rstest;

const RUN: Incarnation = Incarnation(1);

fn service() -> ServiceId {
    "forms".parse().expect("a name")
}

fn server(name: &str) -> ServerId {
    name.parse().expect("a name")
}

fn router(name: &str) -> RouterId {
    name.parse().expect("a name")
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
        home_run: RUN,
        standby_home: Some(router("r-2")),
        standby_home_run: RUN,
        token: Token::new(2, 1),
        reason: Reason::Initial,
        since: WallTime(0),
    });
    block
}

/// The standby home, having read the block and heard the two servers at `heard`.
fn standby(heard: u64) -> HomeTable {
    let me = Run {
        router: router("r-2"),
        incarnation: RUN,
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
            incarnation: RUN,
            clock: ServerTime(50),
            load: LoadReport::default(),
            acks: Vec::new(),
        };
        table.input(
            Time(heard),
            Input::OrderReply {
                sent: Time(heard - 1),
                orders: Vec::new(),
                reply,
            },
        );
    }
    table
}

fn checks(actions: &[Action]) -> bool {
    actions
        .iter()
        .any(|action| matches!(action, Action::CheckVersions { .. }))
}

#[rstest]
#[case::not_read_since(None, true)]
#[case::read_since(Some(15), false)]
fn versions_are_checked_again_at_once_until_a_read_follows_the_servers(
    #[case] read: Option<u64>,
    #[case] expected: bool,
) {
    let mut table = standby(10);
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
    let found = (1..=4).any(|step| checks(&table.tick(Time(20 + step * 50))));
    assert_eq!(
        expected, found,
        "whether versions are checked within 200 ms"
    );
}
