//! HTTP/1.1 on blocking sockets.

use std::io::ErrorKind;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

#[derive(Debug, Clone, Default)]
pub struct Message {
    /// The request line or the status line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(n, _)| n == name)
            .map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or("")
    }

    /// The path without the query.
    pub fn path(&self) -> &str {
        let target = self.start.split(' ').nth(1).unwrap_or("");
        target.split('?').next().unwrap_or("")
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        let target = self.start.split(' ').nth(1)?;
        let (_, query) = target.split_once('?')?;
        query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(n, _)| *n == name)
            .map(|(_, value)| value)
    }

    pub fn status(&self) -> u16 {
        let code = self.start.split(' ').nth(1);
        code.and_then(|code| code.parse().ok()).unwrap_or(0)
    }
}

/// A connection with what was read ahead.
pub struct Connection {
    pub stream: TcpStream,
    pub ahead: Vec<u8>,
}

/// Why no message was read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoMessage {
    Closed,
    TimedOut,
    Stopped,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            ahead: Vec::new(),
        }
    }

    pub fn connect(to: SocketAddr, timeout: Duration) -> Option<Self> {
        TcpStream::connect_timeout(&to, timeout).ok().map(Self::new)
    }

    /// Reads more bytes. `go_on` is asked now and then while none arrive.
    fn fill(&mut self, until: Instant, go_on: &dyn Fn() -> bool) -> Result<(), NoMessage> {
        let mut buf = [0; 16_384];
        loop {
            if !go_on() {
                return Err(NoMessage::Stopped);
            }
            if Instant::now() >= until {
                return Err(NoMessage::TimedOut);
            }
            let _ = self
                .stream
                .set_read_timeout(Some(Duration::from_millis(20)));
            match self.stream.read(&mut buf) {
                Ok(0) => return Err(NoMessage::Closed),
                Ok(read) => {
                    self.ahead.extend_from_slice(&buf[..read]);
                    return Ok(());
                }
                Err(err)
                    if matches!(
                        err.kind(),
                        ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted
                    ) => {}
                Err(_) => return Err(NoMessage::Closed),
            }
        }
    }

    /// Reads a whole message. A response without a length ends with its connection.
    pub fn read(
        &mut self,
        timeout: Duration,
        is_response: bool,
        go_on: &dyn Fn() -> bool,
    ) -> Result<Message, NoMessage> {
        let until = Instant::now() + timeout;
        let head_end = loop {
            if let Some(at) = find(&self.ahead, b"\r\n\r\n") {
                break at;
            }
            self.fill(until, go_on)?;
        };
        let head = String::from_utf8_lossy(&self.ahead[..head_end]).into_owned();
        self.ahead.drain(..head_end + 4);
        let mut lines = head.split("\r\n");
        let mut message = Message {
            start: lines.next().unwrap_or("").to_owned(),
            ..Message::default()
        };
        for line in lines {
            if let Some((name, value)) = line.split_once(':') {
                message
                    .headers
                    .push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
            }
        }
        if message.header("transfer-encoding").is_some() {
            message.body = self.read_chunks(until, go_on)?;
            return Ok(message);
        }
        let length = message.header("content-length");
        match length.and_then(|length| length.parse::<usize>().ok()) {
            Some(length) => {
                while self.ahead.len() < length {
                    self.fill(until, go_on)?;
                }
                message.body = self.ahead.drain(..length).collect();
            }
            None if is_response => {
                loop {
                    match self.fill(until, go_on) {
                        Ok(()) => {}
                        Err(NoMessage::Closed) => break,
                        Err(other) => return Err(other),
                    }
                }
                message.body = std::mem::take(&mut self.ahead);
            }
            None => {}
        }
        Ok(message)
    }

    fn read_chunks(
        &mut self,
        until: Instant,
        go_on: &dyn Fn() -> bool,
    ) -> Result<Vec<u8>, NoMessage> {
        let mut body = Vec::new();
        loop {
            let at = loop {
                if let Some(at) = find(&self.ahead, b"\r\n") {
                    break at;
                }
                self.fill(until, go_on)?;
            };
            let size = String::from_utf8_lossy(&self.ahead[..at]).into_owned();
            let size = usize::from_str_radix(size.split(';').next().unwrap_or("").trim(), 16);
            let size = size.map_err(|_err| NoMessage::Closed)?;
            self.ahead.drain(..at + 2);
            while self.ahead.len() < size + 2 {
                self.fill(until, go_on)?;
            }
            body.extend(self.ahead.drain(..size));
            self.ahead.drain(..2);
            if size == 0 {
                return Ok(body);
            }
        }
    }

    pub fn send(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }

    pub fn respond(&mut self, status: &str, head: &str, body: &[u8]) -> bool {
        let length = body.len();
        let mut bytes =
            format!("HTTP/1.1 {status}\r\n{head}Content-Length: {length}\r\n\r\n").into_bytes();
        bytes.extend_from_slice(body);
        self.send(&bytes)
    }

    /// Returns whether the peer has closed the connection, without waiting. Reads ahead.
    pub fn is_closed(&mut self) -> bool {
        let mut buf = [0; 4_096];
        if self.stream.set_nonblocking(true).is_err() {
            return true;
        }
        let read = self.stream.read(&mut buf);
        let _ = self.stream.set_nonblocking(false);
        match read {
            Ok(0) => true,
            Ok(read) => {
                self.ahead.extend_from_slice(&buf[..read]);
                false
            }
            Err(err) => err.kind() != ErrorKind::WouldBlock,
        }
    }
}

fn find(bytes: &[u8], what: &[u8]) -> Option<usize> {
    bytes.windows(what.len()).position(|window| window == what)
}
