//! The filter of `timeline`.

use std::collections::BTreeSet;

use carawayrill_core::id::KeyHash;
use carawayrill_core::id::ShardId;
use serde_json::Value;

use crate::cli::TimelineArgs;
use crate::error::Error;
use crate::timeline::Line;

/// The fields that may name a server.
const SERVER_FIELDS: &[&str] = &["server", "owner", "peer"];

/// A filter of events. An event has to match all of its conditions.
#[derive(Debug, Default)]
pub struct Filter {
    shards: Vec<ShardId>,
    server: Option<String>,
    request: Option<String>,
}

impl TryFrom<&TimelineArgs> for Filter {
    type Error = Error;

    fn try_from(args: &TimelineArgs) -> Result<Self, Error> {
        let mut shards: Vec<ShardId> = args.shard.iter().cloned().collect();
        shards.extend(shards_of_key(args)?);
        Ok(Self {
            shards,
            server: args.server.as_ref().map(ToString::to_string),
            request: args.request.as_ref().map(ToString::to_string),
        })
    }
}

/// Returns the shards that may contain a key: that of its range, and its own if it is a hot key.
fn shards_of_key(args: &TimelineArgs) -> Result<Vec<ShardId>, Error> {
    let (service, key, dir) = match (&args.service, &args.key, &args.deployment) {
        (None, None, _) => return Ok(Vec::new()),
        (Some(service), Some(key), Some(dir)) => (service, key, dir),
        _ => {
            return Err(Error::invalid(
                "--key needs --service, and --deployment DIR for the number of shards of the service",
            ));
        }
    };
    let loaded = carawayrill_config::load(dir)?;
    let declared = loaded.deployment.service(service).ok_or_else(|| {
        Error::invalid(format!(
            "there is no service `{service}` in {}",
            dir.display()
        ))
    })?;
    let hash = KeyHash::of(key.as_bytes());
    let range = ShardId::range(service.clone(), hash.range_of(declared.shards));
    Ok(vec![range, ShardId::hot(service.clone(), hash)])
}

impl Filter {
    /// Returns the lines that match, in their order.
    pub fn apply(&self, lines: Vec<Line>) -> Vec<Line> {
        let requests = self.requests(&lines);
        let is_wanted = |line: &Line| {
            self.is_of_shard(line, &requests) && self.is_of_server(line) && self.is_of_request(line)
        };
        lines.into_iter().filter(is_wanted).collect()
    }

    /// Collects the requests for the wanted shards. Later events of a request have no shard field.
    fn requests(&self, lines: &[Line]) -> BTreeSet<String> {
        lines
            .iter()
            .filter(|line| self.names_shard(line))
            .filter_map(|line| text(line, "request"))
            .map(str::to_owned)
            .collect()
    }

    fn names_shard(&self, line: &Line) -> bool {
        let shard = text(line, "shard");
        self.shards
            .iter()
            .any(|wanted| shard == Some(wanted.to_string().as_str()))
    }

    fn is_of_shard(&self, line: &Line, requests: &BTreeSet<String>) -> bool {
        self.shards.is_empty()
            || self.names_shard(line)
            || text(line, "request").is_some_and(|request| requests.contains(request))
    }

    fn is_of_server(&self, line: &Line) -> bool {
        let Some(server) = &self.server else {
            return true;
        };
        SERVER_FIELDS
            .iter()
            .any(|name| text(line, name) == Some(server.as_str()))
    }

    fn is_of_request(&self, line: &Line) -> bool {
        let Some(request) = &self.request else {
            return true;
        };
        text(line, "request") == Some(request.as_str())
    }
}

/// Returns the value of a text field.
fn text<'a>(line: &'a Line, name: &str) -> Option<&'a str> {
    line.json.get(name).and_then(Value::as_str)
}
