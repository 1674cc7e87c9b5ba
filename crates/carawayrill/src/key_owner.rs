//! `status --service S --key K`: shows the owner of a key, with the reason and time of its
//! assignment.

use carawayrill_config::accept::AcceptedConfig;
use carawayrill_config::deployment::Service;
use carawayrill_core::assignment::Assignment;
use carawayrill_core::assignment::Block;
use carawayrill_core::assignment::BlockId;
use carawayrill_core::assignment::Intent;
use carawayrill_core::assignment::Reason;
use carawayrill_core::id::KeyHash;
use carawayrill_core::id::RouterId;
use carawayrill_core::id::ServiceId;
use carawayrill_core::id::ShardId;
use carawayrill_core::object::block_name;
use carawayrill_store::port::ObjectStore;
use serde_json::json;

use crate::error::Error;
use crate::members;
use crate::members::RouterStatus;
use crate::output::print_json;
use crate::output::print_line;
use crate::utc::format_utc;

/// Prints the owner of one key.
pub async fn print_key_owner(
    store: &dyn ObjectStore,
    config: &AcceptedConfig,
    service: &ServiceId,
    key: &str,
    is_json: bool,
) -> Result<(), Error> {
    let declared = config.deployment.service(service).ok_or_else(|| {
        let known: Vec<&str> = config
            .deployment
            .services
            .iter()
            .map(|s| s.id.as_str())
            .collect();
        Error::invalid(format!(
            "there is no service `{service}`; the services are {}",
            known.join(", ")
        ))
    })?;
    let hash = KeyHash::of(key.as_bytes());
    let block = block_of(store, declared, hash).await?;
    let hot = ShardId::hot(service.clone(), hash);
    let range = ShardId::range(service.clone(), hash.range_of(declared.shards));
    let row = block.row(&hot).or_else(|| block.row(&range));
    let Some(row) = row else {
        return Err(Error::refused(format!(
            "shard {range} of this key has no owner yet; `carawayrill status` shows whether a \
             controller is leading"
        )));
    };
    let home = query_home(store, &row.home).await?;
    if is_json {
        print_json(&json!({
            "shard": row.shard,
            "assignment": row,
            "intent": block.intent(&row.shard),
            "home_in_force": home.as_ref().map(|home| home_assignment(home, row)),
        }));
        return Ok(());
    }
    print_text(key, row, block.intent(&row.shard), home.as_ref());
    Ok(())
}

/// Reads the block with the shard of a key. The shard of a hot key is in the block of its range.
async fn block_of(
    store: &dyn ObjectStore,
    service: &Service,
    hash: KeyHash,
) -> Result<Block, Error> {
    let id = BlockId {
        service: service.id.clone(),
        index: hash.range_of(service.shards) / service.shards_per_block,
    };
    match store.get(&block_name(&id)).await? {
        Some(object) => serde_json::from_slice(&object.value).map_err(|err| {
            Error::invalid(format!(
                "could not read the stored object {}: {err}",
                object.name
            ))
        }),
        None => Ok(Block::empty(id)),
    }
}

/// Requests the status of the home of a shard.
async fn query_home(
    store: &dyn ObjectStore,
    home: &RouterId,
) -> Result<Option<RouterStatus>, Error> {
    let mut members = members::list_routers(store).await?;
    members.retain(|member| member.router == *home);
    Ok(members::query_routers(members).await.pop())
}

/// Returns the assignment of a shard that the home has in force.
fn home_assignment<'a>(home: &'a RouterStatus, row: &Assignment) -> Option<&'a Assignment> {
    let page = home.page.as_ref()?;
    page.assignments
        .iter()
        .find(|assignment| assignment.shard == row.shard)
}

/// Prints the owner as text.
fn print_text(key: &str, row: &Assignment, intent: Option<&Intent>, home: Option<&RouterStatus>) {
    let name = |id: Option<&str>| id.unwrap_or("none").to_owned();
    print_line(&format!("key `{key}` is in shard {}", row.shard));
    print_line(&format!("  owner         {}", row.owner));
    print_line(&format!("  why           {}", reason_text(row.reason)));
    print_line(&format!("  since         {}", format_utc(row.since)));
    print_line(&format!("  token         {}", row.token));
    let standby = row
        .standby
        .as_ref()
        .map(carawayrill_core::id::ServerId::as_str);
    print_line(&format!("  standby       {}", name(standby)));
    print_line(&format!(
        "  home          {} ({})",
        row.home,
        home_state(row, home)
    ));
    let standby_home = row.standby_home.as_ref().map(RouterId::as_str);
    print_line(&format!("  standby home  {}", name(standby_home)));
    if let Some(intent) = intent {
        print_line(&format!(
            "  pending       owner {}, home {}: written {} by {}, waits for evidence that the old \
             authority has ended",
            intent.next.owner,
            intent.next.home,
            format_utc(intent.written),
            intent.by
        ));
    }
}

/// Describes the state of the assignment at its home.
fn home_state(row: &Assignment, home: Option<&RouterStatus>) -> String {
    let Some(home) = home else {
        return "not running".to_owned();
    };
    if home.page.is_none() {
        return home.error.clone();
    }
    match home_assignment(home, row) {
        Some(assignment) if assignment == row => "has this assignment in force".to_owned(),
        Some(assignment) => format!(
            "has owner {} with token {} in force",
            assignment.owner, assignment.token
        ),
        None => "does not have it in force".to_owned(),
    }
}

/// Describes the reason of an assignment.
fn reason_text(reason: Reason) -> &'static str {
    match reason {
        Reason::Initial => "the shard had no owner before",
        Reason::ServerLost => "its former owner was lost",
        Reason::HomeLost => "its former home router was lost",
        Reason::Drain => "its former owner or home is draining",
        Reason::Balance => "it was moved to balance the load",
        Reason::HotKey => "it is a hot key that was split from its range",
    }
}
