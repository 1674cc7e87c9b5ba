//! The fields of one entity and their conversion to checked types.

use std::str::FromStr;

use crate::Origin;
use crate::Problem;
use crate::deployment::Service;
use crate::deployment::Timing;
use crate::fields::Fields;
use crate::fields::join;
use crate::schema;
use crate::schema::Setting;
use crate::settings::DEPLOYMENT;

/// The fields of one entity, as an overlay adjusts them.
#[derive(Debug)]
pub(crate) struct Row<'a> {
    /// The settings that it may have.
    pub(crate) table: &'a [Setting],
    /// The path of the entity; empty for the root.
    pub(crate) path: String,
    /// Where the fields are written; the first layer that has a field wins.
    pub(crate) layers: Vec<&'a Fields>,
    /// The place of the entity's first field.
    pub(crate) origin: Origin,
}

impl Row<'_> {
    /// Returns where a field is written, or where its entity is.
    pub(crate) fn origin_of(&self, name: &str) -> &Origin {
        let path = join(&self.path, name);
        self.layers
            .iter()
            .find_map(|fields| fields.get(&path))
            .map_or(&self.origin, |value| &value.origin)
    }

    /// Returns the text of a field or of its default.
    pub(crate) fn raw(&self, name: &str) -> Option<&str> {
        let path = join(&self.path, name);
        self.layers
            .iter()
            .find_map(|fields| fields.get(&path))
            .map(|value| value.text.as_str())
            .or_else(|| schema::find(self.table, &path)?.default)
    }

    /// Returns a field as a checked value.
    pub(crate) fn get<T: FromStr>(&self, name: &str) -> Result<T, Problem> {
        let text = self.raw(name).ok_or_else(|| self.missing(name))?;
        text.parse().map_err(|_err| {
            let kind = schema::find(self.table, &join(&self.path, name));
            let expected = kind.map_or_else(String::new, |setting| setting.kind.expected());
            Problem::value(
                self.origin_of(name),
                &join(&self.path, name),
                text,
                &expected,
            )
        })
    }

    /// Returns a field that may be left out.
    pub(crate) fn get_if_written<T: FromStr>(&self, name: &str) -> Result<Option<T>, Problem> {
        match self.raw(name) {
            None | Some("") => Ok(None),
            Some(_) => self.get(name).map(Some),
        }
    }

    /// Makes the problem of a field that has to be written.
    fn missing(&self, name: &str) -> Problem {
        let path = join(&self.path, name);
        let expected = schema::find(self.table, &path)
            .map_or_else(String::new, |setting| setting.kind.expected());
        Problem::new(&self.origin, path, format!("missing; expected {expected}"))
    }

    /// Lists required fields that are not written.
    pub(crate) fn missing_fields(&self) -> Vec<Problem> {
        self.table
            .iter()
            .filter(|setting| setting.default.is_none())
            .filter(|setting| setting.is_at(&join(&self.path, setting.name())))
            .filter(|setting| self.raw(setting.name()).is_none())
            .map(|setting| self.missing(setting.name()))
            .collect()
    }

    /// Makes the problem of a field that doesn't fit another.
    pub(crate) fn clash(&self, name: &str, text: &str) -> Problem {
        Problem::new(self.origin_of(name), join(&self.path, name), text)
    }
}

impl TryFrom<&Row<'_>> for Service {
    type Error = Problem;

    fn try_from(row: &Row<'_>) -> Result<Self, Problem> {
        let name = row.path.rsplit('.').next().unwrap_or_default();
        let id = name
            .try_into()
            .map_err(|_err| row.clash("key", "wrong name"))?;
        Ok(Self {
            id,
            key: row.get("key")?,
            shards: row.get("shards")?,
            shards_per_block: row.get("shards_per_block")?,
            slots: row.get("slots")?,
            connections: row.get("connections")?,
            repeat: row.get("repeat")?,
            claim_window: row.get("claim_window")?,
            default_deadline: row.get("default_deadline")?,
            max_deadline: row.get("max_deadline")?,
            max_body: row.get("max_body")?,
            queue_limit: row.get("queue_limit")?,
            warm_up: row.get("warm_up")?,
            on_store_outage: row.get("on_store_outage")?,
            fencing: row.get("fencing")?,
        })
    }
}

impl TryFrom<&Row<'_>> for Timing {
    type Error = Problem;

    fn try_from(row: &Row<'_>) -> Result<Self, Problem> {
        Ok(Self {
            grant_ttl: row.get("grant_ttl")?,
            renew_every: row.get("renew_every")?,
            authority: row.get("authority")?,
            check_every: row.get("check_every")?,
            server_silence: row.get("server_silence")?,
            router_silence: row.get("router_silence")?,
            heartbeat_every: row.get("heartbeat_every")?,
            controller_lease: row.get("controller_lease")?,
            drift_ppm: row.get("drift_ppm")?,
        })
    }
}

/// Makes the row of one entity.
pub(crate) fn row_of<'a>(path: &str, layers: &[&'a Fields], origin: &Origin) -> Row<'a> {
    Row {
        table: DEPLOYMENT,
        path: path.to_owned(),
        layers: layers.to_vec(),
        origin: origin.clone(),
    }
}

/// Returns the start of a file, for what is missing in it.
pub(crate) fn start_of(file: &str) -> Origin {
    Origin {
        file: file.into(),
        line: 1,
        column: 1,
    }
}
