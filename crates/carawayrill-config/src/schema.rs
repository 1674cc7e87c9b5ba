//! The descriptions of settings: path, type, range, default and effect of each.
//!
//! Settings files are checked against tables of [`Setting`]s. The tables in the operators'
//! documentation are generated from them too, so that the two can't differ.

use std::net::SocketAddr;
use std::time::Duration;

use carawayrill_core::id::check_text;
use carawayrill_core::unit::BitRate;
use carawayrill_core::unit::ByteSize;
use carawayrill_core::unit::Span;

use crate::deployment::KeySource;
use crate::deployment::OnStoreOutage;
use crate::deployment::Repeat;

/// The header of the Markdown table.
const MARKDOWN_HEADER: &str =
    "| setting | value | default | in overlays | effect |\n|---|---|---|---|---|\n";

/// The description of one setting.
#[derive(Debug, Clone, Copy)]
pub struct Setting {
    /// Path of the setting; `*` stands for a name that the operator chooses.
    pub path: &'static str,
    /// Type and range of the value.
    pub kind: ValueKind,
    /// Default value; `None` if the setting is required.
    pub default: Option<&'static str>,
    /// Files in which the setting may be written.
    pub scope: Scope,
    /// Effect of the setting, for the documentation.
    pub effect: &'static str,
}

/// The files in which a setting may be written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scope {
    /// The base file only.
    Base,
    /// The base file, or an overlay for its site.
    BaseAndOverlay,
}

/// The type and range of a value.
#[derive(Debug, Clone, Copy)]
pub enum ValueKind {
    /// An identifier.
    Name,
    /// An integer in a range.
    Number {
        /// The smallest value.
        min: u32,
        /// The largest value.
        max: u32,
    },
    /// A duration in a range, in milliseconds.
    Span {
        /// The smallest value.
        min_ms: u64,
        /// The largest value.
        max_ms: u64,
    },
    /// A number of bytes in a range.
    Size {
        /// The smallest value.
        min: u64,
        /// The largest value.
        max: u64,
    },
    /// A bandwidth of at least one bit per second.
    BitRate,
    /// `true` or `false`.
    Bool,
    /// IP address and port.
    Address,
    /// IP addresses with ports, separated by spaces; may be empty.
    Addresses,
    /// Root URL of an HTTP service: `http://` with IP address and port.
    Url,
    /// A [`KeySource`].
    Key,
    /// A [`Repeat`].
    Repeat,
    /// An [`OnStoreOutage`].
    Outage,
}

impl ValueKind {
    /// Describes the accepted values, for messages and documentation.
    #[must_use]
    pub fn expected(self) -> String {
        match self {
            Self::Name => "1 to 63 characters out of a-z, 0-9, - and _".into(),
            Self::Number { min, max } => format!("a whole number from {min} to {max}"),
            Self::Span { min_ms, max_ms } => format!(
                "a whole number with its unit (ms, s, min or h), from {} to {}",
                Span::from_millis(min_ms),
                Span::from_millis(max_ms)
            ),
            Self::Size { min, max } => format!(
                "a whole number with its unit (B, KiB, MiB or GiB), from {} to {}",
                ByteSize(min),
                ByteSize(max)
            ),
            Self::BitRate => {
                "a whole number above 0 with its unit (bit/s, kbit/s, Mbit/s or Gbit/s)".into()
            }
            Self::Bool => "`true` or `false`".into(),
            Self::Address => "an IP address and a port, as in 127.0.0.1:21001".into(),
            Self::Addresses => {
                "IP addresses with ports, separated by spaces, as in 10.0.0.1:7001 10.0.0.2:7001"
                    .into()
            }
            Self::Url => {
                "`http://` with an IP address and a port, as in http://127.0.0.1:20000".into()
            }
            Self::Key => {
                "`header` and its name, `query` and its name, or `path` and a segment's number"
                    .into()
            }
            Self::Repeat => "`all`, `safe_methods` or `never`".into(),
            Self::Outage => "`stop`, or `hold` and a duration, as in `hold 15min`".into(),
        }
    }

    /// Returns whether `text` is an accepted value.
    #[must_use]
    pub fn accepts(self, text: &str) -> bool {
        match self {
            Self::Name => check_text("Name", text).is_ok(),
            Self::Number { min, max } => text
                .parse::<u32>()
                .is_ok_and(|found| (min..=max).contains(&found)),
            Self::Span { min_ms, max_ms } => text.parse::<Span>().is_ok_and(|found| {
                let range = Duration::from_millis(min_ms)..=Duration::from_millis(max_ms);
                range.contains(&found.0)
            }),
            Self::Size { min, max } => text
                .parse::<ByteSize>()
                .is_ok_and(|found| (min..=max).contains(&found.0)),
            Self::BitRate => text.parse::<BitRate>().is_ok_and(|found| found.0 > 0),
            Self::Bool => text.parse::<bool>().is_ok(),
            Self::Address => is_address(text),
            Self::Addresses => text.split_whitespace().all(is_address),
            Self::Url => text.strip_prefix("http://").is_some_and(is_address),
            Self::Key => text.parse::<KeySource>().is_ok(),
            Self::Repeat => text.parse::<Repeat>().is_ok(),
            Self::Outage => text.parse::<OnStoreOutage>().is_ok(),
        }
    }
}

/// Returns whether `text` is an IP address with a port other than 0.
fn is_address(text: &str) -> bool {
    text.parse::<SocketAddr>()
        .is_ok_and(|found| found.port() != 0)
}

impl Setting {
    /// Creates a setting of the base file, or of a daemon's own file.
    pub(crate) const fn base(
        path: &'static str,
        kind: ValueKind,
        default: Option<&'static str>,
        effect: &'static str,
    ) -> Self {
        Self {
            path,
            kind,
            default,
            scope: Scope::Base,
            effect,
        }
    }

    /// Creates a setting that overlays may adjust.
    pub(crate) const fn overridable(
        path: &'static str,
        kind: ValueKind,
        default: Option<&'static str>,
        effect: &'static str,
    ) -> Self {
        Self {
            scope: Scope::BaseAndOverlay,
            ..Self::base(path, kind, default, effect)
        }
    }

    /// Returns whether this is the setting at `path`.
    #[must_use]
    pub fn is_at(&self, path: &str) -> bool {
        let mut pattern = self.path.split('.');
        let mut found = path.split('.');
        loop {
            match (pattern.next(), found.next()) {
                (None, None) => return true,
                (Some(p), Some(f)) if p == "*" || p == f => {}
                _ => return false,
            }
        }
    }

    /// Returns whether this setting lies below the mapping at `path`; the root is the empty path.
    #[must_use]
    pub fn is_below(&self, path: &str) -> bool {
        self.child_key(path).is_some()
    }

    /// Returns the next segment of this setting's path below the mapping at `path`.
    #[must_use]
    pub fn child_key(&self, path: &str) -> Option<&'static str> {
        let mut pattern = self.path.split('.');
        if !path.is_empty() {
            for found in path.split('.') {
                let wanted = pattern.next()?;
                if wanted != "*" && wanted != found {
                    return None;
                }
            }
        }
        pattern.next()
    }

    /// Returns the last segment of this setting's path.
    #[must_use]
    pub fn name(&self) -> &'static str {
        self.path.rsplit('.').next().unwrap_or(self.path)
    }
}

/// Returns the setting at `path`.
#[must_use]
pub fn find<'a>(table: &'a [Setting], path: &str) -> Option<&'a Setting> {
    // The first segment is never `*`, so comparing it first excludes most settings.
    let section = path.split('.').next().unwrap_or(path);
    table
        .iter()
        .filter(|setting| setting.path.starts_with(section))
        .find(|setting| setting.is_at(path))
}

/// Formats a table of settings as Markdown, with one line per setting.
#[must_use]
pub fn markdown_table(table: &[Setting]) -> String {
    let rows = table.iter().map(|setting| {
        let default = match setting.default {
            None => "required".to_owned(),
            Some("") => "none".to_owned(),
            Some(value) => format!("`{value}`"),
        };
        let scope = match setting.scope {
            Scope::Base => "no",
            Scope::BaseAndOverlay => "yes",
        };
        format!(
            "| `{}` | {} | {default} | {scope} | {} |\n",
            setting.path,
            setting.kind.expected(),
            setting.effect
        )
    });
    std::iter::once(MARKDOWN_HEADER.to_owned())
        .chain(rows)
        .collect()
}
