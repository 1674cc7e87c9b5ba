//! A small HTTP/1.1: reads requests and responses, and sends them, on blocking sockets.

use std::collections::BTreeMap;
use std::io::BufRead;
use std::io::BufReader;
use std::io::ErrorKind;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

/// A request or a response.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// The first line.
    pub start: String,
    /// The headers by their name in lower case.
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    /// Returns a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }

    /// Returns the method of a request.
    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or("")
    }

    /// Returns the target of a request.
    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }

    /// Returns the status of a response.
    pub fn status(&self) -> u16 {
        let status = self.start.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// Reads one message with a body of a stated length or in chunks.
pub fn read_message(stream: &mut BufReader<TcpStream>) -> std::io::Result<Message> {
    let bad = |text: &str| std::io::Error::new(ErrorKind::InvalidData, text);
    let mut message = Message::default();
    let mut line = String::new();
    if stream.read_line(&mut line)? == 0 {
        return Err(ErrorKind::UnexpectedEof.into());
    }
    message.start = line.trim_end().to_owned();
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line)? == 0 {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':').ok_or_else(|| bad("a header"))?;
        let name = name.trim().to_ascii_lowercase();
        message.headers.insert(name, value.trim().to_owned());
    }
    if message.header("transfer-encoding").is_some() {
        loop {
            let mut line = String::new();
            stream.read_line(&mut line)?;
            let size = usize::from_str_radix(line.trim(), 16).map_err(|_| bad("a chunk"))?;
            let mut chunk = vec![0; size + 2];
            stream.read_exact(&mut chunk)?;
            message.body.extend_from_slice(&chunk[..size]);
            if size == 0 {
                return Ok(message);
            }
        }
    }
    let length = message.header("content-length").unwrap_or("0");
    let length: usize = length.parse().map_err(|_| bad("a length"))?;
    message.body = vec![0; length];
    stream.read_exact(&mut message.body)?;
    Ok(message)
}

/// Writes a response. `head` holds more header lines, each with its line end.
pub fn write_response(
    stream: &mut TcpStream,
    status: &str,
    head: &str,
    body: &[u8],
) -> std::io::Result<()> {
    let mut out = format!(
        "HTTP/1.1 {status}\r\n{head}content-length: {}\r\n\r\n",
        body.len()
    )
    .into_bytes();
    out.extend_from_slice(body);
    stream.write_all(&out)
}

/// Sends one request on a new connection and returns the response, or what went wrong.
pub fn call(
    to: SocketAddr,
    start: &str,
    head: &str,
    body: &[u8],
    timeout: Duration,
) -> Result<Message, String> {
    let until = Instant::now() + timeout;
    let text = |err: std::io::Error| err.to_string();
    let mut stream = TcpStream::connect_timeout(&to, timeout).map_err(text)?;
    stream.set_nodelay(true).map_err(text)?;
    let head = format!(
        "{start} HTTP/1.1\r\n{head}content-length: {}\r\nconnection: close\r\n\r\n",
        body.len()
    );
    stream.set_write_timeout(Some(timeout)).map_err(text)?;
    stream.write_all(head.as_bytes()).map_err(text)?;
    stream.write_all(body).map_err(text)?;
    let left = until.saturating_duration_since(Instant::now());
    if left.is_zero() {
        return Err("time limit".into());
    }
    stream.set_read_timeout(Some(left)).map_err(text)?;
    read_message(&mut BufReader::new(stream)).map_err(text)
}
