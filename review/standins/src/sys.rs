//! The few calls of the system that the standard library does not offer.

use std::net::TcpStream;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

unsafe extern "C" {
    fn listen(socket: i32, backlog: i32) -> i32;
    fn kill(process: i32, signal: i32) -> i32;
}

/// Lets a listening socket complete no more than one connection that is not accepted.
pub fn shrink_backlog(socket: i32) {
    unsafe { listen(socket, 0) };
}

/// Sends a signal to a process that this one has started.
pub fn signal(process: u32, signal: i32) {
    unsafe { kill(i32::try_from(process).expect("a process id"), signal) };
}

/// Returns the time of day in milliseconds.
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).expect("a time");
    u64::try_from(since.as_millis()).expect("a time")
}

/// Returns whether the peer has closed the connection.
pub fn is_closed(stream: &TcpStream) -> bool {
    if stream.set_nonblocking(true).is_err() {
        return true;
    }
    let peeked = stream.peek(&mut [0; 1]);
    let _ = stream.set_nonblocking(false);
    match peeked {
        Ok(bytes) => bytes == 0,
        Err(err) => err.kind() != std::io::ErrorKind::WouldBlock,
    }
}
