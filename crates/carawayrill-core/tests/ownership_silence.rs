//! Tests when a standby home starts a takeover.

use std::time::Duration;

use carawayrill_core::assignment::Assignment;
use carawayrill_core::assignment::Block;
use carawayrill_core::assignment::BlockId;
use carawayrill_core::assignment::Reason;
use carawayrill_core::id::Incarnation;
use carawayrill_core::id::ShardId;
use carawayrill_core::id::Version;
use carawayrill_core::order::Order;
use carawayrill_core::ownership::evidence::RouterIncarnation;
use carawayrill_core::ownership::home::Action;
use carawayrill_core::ownership::home::HomeTable;
use carawayrill_core::ownership::home::Input;
use carawayrill_core::ownership::limits::Limits;
use carawayrill_core::time::Time;
use carawayrill_core::time::WallTime;
use carawayrill_core::token::Token;
use rstest::rstest;

/// Time at which the standby home first reads the assignment, in milliseconds.
const FIRST_READ_MS: u64 = 10_000;

fn block(home_run: u64) -> Block {
    let service = "f".parse().expect("valid service ID");
    let id = BlockId { service, index: 0 };
    let mut block = Block::empty(id.clone());
    block.set(Assignment {
        shard: ShardId::range(id.service, 0),
        owner: "s0".parse().expect("valid server ID"),
        standby: Some("s1".parse().expect("valid server ID")),
        home: "r0".parse().expect("valid router ID"),
        home_run: Incarnation(home_run),
        standby_home: Some("r1".parse().expect("valid router ID")),
        standby_home_run: Incarnation(1),
        token: Token::new(4, 1),
        reason: Reason::HomeLost,
        since: WallTime(0),
    });
    block
}

fn sends_fence(actions: &[Action]) -> bool {
    let has_fence = |orders: &[Order]| {
        orders
            .iter()
            .any(|order| matches!(order, Order::Fence { .. }))
    };
    actions
        .iter()
        .any(|action| matches!(action, Action::Order { orders, .. } if has_fence(orders)))
}

/// Returns the time from the first read until the standby home asks the servers, in milliseconds.
fn takeover_delay_ms(heartbeats: &[(u64, u64)], home_run: u64) -> Option<u64> {
    let me = RouterIncarnation {
        router: "r1".parse().expect("valid router ID"),
        incarnation: Incarnation(1),
    };
    let mut table = HomeTable::new(me, Limits::default());
    let mut heartbeats = heartbeats.iter().peekable();
    for now in (0..FIRST_READ_MS + 1_500).step_by(50) {
        while let Some((_, incarnation)) = heartbeats.next_if(|(at, _)| *at <= now) {
            let router = "r0".parse().expect("valid router ID");
            table.input(
                Time(now),
                Input::PeerSeen {
                    router,
                    incarnation: Incarnation(*incarnation),
                },
            );
        }
        let at = Time(now);
        if now >= FIRST_READ_MS {
            let input = Input::Block {
                started: at - Duration::from_millis(1),
                version: Version(7),
                block: block(home_run),
            };
            table.input(at, input);
        }
        if sends_fence(&table.tick(at)) {
            return Some(now - FIRST_READ_MS);
        }
    }
    None
}

#[rstest]
#[case::no_heartbeat(&[], 1, Some(1_050))]
#[case::last_heartbeat_long_ago(&[(0, 1)], 1, Some(1_050))]
#[case::restarted_and_home_again(&[(0, 1)], 2, Some(1_050))]
#[case::heartbeat_after_the_first_read(&[(0, 1), (10_400, 1)], 1, Some(1_450))]
#[case::newer_incarnation_seen(&[(0, 1), (10_400, 2)], 1, Some(400))]
fn a_standby_home_waits_for_missing_heartbeats(
    #[case] heartbeats: &[(u64, u64)],
    #[case] home_run: u64,
    #[case] expected: Option<u64>,
) {
    assert_eq!(expected, takeover_delay_ms(heartbeats, home_run));
}
