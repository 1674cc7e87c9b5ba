//! Parses the root URL of an external system.

use std::net::SocketAddr;

use crate::Error;

/// Returns the address in `http://IP:PORT`, with or without trailing slashes.
///
/// # Errors
///
/// Fails if the text has another form. Host names are not resolved, because the processes of the
/// system connect to each other by IP address.
pub fn address_of(url: &str) -> Result<SocketAddr, Error> {
    let bad = || Error::malformed(format!("`{url}` is not of the form http://IP:PORT"));
    let rest = url.strip_prefix("http://").ok_or_else(bad)?;
    rest.trim_end_matches('/').parse().map_err(|_err| bad())
}
