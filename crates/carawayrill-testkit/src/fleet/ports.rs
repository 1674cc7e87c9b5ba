//! Allocates free loopback ports.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::process;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use crate::fleet::Error;

/// The first port of the range.
const FIRST_PORT: u32 = 23_000;
/// The number of ports in the range. The range ends below the ephemeral ports of the system, so
/// that an outgoing connection can't take the port of a router while the router restarts.
const PORT_COUNT: u32 = 9_000;
/// The distance between the first ports that two processes with consecutive ids try.
const PROCESS_STRIDE: u32 = 131;

static NEXT_STEP: AtomicU32 = AtomicU32::new(0);

/// Returns an address with a free loopback port, a different one on each call. Another process may
/// bind the port before it is used; the process that was to listen on it then fails to start and
/// logs the address.
///
/// # Errors
///
/// Returns an error if all ports of the range are in use.
pub fn free_address() -> Result<SocketAddr, Error> {
    for _ in 0..PORT_COUNT {
        let step = NEXT_STEP.fetch_add(1, Ordering::Relaxed);
        let offset = process::id()
            .wrapping_mul(PROCESS_STRIDE)
            .wrapping_add(step)
            % PORT_COUNT;
        let port = u16::try_from(FIRST_PORT + offset)?;
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        if TcpListener::bind(address).is_ok() {
            return Ok(address);
        }
    }
    Err("all ports of the range are in use".into())
}
