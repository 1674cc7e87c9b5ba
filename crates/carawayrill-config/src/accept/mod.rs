//! Acceptance of configurations as numbered generations.
//!
//! A part, which is the base file or one overlay, is an immutable object named by its digest. The
//! object `config/head` lists the parts of the generation in force. It is changed by conditional
//! updates only, so that no reader sees half of an edit. Each head contains the digest of its
//! predecessor, which is stored as a part too. Through this history, the generation that an edit is
//! based on can be read back, and an edit whose response was lost can be found.
//!
//! [`propose`] puts an edit in force. [`ConfigView`] tracks the generation in force in a process.

mod edit;
mod error;
mod head;
mod history;
mod merge;
mod propose;
mod transition;
mod view;
mod yaml;

pub use crate::accept::edit::Edit;
pub use crate::accept::edit::EditOutcome;
pub use crate::accept::edit::RetryPolicy;
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
