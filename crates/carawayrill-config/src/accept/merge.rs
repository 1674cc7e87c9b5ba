//! The three-way merge of two edits that are based on the same generation.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;

use carawayrill_core::id::DataCentreId;

use crate::ConfigFiles;
use crate::accept::yaml;
use crate::config_files::BASE_FILE;
use crate::config_files::site_file;
use crate::fields::Fields;
use crate::fields::FileReader;
use crate::settings::DEPLOYMENT;

/// A field that both sides changed to different values.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MergeConflict {
    /// File that contains the field.
    pub file: String,
    /// Path of the field, or of the entity that one side removed or both added.
    pub field: String,
    /// Value in the common base; `None` if there was none.
    pub before: Option<String>,
    /// Value in the edit; `None` if the edit removes it.
    pub ours: Option<String>,
    /// Value in force; `None` if it has been removed.
    pub theirs: Option<String>,
}

/// The values of one file by path.
type FlatValues = BTreeMap<String, String>;

/// The three inputs of a merge: the common base, the edit, and the state in force.
#[derive(Debug)]
struct ThreeWay<T> {
    before: T,
    ours: T,
    theirs: T,
}

/// Merges `ours` with `theirs`, which are both based on `before`. Each of the three must be valid.
/// The result may be invalid, so the caller has to check it.
///
/// # Errors
///
/// Returns every field that both changed to different values.
pub fn merge(
    before: &ConfigFiles,
    ours: &ConfigFiles,
    theirs: &ConfigFiles,
) -> Result<ConfigFiles, Vec<MergeConflict>> {
    let mut conflicts = Vec::new();
    let texts = ThreeWay {
        before: Some(before.base.as_str()),
        ours: Some(ours.base.as_str()),
        theirs: Some(theirs.base.as_str()),
    };
    let base = merge_file(BASE_FILE, &texts, &mut conflicts);
    let mut sites = BTreeMap::new();
    let names: BTreeSet<&DataCentreId> = [before, ours, theirs]
        .iter()
        .flat_map(|files| files.sites.keys())
        .collect();
    for site in names {
        let texts = ThreeWay {
            before: before.sites.get(site).map(String::as_str),
            ours: ours.sites.get(site).map(String::as_str),
            theirs: theirs.sites.get(site).map(String::as_str),
        };
        if let Some(text) = merge_file(&site_file(site), &texts, &mut conflicts) {
            sites.insert(site.clone(), text);
        }
    }
    if conflicts.is_empty() {
        let base = base.unwrap_or_default();
        return Ok(ConfigFiles { base, sites });
    }
    Err(conflicts)
}

/// Merges one file. `None` is a file that does not exist.
fn merge_file(
    file: &str,
    texts: &ThreeWay<Option<&str>>,
    conflicts: &mut Vec<MergeConflict>,
) -> Option<String> {
    if texts.ours == texts.before || texts.ours == texts.theirs {
        return texts.theirs.map(str::to_owned);
    }
    if texts.theirs == texts.before {
        return texts.ours.map(str::to_owned);
    }
    let read = |text: Option<&str>| fields_of(file, text.unwrap_or_default());
    let fields = ThreeWay {
        before: read(texts.before),
        ours: read(texts.ours),
        theirs: read(texts.theirs),
    };
    let flat = ThreeWay {
        before: flat_values(&fields.before),
        ours: flat_values(&fields.ours),
        theirs: flat_values(&fields.theirs),
    };
    find_entity_conflicts(file, &flat, conflicts);
    let merged = merge_fields(file, &flat, conflicts);
    let is_removed = texts.ours.is_none() || texts.theirs.is_none();
    if merged.is_empty() && is_removed {
        return None;
    }
    let from_theirs = yaml::update_values(texts.theirs, &fields.theirs, &merged);
    let from_ours = || yaml::update_values(texts.ours, &fields.ours, &merged);
    let chosen = from_theirs.or_else(from_ours);
    let chosen = chosen.filter(|text| flat_values(&fields_of(file, text)) == merged);
    Some(chosen.unwrap_or_else(|| yaml::write_new(&merged)))
}

/// Merges the fields of one file.
fn merge_fields(
    file: &str,
    flat: &ThreeWay<FlatValues>,
    conflicts: &mut Vec<MergeConflict>,
) -> FlatValues {
    let paths: BTreeSet<&String> = [&flat.before, &flat.ours, &flat.theirs]
        .into_iter()
        .flat_map(FlatValues::keys)
        .collect();
    let mut merged = FlatValues::new();
    for path in paths {
        let before = flat.before.get(path);
        let ours = flat.ours.get(path);
        let theirs = flat.theirs.get(path);
        let is_conflict = ours != before && theirs != before && ours != theirs;
        if is_conflict && !conflicts.iter().any(|conflict| conflict.covers(file, path)) {
            conflicts.push(MergeConflict {
                file: file.to_owned(),
                field: path.clone(),
                before: before.cloned(),
                ours: ours.cloned(),
                theirs: theirs.cloned(),
            });
        }
        let chosen = if ours == before { theirs } else { ours };
        merged.extend(chosen.map(|value| (path.clone(), value.clone())));
    }
    merged
}

/// Finds entities that one side removed and the other changed, or that both added differently.
/// Merging them field by field would create entities that neither side declared.
fn find_entity_conflicts(
    file: &str,
    flat: &ThreeWay<FlatValues>,
    conflicts: &mut Vec<MergeConflict>,
) {
    let names: BTreeSet<&str> = [&flat.before, &flat.ours, &flat.theirs]
        .into_iter()
        .flat_map(FlatValues::keys)
        .filter_map(|path| entity_path(path))
        .collect();
    for name in names {
        let before = entity_text(&flat.before, name);
        let ours = entity_text(&flat.ours, name);
        let theirs = entity_text(&flat.theirs, name);
        let differ = ours != theirs && ours != before && theirs != before;
        let is_added_or_removed = before.is_none() || ours.is_none() || theirs.is_none();
        // An overlay's section of a service is not an entity: its fields are independent.
        let is_adjustment = file != BASE_FILE && name.starts_with("services.");
        if differ && is_added_or_removed && !is_adjustment {
            conflicts.push(MergeConflict {
                file: file.to_owned(),
                field: name.to_owned(),
                before,
                ours,
                theirs,
            });
        }
    }
}

/// Returns the path of a field's entity, for example `services.forms`.
fn entity_path(path: &str) -> Option<&str> {
    let (entity, _field) = path.rsplit_once('.')?;
    entity.contains('.').then_some(entity)
}

/// Formats all fields of an entity, or returns `None` if there is no such entity.
fn entity_text(flat: &FlatValues, name: &str) -> Option<String> {
    let prefix = format!("{name}.");
    let fields: Vec<String> = flat
        .range(prefix.clone()..)
        .take_while(|(path, _)| path.starts_with(&prefix))
        .map(|(path, value)| format!("{}: {value}", &path[prefix.len()..]))
        .collect();
    (!fields.is_empty()).then(|| format!("{{{}}}", fields.join(", ")))
}

/// Parses a file that has already been checked.
fn fields_of(file: &str, text: &str) -> Fields {
    FileReader::new(file, DEPLOYMENT, file != BASE_FILE).read(text)
}

/// Returns the values without their origins.
fn flat_values(fields: &Fields) -> FlatValues {
    fields
        .values
        .iter()
        .map(|(path, value)| (path.clone(), value.text.clone()))
        .collect()
}

impl MergeConflict {
    /// Returns whether this conflict of an entity already covers the field at `path`.
    fn covers(&self, file: &str, path: &str) -> bool {
        self.file == file && entity_path(path) == Some(self.field.as_str())
    }
}

impl fmt::Display for MergeConflict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let quoted = |value: &Option<String>| match value {
            Some(value) => format!("`{value}`"),
            None => "nothing".to_owned(),
        };
        write!(
            f,
            "{}: {}: your edit has {}, the configuration in force has {}, the common base has {}",
            self.file,
            self.field,
            quoted(&self.ours),
            quoted(&self.theirs),
            quoted(&self.before)
        )
    }
}
