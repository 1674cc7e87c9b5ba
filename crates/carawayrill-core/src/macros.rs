//! Macros for the sets of derives and the newtypes that the whole workspace uses.
//!
//! Each macro adds one common set of derives, so that a type's declaration names the kind of value
//! (plain data, small `Copy` data, an identifier) instead of repeating the list of derives.

/// Declares data types that are `Clone`, `Eq` and serialisable.
#[macro_export]
macro_rules! data {
    ($($(#[$meta:meta])* $vis:vis $kind:ident $name:ident $body:tt)+) => {
        $(
            #[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
            $(#[$meta])*
            $vis $kind $name $body
        )+
    };
}

/// Declares small data types that are also `Copy`, `Ord` and `Hash`.
#[macro_export]
macro_rules! small_data {
    ($($(#[$meta:meta])* $vis:vis $kind:ident $name:ident $body:tt)+) => {
        $(
            #[derive(
                Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash,
                serde::Serialize, serde::Deserialize,
            )]
            $(#[$meta])*
            $vis $kind $name $body
        )+
    };
}

/// Declares `u64` newtypes that are `Copy`, `Ord` and `Hash`, for hashes and clock readings.
#[macro_export]
macro_rules! number {
    ($($(#[$meta:meta])* $name:ident;)+) => {
        $(
            #[derive(
                Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash,
                serde::Serialize, serde::Deserialize,
            )]
            $(#[$meta])*
            #[serde(transparent)]
            pub struct $name(pub u64);
        )+
    };
}

/// Declares text identifiers with `Display`, `FromStr` and `TryFrom<&str>`.
///
/// An identifier has 1 to 63 characters out of `a-z`, `0-9`, `-` and `_`.
#[macro_export]
macro_rules! text_id {
    ($($(#[$meta:meta])* $name:ident;)+) => {
        $(
            #[derive(
                Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash,
                serde::Serialize, serde::Deserialize,
            )]
            $(#[$meta])*
            #[serde(try_from = "compact_str::CompactString", into = "compact_str::CompactString")]
            pub struct $name(compact_str::CompactString);

            impl $name {
                /// Returns the identifier as text.
                #[must_use]
                pub fn as_str(&self) -> &str {
                    &self.0
                }
            }

            impl std::fmt::Display for $name {
                fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                    f.write_str(&self.0)
                }
            }

            impl TryFrom<compact_str::CompactString> for $name {
                type Error = $crate::Error;

                fn try_from(text: compact_str::CompactString) -> Result<Self, $crate::Error> {
                    $crate::id::check_text(stringify!($name), &text)?;
                    Ok(Self(text))
                }
            }

            impl TryFrom<&str> for $name {
                type Error = $crate::Error;

                fn try_from(text: &str) -> Result<Self, $crate::Error> {
                    Self::try_from(compact_str::CompactString::from(text))
                }
            }

            impl std::str::FromStr for $name {
                type Err = $crate::Error;

                fn from_str(text: &str) -> Result<Self, $crate::Error> {
                    Self::try_from(text)
                }
            }

            impl From<$name> for compact_str::CompactString {
                fn from(id: $name) -> Self {
                    id.0
                }
            }
        )+
    };
}

/// Declares monotonic counters: `u64` newtypes with `Display`, `FromStr` and `next`.
#[macro_export]
macro_rules! counter {
    ($($(#[$meta:meta])* $name:ident;)+) => {
        $(
            #[derive(
                Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash,
                serde::Serialize, serde::Deserialize,
            )]
            $(#[$meta])*
            #[serde(transparent)]
            pub struct $name(pub u64);

            impl $name {
                /// Returns the next value.
                #[must_use]
                pub const fn next(self) -> Self {
                    Self(self.0 + 1)
                }
            }

            impl std::fmt::Display for $name {
                fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                    write!(f, "{}", self.0)
                }
            }

            impl std::str::FromStr for $name {
                type Err = $crate::Error;

                fn from_str(text: &str) -> Result<Self, $crate::Error> {
                    text.parse::<u64>().map(Self).map_err(|_err| {
                        $crate::Error::syntax(stringify!($name), text, "a whole number")
                    })
                }
            }
        )+
    };
}

/// Declares the public error type of a crate as a wrapper of its private error kinds.
///
/// The kind is a private field, so that kinds can be added without breaking callers. `Display` and
/// `source` are those of the kind.
#[macro_export]
macro_rules! layer_error {
    ($(#[$meta:meta])* $vis:vis $name:ident($kind:ident)) => {
        $(#[$meta])*
        #[derive(Debug)]
        $vis struct $name {
            kind: $kind,
        }

        impl From<$kind> for $name {
            fn from(kind: $kind) -> Self {
                Self { kind }
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                self.kind.fmt(f)
            }
        }

        impl std::error::Error for $name {
            fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
                std::error::Error::source(&self.kind)
            }
        }
    };
}
