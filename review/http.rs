//! Minimal HTTP/1.1 over blocking sockets: one message at a time, with a length.

use std::io::{self, Read, Write};
use std::net::TcpStream;

/// Head and body of a request or a response.
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the value of a header field; names are compared without regard to case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the second word of the first line: the path of a request, the status of a response.
    pub fn word(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.word().parse().unwrap_or(0)
    }
}

/// Connection that keeps the bytes received beyond a message.
pub struct Conn {
    pub stream: TcpStream,
    unread: Vec<u8>,
}

impl Conn {
    pub fn new(stream: TcpStream) -> Self {
        // An error shows at the next read or write.
        let _ = stream.set_nodelay(true);
        Conn { stream, unread: Vec::new() }
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut chunk = [0_u8; 16_384];
        let len = self.stream.read(&mut chunk)?;
        self.unread.extend_from_slice(&chunk[..len]);
        Ok(len)
    }

    /// Reads one message; `None` if the connection ended before its first byte.
    pub fn read(&mut self) -> io::Result<Option<Message>> {
        let end = loop {
            if let Some(at) = self.unread.windows(4).position(|window| window == b"\r\n\r\n") {
                break at;
            }
            if self.fill()? == 0 {
                let closed = self.unread.is_empty();
                return if closed { Ok(None) } else { Err(io::ErrorKind::UnexpectedEof.into()) };
            }
        };
        let head = String::from_utf8_lossy(&self.unread[..end]).into_owned();
        self.unread.drain(..end + 4);
        let mut lines = head.split("\r\n");
        let first_line = lines.next().unwrap_or("").to_owned();
        let headers: Vec<(String, String)> = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(key, value)| (key.to_owned(), value.trim().to_owned()))
            .collect();
        let mut message = Message { first_line, headers, body: Vec::new() };
        let length = message.header("content-length").and_then(|text| text.parse().ok());
        let length: usize = length.unwrap_or(0);
        while self.unread.len() < length {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        message.body = self.unread.drain(..length).collect();
        Ok(Some(message))
    }
}
