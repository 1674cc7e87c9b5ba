//! Conditional writes of blocks, with lost responses and concurrent writers.

use bytes::Bytes;
use carawayrill_controller::blocks::BlockWrite;
use carawayrill_controller::blocks::WriteOutcome;
use carawayrill_controller::blocks::write_block;
use carawayrill_core::assignment::Assignment;
use carawayrill_core::assignment::Block;
use carawayrill_core::assignment::BlockId;
use carawayrill_core::assignment::Reason;
use carawayrill_core::id::Incarnation;
use carawayrill_core::id::Version;
use carawayrill_core::object::block_name;
use carawayrill_core::time::WallTime;
use carawayrill_core::token::Token;
use carawayrill_store::memory::Fault;
use carawayrill_store::memory::MemoryStore;
use carawayrill_store::port::ObjectStore;
use rstest::rstest;

fn write(owner: &str) -> BlockWrite {
    let mut block = Block::empty(BlockId {
        service: "forms".parse().unwrap(),
        index: 0,
    });
    block.set(Assignment {
        shard: "forms/0".parse().unwrap(),
        owner: owner.parse().unwrap(),
        standby: None,
        home: "router-1".parse().unwrap(),
        home_run: Incarnation(1),
        standby_home: None,
        standby_home_run: Incarnation(0),
        token: Token::new(2, 1),
        reason: Reason::Initial,
        since: WallTime(1),
    });
    BlockWrite {
        expected: Version(0),
        changed: block.rows.clone(),
        block,
    }
}

async fn put(store: &MemoryStore, write: &BlockWrite) {
    let value = Bytes::from(serde_json::to_vec(&write.block).unwrap());
    let name = block_name(&write.block.id);
    store.put(&name, value, write.expected).await.unwrap();
}

#[rstest]
#[case::acknowledged(Fault::None, None, "done")]
#[case::response_lost(Fault::LoseAnswer, None, "done")]
#[case::another_writer_was_first(Fault::None, Some("forms-2"), "lost to forms-2")]
#[case::earlier_attempt_took_effect(Fault::None, Some("forms-1"), "done")]
#[case::store_down(Fault::Down, None, "failed")]
#[tokio::test]
async fn write_outcome_is_determined(
    #[case] fault: Fault,
    #[case] before: Option<&str>,
    #[case] expected: &str,
) {
    let store = MemoryStore::new();
    if let Some(owner) = before {
        put(&store, &write(owner)).await;
    }
    store.set_fault_for(fault, 1);
    let found = match write_block(&store, &write("forms-1")).await {
        Ok(WriteOutcome::Written(_)) => "done".to_owned(),
        Ok(WriteOutcome::Conflict(Some((_, block)))) => format!("lost to {}", block.rows[0].owner),
        Ok(WriteOutcome::Conflict(None)) => "lost".to_owned(),
        Err(_) => "failed".to_owned(),
    };
    assert_eq!(found, expected);
}
