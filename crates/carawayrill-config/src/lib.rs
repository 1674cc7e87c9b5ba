//! What operators declare: from YAML text to checked settings.
//!
//! A deployment is written as one base file and an overlay a site. [`deployment`] holds the
//! checked types that the daemons work with.

pub mod deployment;
