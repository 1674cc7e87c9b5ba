//! Claims at two routers over real sockets: copied, taken over and handed over.

mod answers_support;

use std::time::Duration;

use answers_support::Bench;
use answers_support::TOKEN;
use answers_support::assignment;
use answers_support::context;
use answers_support::deployment;
use answers_support::home_role;
use answers_support::know;
use answers_support::router;
use answers_support::serve_peers;
use answers_support::set_assignment;
use answers_support::shard;
use answers_support::start_server;
use answers_support::told;
use answers_support::wait_until;
use carawayrill_core::assignment::Assignment;
use carawayrill_core::assignment::Block;
use carawayrill_core::assignment::Intent;
use carawayrill_core::assignment::Reason;
use carawayrill_core::id::Incarnation;
use carawayrill_core::id::Version;
use carawayrill_core::object::block_name;
use carawayrill_core::ownership::evidence::AssignmentRef;
use carawayrill_core::ownership::evidence::ReleaseStatus;
use carawayrill_core::time::WallTime;
use carawayrill_core::token::Token;
use rstest::rstest;
use tokio::net::TcpListener;

/// The token of the standby home's own takeover.
const RESERVED: Token = Token::new(5, 1);
/// The token of the next stored change of home.
const NEXT: Token = Token::new(6, 1);

/// A home, its standby home and the server.
struct Pair {
    home: Bench,
    standby: Bench,
}

fn with_standby() -> Assignment {
    Assignment {
        standby_home: Some(router("router-2")),
        standby_home_run: Incarnation(1),
        ..assignment()
    }
}

impl Pair {
    async fn start() -> Self {
        let (server, address) = start_server(Duration::from_millis(2)).await;
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let peer = listener.local_addr().unwrap();
        let nowhere = "127.0.0.1:1".parse().unwrap();
        let first = context("router-1", nowhere, deployment(address));
        let second = context("router-2", peer, deployment(address));
        for cx in [&first, &second] {
            set_assignment(cx, Version(2), with_standby());
        }
        know(&first, "router-2", peer);
        let pair = Self {
            home: Bench::with(first, server.clone()),
            standby: Bench::with(second, server),
        };
        pair.standby.owner.set(None);
        serve_peers(&pair.standby, listener);
        pair
    }

    /// Has the standby home get a complete copy.
    async fn copy(&self) {
        self.home.desk.refresh(&self.home.cx);
        wait_until(|| self.home.desk.is_copied()).await;
    }

    async fn ask(bench: &Bench, key: &str) -> String {
        told(&bench.answer(bench.request("body", Some(key))).await)
    }
}

#[rstest]
#[case::copied(true, false, "done 200", "done 200")]
#[case::copied_for_a_former_assignment(true, true, "done 200", "not-run 503 claims-not-known")]
#[case::not_copied(
    false,
    false,
    "not-run 503 claims-not-known",
    "not-run 503 claims-not-known"
)]
#[tokio::test]
async fn a_standby_home_takes_over(
    #[case] copied: bool,
    #[case] written_again: bool,
    #[case] repeat: &str,
    #[case] fresh: &str,
) {
    let pair = Pair::start().await;
    if copied {
        pair.copy().await;
    }
    assert_eq!(Pair::ask(&pair.home, "k").await, "done 200");
    if written_again {
        let row = Assignment {
            since: WallTime(1),
            ..with_standby()
        };
        set_assignment(&pair.standby.cx, Version(3), row);
    }
    // The answer is copied after the caller has it, and before the claim that comes next.
    if copied {
        assert_eq!(Pair::ask(&pair.home, "next").await, "done 200");
    }
    pair.standby.owner.set(Some(RESERVED));
    assert_eq!(Pair::ask(&pair.standby, "k").await, repeat);
    assert_eq!(Pair::ask(&pair.standby, "other").await, fresh);
    let runs = pair.home.server.stats().runs;
    let expected = 1 + u64::from(copied) + u64::from(fresh == "done 200");
    assert_eq!(runs, expected);
}

#[tokio::test]
async fn without_its_standby_home_a_claim_is_not_sent() {
    let pair = Pair::start().await;
    pair.copy().await;
    let nowhere = "127.0.0.1:1".parse().unwrap();
    know(&pair.home.cx, "router-2", nowhere);
    assert_eq!(
        Pair::ask(&pair.home, "k").await,
        "not-run 503 claim-not-mirrored"
    );
    assert_eq!(pair.home.server.stats().runs, 0);
    // Once another assignment is stored, the lost standby home can't take over any more.
    set_assignment(&pair.home.cx, Version(3), assignment());
    pair.home.desk.refresh(&pair.home.cx);
    assert_eq!(Pair::ask(&pair.home, "k").await, "done 200");
}

/// A planned move takes the claims along, also those that the next home was not standby for.
#[rstest]
#[case::handed_over(true, "done 200", "done 200")]
#[case::not_handed_over(false, "not-run 503 claims-not-known", "not-run 503 claims-not-known")]
#[tokio::test]
async fn a_planned_move_hands_claims_over(
    #[case] handed_over: bool,
    #[case] repeat: &str,
    #[case] fresh: &str,
) {
    let pair = Pair::start().await;
    assert_eq!(Pair::ask(&pair.home, "k").await, "done 200");
    let next = Assignment {
        home: router("router-2"),
        home_run: Incarnation(1),
        standby_home: None,
        token: NEXT,
        reason: Reason::Drain,
        ..assignment()
    };
    if handed_over {
        write_intent(&pair, next.clone()).await;
        pair.home.owner.set(None);
        let home = home_role(&pair.home);
        home.hand_over(&pair.home.cx, &[released()]).await;
    }
    set_assignment(&pair.standby.cx, Version(3), next);
    pair.standby.owner.set(Some(NEXT));
    assert_eq!(Pair::ask(&pair.standby, "k").await, repeat);
    assert_eq!(Pair::ask(&pair.standby, "other").await, fresh);
}

async fn write_intent(pair: &Pair, next: Assignment) {
    let mut block = Block::empty(carawayrill_core::assignment::BlockId {
        service: shard().service,
        index: 0,
    });
    block.set(with_standby());
    block.intents.push(Intent {
        next,
        by: "controller-1".parse().unwrap(),
        written: WallTime(0),
    });
    let value = serde_json::to_vec(&block).unwrap();
    let name = block_name(&block.id);
    let store = &pair.home.cx.store;
    store
        .put(&name, value.into(), Version::default())
        .await
        .unwrap();
}

fn released() -> ReleaseStatus {
    ReleaseStatus {
        claimed: AssignmentRef {
            shard: shard(),
            token: TOKEN,
        },
        stopped: true,
        pledged: false,
        highest: TOKEN,
        server: None,
        revoked: true,
        grant_left: 0,
    }
}
