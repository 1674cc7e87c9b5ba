//! Claims at two routers over real sockets: copies, takeover and handover.

mod answers_support;

use std::time::Duration;

use answers_support::Harness;
use answers_support::TOKEN;
use answers_support::add_member;
use answers_support::assignment;
use answers_support::context;
use answers_support::deployment;
use answers_support::home_role;
use answers_support::router;
use answers_support::serve_peers;
use answers_support::set_assignment;
use answers_support::shard;
use answers_support::start_server;
use answers_support::summary;
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

/// The token reserved for a takeover by the standby home.
const RESERVED_TOKEN: Token = Token::new(5, 1);
/// The token of the next stored assignment, which changes the home.
const NEXT_TOKEN: Token = Token::new(6, 1);

/// A home and its standby home in front of one server.
struct MirroredPair {
    home: Harness,
    standby: Harness,
}

fn with_standby() -> Assignment {
    Assignment {
        standby_home: Some(router("router-2")),
        standby_home_run: Incarnation(1),
        ..assignment()
    }
}

impl MirroredPair {
    async fn start() -> Self {
        let (server, address) = start_server(Duration::from_millis(2)).await;
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let peer = listener.local_addr().unwrap();
        let unreachable_address = "127.0.0.1:1".parse().unwrap();
        let first = context("router-1", unreachable_address, deployment(address));
        let second = context("router-2", peer, deployment(address));
        for cx in [&first, &second] {
            set_assignment(cx, Version(2), with_standby());
        }
        add_member(&first, "router-2", peer);
        let pair = Self {
            home: Harness::with(first, server.clone()),
            standby: Harness::with(second, server),
        };
        pair.standby.owner.set(None);
        serve_peers(&pair.standby, listener);
        pair
    }

    /// Waits until the standby home has a complete copy.
    async fn copy(&self) {
        self.home.serving.refresh(&self.home.cx);
        wait_until(|| self.home.serving.standbys_are_synced()).await;
    }

    async fn ask(harness: &Harness, key: &str) -> String {
        summary(&harness.answer(harness.request("body", Some(key))).await)
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
    #[case] reassigned: bool,
    #[case] repeat: &str,
    #[case] fresh: &str,
) {
    let pair = MirroredPair::start().await;
    if copied {
        pair.copy().await;
    }
    assert_eq!(MirroredPair::ask(&pair.home, "k").await, "done 200");
    if reassigned {
        let row = Assignment {
            since: WallTime(1),
            ..with_standby()
        };
        set_assignment(&pair.standby.cx, Version(3), row);
    }
    // The answer is copied after the caller has received it, but before the next claim.
    if copied {
        assert_eq!(MirroredPair::ask(&pair.home, "next").await, "done 200");
    }
    pair.standby.owner.set(Some(RESERVED_TOKEN));
    assert_eq!(MirroredPair::ask(&pair.standby, "k").await, repeat);
    assert_eq!(MirroredPair::ask(&pair.standby, "other").await, fresh);
    let runs = pair.home.server.stats().runs;
    let expected = 1 + u64::from(copied) + u64::from(fresh == "done 200");
    assert_eq!(runs, expected);
}

#[tokio::test]
async fn without_its_standby_home_a_claim_is_not_sent() {
    let pair = MirroredPair::start().await;
    pair.copy().await;
    let unreachable_address = "127.0.0.1:1".parse().unwrap();
    add_member(&pair.home.cx, "router-2", unreachable_address);
    assert_eq!(
        MirroredPair::ask(&pair.home, "k").await,
        "not-run 503 claim-not-mirrored"
    );
    assert_eq!(pair.home.server.stats().runs, 0);
    // Once another assignment is stored, the lost standby home can no longer take over.
    set_assignment(&pair.home.cx, Version(3), assignment());
    pair.home.serving.refresh(&pair.home.cx);
    assert_eq!(MirroredPair::ask(&pair.home, "k").await, "done 200");
}

/// A planned move hands the claims over even if the next home was not the standby home.
#[rstest]
#[case::handed_over(true, "done 200", "done 200")]
#[case::not_handed_over(false, "not-run 503 claims-not-known", "not-run 503 claims-not-known")]
#[tokio::test]
async fn a_planned_move_hands_claims_over(
    #[case] handed_over: bool,
    #[case] repeat: &str,
    #[case] fresh: &str,
) {
    let pair = MirroredPair::start().await;
    assert_eq!(MirroredPair::ask(&pair.home, "k").await, "done 200");
    let next = Assignment {
        home: router("router-2"),
        home_run: Incarnation(1),
        standby_home: None,
        token: NEXT_TOKEN,
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
    pair.standby.owner.set(Some(NEXT_TOKEN));
    assert_eq!(MirroredPair::ask(&pair.standby, "k").await, repeat);
    assert_eq!(MirroredPair::ask(&pair.standby, "other").await, fresh);
}

/// A home that may lack claims of its predecessor copies what it has. Its standby home must not run
/// requests that the predecessor may have run.
#[tokio::test]
async fn the_copy_of_a_home_that_lacks_claims_lacks_them_too() {
    let pair = MirroredPair::start().await;
    let appointed = Assignment {
        reason: Reason::Drain,
        ..with_standby()
    };
    for harness in [&pair.home, &pair.standby] {
        set_assignment(&harness.cx, Version(3), appointed.clone());
    }
    let refused = "not-run 503 claims-not-known";
    assert_eq!(MirroredPair::ask(&pair.home, "k").await, refused);
    pair.copy().await;
    pair.standby.owner.set(Some(RESERVED_TOKEN));
    assert_eq!(MirroredPair::ask(&pair.standby, "k").await, refused);
    assert_eq!(pair.home.server.stats().runs, 0);
}

async fn write_intent(pair: &MirroredPair, next: Assignment) {
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
