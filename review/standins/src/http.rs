//! HTTP/1.1 over blocking sockets, as text, so that each byte is under the stand-in's control.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

/// Head and body of a message.
#[derive(Debug, Clone)]
pub struct Message {
    /// Words of the first line.
    pub first: Vec<String>,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.first.get(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    pub fn path(&self) -> &str {
        self.first.get(1).map_or("", |path| path.split('?').next().unwrap_or(""))
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.first.get(1)?.split_once('?')?.1;
        let pair = query.split('&').filter_map(|p| p.split_once('=')).find(|(n, _)| *n == name);
        pair.map(|(_, value)| value.to_owned())
    }
}

/// A connection with the bytes that were read but not used yet.
pub struct Connection {
    pub stream: TcpStream,
    pub buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        stream.set_nodelay(true).ok();
        Self { stream, buffer: Vec::new() }
    }

    /// Reads more bytes; false at the end of the connection or if it failed.
    pub fn fill(&mut self) -> bool {
        let mut bytes = [0; 16_384];
        match self.stream.read(&mut bytes) {
            Ok(0) | Err(_) => false,
            Ok(count) => {
                self.buffer.extend_from_slice(&bytes[..count]);
                true
            }
        }
    }

    /// Reads the head of a message, without its body.
    pub fn head(&mut self) -> Option<Message> {
        loop {
            if let Some(end) = self.buffer.windows(4).position(|w| w == b"\r\n\r\n") {
                let head: Vec<u8> = self.buffer.drain(..end + 4).collect();
                let head = String::from_utf8_lossy(&head).into_owned();
                let mut lines = head.lines();
                let first = lines.next()?.split(' ').map(ToOwned::to_owned).collect();
                let fields = lines.filter_map(|l| l.split_once(':'));
                let headers =
                    fields.map(|(n, v)| (n.trim().to_owned(), v.trim().to_owned())).collect();
                return Some(Message { first, headers, body: Vec::new() });
            }
            if !self.fill() {
                return None;
            }
        }
    }

    fn exactly(&mut self, count: usize) -> Option<Vec<u8>> {
        while self.buffer.len() < count {
            if !self.fill() {
                return None;
            }
        }
        Some(self.buffer.drain(..count).collect())
    }

    /// Reads the next chunk of a chunked body; empty at its end.
    pub fn chunk(&mut self) -> Option<Vec<u8>> {
        let line = loop {
            if let Some(end) = self.buffer.windows(2).position(|w| w == b"\r\n") {
                break end;
            }
            if !self.fill() {
                return None;
            }
        };
        let size: Vec<u8> = self.buffer.drain(..line + 2).collect();
        let size = std::str::from_utf8(&size[..line]).ok()?;
        let size = usize::from_str_radix(size.split(';').next()?.trim(), 16).ok()?;
        let mut bytes = self.exactly(size + 2)?;
        bytes.truncate(size);
        Some(bytes)
    }

    /// Reads a whole message with a length or in chunks.
    pub fn message(&mut self) -> Option<Message> {
        let mut message = self.head()?;
        if message.header("transfer-encoding").is_some() {
            loop {
                let chunk = self.chunk()?;
                if chunk.is_empty() {
                    return Some(message);
                }
                message.body.extend(chunk);
            }
        }
        let length = message.header("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
        message.body = self.exactly(length)?;
        Some(message)
    }

    pub fn write(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }

    /// Whether the peer has closed the connection.
    pub fn is_closed(&mut self) -> bool {
        self.stream.set_nonblocking(true).ok();
        let mut byte = [0; 1];
        let peeked = self.stream.peek(&mut byte);
        self.stream.set_nonblocking(false).ok();
        match peeked {
            Ok(0) => true,
            Ok(_) => false,
            Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
        }
    }

    pub fn set_timeout(&self, timeout: Duration) {
        self.stream.set_read_timeout(Some(timeout)).ok();
    }
}

/// A response with a length.
pub fn response(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut head = format!("HTTP/1.1 {status} -\r\ncontent-length: {}\r\n", body.len());
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    head += "\r\n";
    [head.as_bytes(), body].concat()
}
