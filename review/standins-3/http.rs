//! HTTP/1.1 messages over a stream.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request line or the status line.
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(key, _)| key.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        let status = self.first.split(' ').nth(1);
        status.and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

/// A connection with what was read of it beyond the last message.
pub struct Conn {
    pub stream: TcpStream,
    pub ahead: Vec<u8>,
}

impl Conn {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, ahead: Vec::new() }
    }

    pub fn open(to: SocketAddr, timeout: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&to, timeout)?;
        stream.set_read_timeout(Some(timeout))?;
        Ok(Self::new(stream))
    }

    fn more(&mut self) -> io::Result<()> {
        let mut buf = [0; 16384];
        let read = self.stream.read(&mut buf)?;
        if read == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        self.ahead.extend_from_slice(&buf[..read]);
        Ok(())
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.ahead.windows(2).position(|pair| pair == b"\r\n") {
                let line = String::from_utf8_lossy(&self.ahead[..end]).into_owned();
                self.ahead.drain(..end + 2);
                return Ok(line);
            }
            self.more()?;
        }
    }

    fn take(&mut self, len: usize) -> io::Result<Vec<u8>> {
        while self.ahead.len() < len {
            self.more()?;
        }
        Ok(self.ahead.drain(..len).collect())
    }

    /// Reads one message with a length or in chunks.
    pub fn read(&mut self) -> io::Result<Message> {
        let mut message = Message { first: self.line()?, ..Message::default() };
        loop {
            let line = self.line()?;
            if line.is_empty() {
                break;
            }
            if let Some((key, value)) = line.split_once(':') {
                message.headers.push((key.trim().to_owned(), value.trim().to_owned()));
            }
        }
        if message.header("transfer-encoding").is_some() {
            loop {
                let size = self.line()?;
                let size = usize::from_str_radix(size.split(';').next().unwrap_or("0").trim(), 16)
                    .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
                let chunk = self.take(size)?;
                message.body.extend_from_slice(&chunk);
                self.line()?;
                if size == 0 {
                    return Ok(message);
                }
            }
        }
        let len = message.header("content-length").and_then(|len| len.parse().ok());
        message.body = self.take(len.unwrap_or(0))?;
        Ok(message)
    }

    /// Writes a message with a length.
    pub fn write(&mut self, first: &str, headers: &[(&str, String)], body: &[u8]) -> io::Result<()> {
        let mut out = format!("{first}\r\n").into_bytes();
        for (key, value) in headers {
            out.extend_from_slice(format!("{key}: {value}\r\n").as_bytes());
        }
        out.extend_from_slice(format!("content-length: {}\r\n\r\n", body.len()).as_bytes());
        out.extend_from_slice(body);
        self.stream.write_all(&out)
    }
}
