//! Writes merged fields back as YAML.

use std::collections::BTreeMap;

use serde_yaml_ng::Mapping;
use serde_yaml_ng::Value;

use crate::fields::Fields;

/// Replaces values in the text of a file, so that its comments and order stay. Returns `None` if
/// fields were added or removed, or if a value is not in the text as it was parsed.
pub(crate) fn update_values(
    text: Option<&str>,
    fields: &Fields,
    new_values: &BTreeMap<String, String>,
) -> Option<String> {
    if !fields.values.keys().eq(new_values.keys()) {
        return None;
    }
    let mut lines: Vec<String> = text?.lines().map(str::to_owned).collect();
    let mut edits: Vec<_> = fields
        .values
        .iter()
        .zip(new_values.values())
        .filter(|((_, value), new_value)| value.text != **new_value)
        .map(|((_, value), new_value)| (&value.origin, value.text.as_str(), new_value.as_str()))
        .collect();
    // Edits run from the end of a line to its start, so that the columns before stay valid.
    edits.sort_by_key(|(origin, _, _)| std::cmp::Reverse((origin.line, origin.column)));
    for (origin, old, new) in edits {
        let line = lines.get_mut(origin.line.checked_sub(1)?)?;
        let column = origin.column.checked_sub(1)?;
        let start = line.char_indices().nth(column).map(|(at, _)| at)?;
        let rest = line[start..].strip_prefix(old)?;
        *line = format!("{}{new}{rest}", &line[..start]);
    }
    Some(lines.join("\n") + "\n")
}

/// Formats fields as a new file.
pub(crate) fn write_new(fields: &BTreeMap<String, String>) -> String {
    let mut root = Mapping::new();
    for (path, value) in fields {
        insert(&mut root, path, value);
    }
    serde_yaml_ng::to_string(&root).unwrap_or_default()
}

/// Inserts one value at its path.
fn insert(map: &mut Mapping, path: &str, value: &str) {
    let Some((key, rest)) = path.split_once('.') else {
        map.insert(path.into(), value.into());
        return;
    };
    let inner = map
        .entry(key.into())
        .or_insert_with(|| Value::Mapping(Mapping::new()));
    if let Value::Mapping(inner) = inner {
        insert(inner, rest, value);
    }
}
