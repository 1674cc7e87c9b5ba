//! Parses a settings file to a flat table that maps paths of keys to values.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use carawayrill_core::id::check_text;
use compact_str::CompactString;
use marked_yaml::LoadError;
use marked_yaml::LoaderOptions;
use marked_yaml::Marker;
use marked_yaml::Node;
use marked_yaml::parse_yaml_with_options;
use marked_yaml::types::MarkedMappingNode;

use crate::Origin;
use crate::Problem;
use crate::schema;
use crate::schema::Scope;
use crate::schema::Setting;

/// One value of a file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Value {
    /// The text, without quotes.
    pub(crate) text: String,
    /// The position in the file.
    pub(crate) origin: Origin,
}

/// The values of one file by path, for example `services.forms.shards`.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct Fields {
    pub(crate) values: BTreeMap<String, Value>,
}

impl Fields {
    /// Returns the value at `path`.
    pub(crate) fn get(&self, path: &str) -> Option<&Value> {
        self.values.get(path)
    }

    /// Returns the names below the mapping `section`, each with the origin of its first value.
    pub(crate) fn names(&self, section: &str) -> BTreeMap<CompactString, Origin> {
        let prefix = format!("{section}.");
        let mut names = BTreeMap::new();
        let from = self.values.range(prefix.clone()..);
        for (path, value) in from.take_while(|(path, _)| path.starts_with(&prefix)) {
            let name = path[prefix.len()..].split('.').next().unwrap_or_default();
            let first = names
                .entry(CompactString::from(name))
                .or_insert_with(|| value.origin.clone());
            if value.origin < *first {
                *first = value.origin.clone();
            }
        }
        names
    }
}

/// A parser that checks one file against a table of settings.
#[derive(Debug)]
pub(crate) struct FileReader<'a> {
    /// The name of the file.
    pub(crate) file: &'a str,
    /// The settings that the file may contain.
    pub(crate) table: &'a [Setting],
    /// Whether the file is an overlay, which must not contain settings of the base file.
    pub(crate) is_overlay: bool,
    /// The problems found so far.
    pub(crate) problems: Vec<Problem>,
    /// Whether the file could not be parsed, so that its values are unknown.
    pub(crate) unreadable: bool,
}

impl<'a> FileReader<'a> {
    pub(crate) fn new(file: &'a str, table: &'a [Setting], is_overlay: bool) -> Self {
        Self {
            file,
            table,
            is_overlay,
            problems: Vec::new(),
            unreadable: false,
        }
    }
}

impl FileReader<'_> {
    /// Parses `text`; problems are added to `self.problems`.
    pub(crate) fn read(&mut self, text: &str) -> Fields {
        let mut fields = Fields::default();
        if is_blank(text) {
            return fields;
        }
        self.check_single_document(text);
        match self.parse(text) {
            Some(Node::Mapping(map)) => self.read_mapping("", &map, &mut fields),
            _ => self.unreadable = true,
        }
        fields
    }

    /// Reports a second document, which the parser would ignore silently.
    fn check_single_document(&mut self, text: &str) {
        let lines = text.lines().enumerate();
        let mut lines = lines.skip_while(|(_, line)| is_blank(line));
        if let Some((at, _)) = lines.find(|(_, line)| line.starts_with("---")) {
            let origin = Origin {
                line: at + 1,
                ..self.origin(None)
            };
            let text = "a second document begins; expected one document per file";
            self.problems.push(Problem::new(&origin, "", text));
        }
    }

    /// Parses the text. A duplicate key is reported, and the rest of the file is still parsed.
    fn parse(&mut self, text: &str) -> Option<Node> {
        let strict = LoaderOptions::default().error_on_duplicate_keys(true);
        match parse_yaml_with_options(0, text, strict) {
            Ok(node) => Some(node),
            Err(err) => {
                self.report_load_error(&err);
                matches!(err, LoadError::DuplicateKey(_))
                    .then(|| parse_yaml_with_options(0, text, LoaderOptions::default()).ok())?
            }
        }
    }

    /// Reports text that is not YAML or uses an unsupported feature of YAML.
    fn report_load_error(&mut self, err: &LoadError) {
        let (marker, text) = match err {
            LoadError::TopLevelMustBeMapping(at) => (Some(*at), "expected a mapping".to_owned()),
            LoadError::TopLevelMustBeSequence(at) => (Some(*at), "expected a list".to_owned()),
            LoadError::UnexpectedAnchor(at) => (
                Some(*at),
                "anchors and aliases are not supported".to_owned(),
            ),
            LoadError::MappingKeyMustBeScalar(at) => {
                (Some(*at), "expected a name before the colon".to_owned())
            }
            LoadError::UnexpectedTag(at) => (Some(*at), "tags are not supported".to_owned()),
            LoadError::ScanError(at, err) => (Some(*at), format!("not YAML: {err}")),
            LoadError::DuplicateKey(keys) => {
                let first = keys.prev_key.span().start().map_or(0, Marker::line);
                let text = format!(
                    "`{}` is written twice, first in line {first}; expected one entry",
                    keys.key.as_str()
                );
                (keys.key.span().start().copied(), text)
            }
        };
        let origin = self.origin(marker.as_ref());
        self.problems.push(Problem::new(&origin, "", text));
    }

    /// Returns the position of a node.
    fn origin(&self, marker: Option<&Marker>) -> Origin {
        Origin {
            file: self.file.into(),
            line: marker.map_or(1, Marker::line),
            column: marker.map_or(1, Marker::column),
        }
    }

    /// Reads the mapping at `path`.
    fn read_mapping(&mut self, path: &str, map: &MarkedMappingNode, fields: &mut Fields) {
        let has_chosen_keys = self.has_chosen_keys(path);
        for (key, node) in map.iter() {
            let child = join_path(path, key.as_str());
            let origin = self.origin(key.span().start());
            if has_chosen_keys && check_text("Name", key.as_str()).is_err() {
                let expected = schema::ValueKind::Name.expected();
                self.problems
                    .push(Problem::value(&origin, &child, key.as_str(), &expected));
                continue;
            }
            self.read_entry(&child, node, &origin, fields);
        }
    }

    /// Reads the entry at `path`, whose key is at `key`.
    fn read_entry(&mut self, path: &str, node: &Node, key: &Origin, fields: &mut Fields) {
        let setting = schema::find(self.table, path);
        let is_below = || self.table.iter().any(|setting| setting.is_below(path));
        let inner = setting.is_none() && is_below();
        match (setting, node) {
            (Some(setting), Node::Scalar(scalar)) => {
                let origin = self.origin(scalar.span().start());
                self.read_value(path, setting, scalar.as_str(), &origin, fields);
            }
            (Some(setting), _) => {
                let text = format!(
                    "found a mapping or a list, expected {}",
                    setting.kind.expected()
                );
                self.problems.push(Problem::new(key, path, text));
            }
            (None, Node::Mapping(map)) if inner => {
                if map.is_empty() && path.contains('.') {
                    self.report_empty(path, key);
                }
                self.read_mapping(path, map, fields);
            }
            (None, _) if inner => self.report_empty(path, key),
            (None, _) => self.report_unknown(path, key),
        }
    }

    /// Checks and stores one value.
    fn read_value(
        &mut self,
        path: &str,
        setting: &Setting,
        text: &str,
        origin: &Origin,
        fields: &mut Fields,
    ) {
        if self.is_overlay && setting.scope == Scope::Base {
            let text = "this can be set in the base file only";
            self.problems.push(Problem::new(origin, path, text));
            return;
        }
        if !setting.kind.accepts(text) {
            let expected = setting.kind.expected();
            self.problems
                .push(Problem::value(origin, path, text, &expected));
        }
        let value = Value {
            text: text.to_owned(),
            origin: origin.clone(),
        };
        fields.values.insert(path.to_owned(), value);
    }

    /// Returns whether the keys of the mapping at `path` are names that the operator chooses.
    fn has_chosen_keys(&self, path: &str) -> bool {
        self.table
            .iter()
            .any(|setting| setting.child_key(path) == Some("*"))
    }

    /// Reports an entry that has no fields but needs some.
    fn report_empty(&mut self, path: &str, key: &Origin) {
        let text = format!("expected a mapping with {}", self.allowed_keys(path));
        self.problems.push(Problem::new(key, path, text));
    }

    /// Reports a field that is not in the table of settings.
    fn report_unknown(&mut self, path: &str, key: &Origin) {
        let parent = path.rsplit_once('.').map_or("", |(parent, _)| parent);
        let text = format!("unknown field; expected {}", self.allowed_keys(parent));
        self.problems.push(Problem::new(key, path, text));
    }

    /// Lists the keys that the mapping at `path` may have.
    fn allowed_keys(&self, path: &str) -> String {
        let names: BTreeSet<&str> = self
            .table
            .iter()
            .filter(|setting| !(self.is_overlay && setting.scope == Scope::Base))
            .filter_map(|setting| setting.child_key(path))
            .collect();
        let names: Vec<&str> = names
            .into_iter()
            .map(|name| if name == "*" { "a name" } else { name })
            .collect();
        names.join(", ")
    }
}

/// Appends a key to a path.
pub(crate) fn join_path(path: &str, key: &str) -> String {
    if path.is_empty() {
        return key.to_owned();
    }
    format!("{path}.{key}")
}

/// Returns whether a text has only blank lines, comments and document markers.
fn is_blank(text: &str) -> bool {
    text.lines()
        .map(str::trim)
        .all(|line| line.is_empty() || line.starts_with('#') || line == "---")
}
