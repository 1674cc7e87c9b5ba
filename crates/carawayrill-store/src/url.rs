//! From the URL of an outside system's root to its address.

use std::net::SocketAddr;

use crate::Error;

/// Reads the address out of `http://IP:PORT`, with or without a slash behind it.
///
/// # Errors
///
/// Fails if the text has another form. Host names are not looked up: the system's processes talk by
/// IP numbers.
pub fn address_of(url: &str) -> Result<SocketAddr, Error> {
    let bad = || Error::malformed(format!("`{url}` is not of the form http://IP:PORT"));
    let rest = url.strip_prefix("http://").ok_or_else(bad)?;
    rest.trim_end_matches('/').parse().map_err(|_err| bad())
}
