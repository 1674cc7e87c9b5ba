//! Requests that come again with the same content.

mod fingerprint;

pub use self::fingerprint::Fingerprint;
pub use self::fingerprint::Fingerprints;
pub use self::fingerprint::RequestContent;
