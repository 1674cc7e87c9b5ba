//! The fields of one entity and their conversion to checked types.

use std::str::FromStr;

use crate::Origin;
use crate::Problem;
use crate::deployment::Service;
use crate::deployment::Timing;
use crate::fields::Fields;
use crate::fields::join_path;
use crate::schema;
use crate::schema::Setting;
use crate::settings::DEPLOYMENT;

/// The fields of one entity, from the overlay and the base file.
#[derive(Debug)]
pub(crate) struct EntityFields<'a> {
    /// The settings that the entity may have.
    pub(crate) table: &'a [Setting],
    /// The path of the entity; empty for the root.
    pub(crate) path: String,
    /// The files that may contain the fields; the first one that has a field takes precedence.
    pub(crate) layers: Vec<&'a Fields>,
    /// The origin of the entity's first field.
    pub(crate) origin: Origin,
}

impl EntityFields<'_> {
    /// Returns the origin of a field, or that of its entity if the field is not written.
    pub(crate) fn origin_of(&self, name: &str) -> &Origin {
        let path = join_path(&self.path, name);
        self.layers
            .iter()
            .find_map(|fields| fields.get(&path))
            .map_or(&self.origin, |value| &value.origin)
    }

    /// Returns the text of a field or of its default.
    pub(crate) fn raw(&self, name: &str) -> Option<&str> {
        let path = join_path(&self.path, name);
        self.layers
            .iter()
            .find_map(|fields| fields.get(&path))
            .map(|value| value.text.as_str())
            .or_else(|| schema::find(self.table, &path)?.default)
    }

    /// Parses the text of a field or of its default.
    pub(crate) fn get<T: FromStr>(&self, name: &str) -> Result<T, Problem> {
        let text = self.raw(name).ok_or_else(|| self.missing(name))?;
        text.parse().map_err(|_err| {
            let kind = schema::find(self.table, &join_path(&self.path, name));
            let expected = kind.map_or_else(String::new, |setting| setting.kind.expected());
            Problem::value(
                self.origin_of(name),
                &join_path(&self.path, name),
                text,
                &expected,
            )
        })
    }

    /// Parses an optional field; `None` if it is missing or empty.
    pub(crate) fn get_optional<T: FromStr>(&self, name: &str) -> Result<Option<T>, Problem> {
        match self.raw(name) {
            None | Some("") => Ok(None),
            Some(_) => self.get(name).map(Some),
        }
    }

    /// Returns the problem of a missing required field.
    fn missing(&self, name: &str) -> Problem {
        let path = join_path(&self.path, name);
        let expected = schema::find(self.table, &path)
            .map_or_else(String::new, |setting| setting.kind.expected());
        Problem::new(&self.origin, path, format!("missing; expected {expected}"))
    }

    /// Returns a problem for each required field that is missing.
    pub(crate) fn missing_fields(&self) -> Vec<Problem> {
        self.table
            .iter()
            .filter(|setting| setting.default.is_none())
            .filter(|setting| setting.is_at(&join_path(&self.path, setting.name())))
            .filter(|setting| self.raw(setting.name()).is_none())
            .map(|setting| self.missing(setting.name()))
            .collect()
    }

    /// Returns a problem of the field `name`, for example a conflict with another field.
    pub(crate) fn problem_at(&self, name: &str, text: &str) -> Problem {
        Problem::new(self.origin_of(name), join_path(&self.path, name), text)
    }
}

impl TryFrom<&EntityFields<'_>> for Service {
    type Error = Problem;

    fn try_from(entity: &EntityFields<'_>) -> Result<Self, Problem> {
        let name = entity.path.rsplit('.').next().unwrap_or_default();
        let id = name
            .try_into()
            .map_err(|_err| entity.problem_at("key", "invalid name"))?;
        Ok(Self {
            id,
            key: entity.get("key")?,
            shards: entity.get("shards")?,
            shards_per_block: entity.get("shards_per_block")?,
            slots: entity.get("slots")?,
            connections: entity.get("connections")?,
            repeat: entity.get("repeat")?,
            claim_window: entity.get("claim_window")?,
            default_deadline: entity.get("default_deadline")?,
            max_deadline: entity.get("max_deadline")?,
            max_body: entity.get("max_body")?,
            queue_limit: entity.get("queue_limit")?,
            warm_up: entity.get("warm_up")?,
            on_store_outage: entity.get("on_store_outage")?,
            fencing: entity.get("fencing")?,
        })
    }
}

impl TryFrom<&EntityFields<'_>> for Timing {
    type Error = Problem;

    fn try_from(entity: &EntityFields<'_>) -> Result<Self, Problem> {
        Ok(Self {
            grant_ttl: entity.get("grant_ttl")?,
            renew_every: entity.get("renew_every")?,
            authority: entity.get("authority")?,
            check_every: entity.get("check_every")?,
            server_silence: entity.get("server_silence")?,
            router_silence: entity.get("router_silence")?,
            heartbeat_every: entity.get("heartbeat_every")?,
            controller_lease: entity.get("controller_lease")?,
            drift_ppm: entity.get("drift_ppm")?,
        })
    }
}

/// Returns the fields of the entity at `path`.
pub(crate) fn entity_fields<'a>(
    path: &str,
    layers: &[&'a Fields],
    origin: &Origin,
) -> EntityFields<'a> {
    EntityFields {
        table: DEPLOYMENT,
        path: path.to_owned(),
        layers: layers.to_vec(),
        origin: origin.clone(),
    }
}

/// Returns the start of a file, as the origin of what is missing in it.
pub(crate) fn file_start(file: &str) -> Origin {
    Origin {
        file: file.into(),
        line: 1,
        column: 1,
    }
}
