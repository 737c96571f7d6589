//! HTTP/1.1 messages over plain sockets.

use std::io::{BufRead, BufReader, Read, Result, Write};
use std::net::TcpStream;

/// Head and body of a request or of a response.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// First line.
    pub start: String,
    /// Header fields, names in lower case.
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(field, _)| field == name).map(|(_, value)| value.as_str())
    }

    /// Path and query of a request.
    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    /// Status of a response; 0 if it has none.
    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    /// Value of a parameter of a request's query.
    pub fn query(&self, name: &str) -> Option<&str> {
        let query = self.target().split_once('?')?.1;
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.into_iter().find(|(key, _)| *key == name).map(|(_, value)| value)
    }
}

/// A connection with a buffer for what was read.
pub struct Connection {
    reader: BufReader<TcpStream>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        stream.set_nodelay(true).ok();
        Self { reader: BufReader::new(stream) }
    }

    pub fn stream(&mut self) -> &mut TcpStream {
        self.reader.get_mut()
    }

    pub fn write(&mut self, bytes: &[u8]) -> Result<()> {
        self.stream().write_all(bytes)
    }

    /// Reads one whole message; `None` if the connection ended before its first byte.
    pub fn read(&mut self) -> Result<Option<Message>> {
        let mut message = Message::default();
        let Some(start) = self.line()? else {
            return Ok(None);
        };
        message.start = start;
        loop {
            let line = self.line()?.ok_or(std::io::ErrorKind::UnexpectedEof)?;
            if line.is_empty() {
                break;
            }
            if let Some((name, value)) = line.split_once(':') {
                message.fields.push((name.trim().to_lowercase(), value.trim().to_owned()));
            }
        }
        if message.field("transfer-encoding").is_some() {
            loop {
                let line = self.line()?.ok_or(std::io::ErrorKind::UnexpectedEof)?;
                let size = usize::from_str_radix(line.trim(), 16);
                let size = size.map_err(|_| std::io::ErrorKind::InvalidData)?;
                let mut chunk = vec![0; size + 2];
                self.reader.read_exact(&mut chunk)?;
                message.body.extend_from_slice(&chunk[..size]);
                if size == 0 {
                    break;
                }
            }
        } else if let Some(length) = message.field("content-length").and_then(|l| l.parse().ok()) {
            message.body = vec![0; length];
            self.reader.read_exact(&mut message.body)?;
        }
        Ok(Some(message))
    }

    fn line(&mut self) -> Result<Option<String>> {
        let mut line = String::new();
        if self.reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        Ok(Some(line.trim_end().to_owned()))
    }
}

/// A response with a length.
pub fn response(status: &str, fields: &str, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 {status}\r\n{fields}Content-Length: {length}\r\n\r\n{body}")
}
