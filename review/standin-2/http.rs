//! HTTP/1.1 messages with a length, as the stand-ins send and read them.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

/// A request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request line or the status line.
    pub start: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        let found = self.fields.iter().find(|(field, _)| field.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the status of a response.
    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    /// Returns path and query of a request.
    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    pub fn to_bytes(&self) -> Vec<u8> {
        let mut text = format!("{}\r\n", self.start);
        for (name, value) in &self.fields {
            text += &format!("{name}: {value}\r\n");
        }
        if self.field("content-length").is_none() {
            text += &format!("Content-Length: {}\r\n", self.body.len());
        }
        text += "\r\n";
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(&self.body);
        bytes
    }
}

/// A connection with the bytes that were read beyond the last message.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        // Without it, small messages may wait for an acknowledgement.
        let _ = stream.set_nodelay(true);
        Self { stream, buffer: Vec::new() }
    }

    pub fn open(address: SocketAddr, timeout: Duration) -> io::Result<Self> {
        TcpStream::connect_timeout(&address, timeout).map(Self::new)
    }

    pub fn write(&mut self, message: &Message) -> io::Result<()> {
        self.stream.write_all(&message.to_bytes())
    }

    /// Reads one message. Returns `None` if the connection ends before one begins.
    ///
    /// Fails with `TimedOut` if it is not complete at `deadline`.
    pub fn read(&mut self, deadline: Option<Instant>) -> io::Result<Option<Message>> {
        loop {
            if let Some(message) = self.take_message() {
                return Ok(Some(message));
            }
            if let Some(deadline) = deadline {
                let left = deadline.saturating_duration_since(Instant::now());
                if left.is_zero() {
                    return Err(io::ErrorKind::TimedOut.into());
                }
                self.stream.set_read_timeout(Some(left))?;
            }
            let mut chunk = [0; 64 << 10];
            match self.stream.read(&mut chunk) {
                Ok(0) if self.buffer.is_empty() => return Ok(None),
                Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
                Ok(count) => self.buffer.extend_from_slice(&chunk[..count]),
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    return Err(io::ErrorKind::TimedOut.into());
                }
                Err(error) => return Err(error),
            }
        }
    }

    fn take_message(&mut self) -> Option<Message> {
        let end = self.buffer.windows(4).position(|window| window == b"\r\n\r\n")?;
        let head = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        let mut lines = head.split("\r\n");
        let start = lines.next().unwrap_or_default().to_owned();
        let fields = lines.filter_map(|line| {
            let (name, value) = line.split_once(':')?;
            Some((name.trim().to_owned(), value.trim().to_owned()))
        });
        let mut message = Message { start, fields: fields.collect(), body: Vec::new() };
        let length = message.field("content-length").and_then(|text| text.parse().ok());
        let length: usize = length.unwrap_or(0);
        if self.buffer.len() < end + 4 + length {
            return None;
        }
        message.body = self.buffer[end + 4..end + 4 + length].to_vec();
        self.buffer.drain(..end + 4 + length);
        Some(message)
    }
}

/// Builds a response.
pub fn response(status: &str, fields: &[(&str, &str)], body: &[u8]) -> Message {
    Message {
        start: format!("HTTP/1.1 {status}"),
        fields: fields.iter().map(|(name, value)| ((*name).into(), (*value).into())).collect(),
        body: body.to_vec(),
    }
}
