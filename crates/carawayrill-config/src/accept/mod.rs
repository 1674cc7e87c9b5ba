//! Generations: how a configuration comes into force for all processes at once.
//!
//! A part (the base file or one overlay) is an immutable object named by its digest. The object
//! `config/head` names the parts of the generation in force and is changed by conditional update
//! only, so that nobody sees half of an edit. Each head names the digest of the one before it,
//! which is kept as a part too; so the generation that an edit started from can be read back, and
//! an edit whose answer was lost can be found.
//!
//! [`propose`] brings an edit in; [`ConfigView`] is what a daemon holds.

mod edit;
mod error;
mod head;
mod history;
mod merge;
mod propose;
mod transition;
mod view;
mod yaml;

pub use crate::accept::edit::Backoff;
pub use crate::accept::edit::Edit;
pub use crate::accept::edit::EditOutcome;
pub use crate::accept::error::Error;
pub use crate::accept::head::Digest;
pub use crate::accept::head::Head;
pub use crate::accept::merge::MergeConflict;
pub use crate::accept::merge::merge;
pub use crate::accept::propose::propose;
pub use crate::accept::transition::changes_authority;
pub use crate::accept::view::AcceptedConfig;
pub use crate::accept::view::ConfigView;
pub use crate::accept::view::fetch;
pub use crate::accept::view::fetch_files;
