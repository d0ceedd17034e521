//! The part of HTTP/1.1 that the stand-ins need: messages with a length.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

/// A request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request line or the status line.
    pub start: String,
    /// The header fields in their order.
    pub fields: Vec<(String, String)>,
    /// The body, as far as it was received.
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the value of a header field.
    pub fn field(&self, name: &str) -> Option<&str> {
        let mut fields = self.fields.iter();
        fields.find(|(found, _)| found.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }

    /// Returns the id of the request that the message belongs to.
    pub fn id(&self) -> &str {
        self.field("x-request-id").unwrap_or_default()
    }

    /// Returns the second word of the start line: the path of a request or the status of a response.
    pub fn second_word(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    /// Returns the status of a response, or 0.
    pub fn status(&self) -> u16 {
        self.second_word().parse().unwrap_or(0)
    }

    /// Returns the announced length of the body.
    pub fn length(&self) -> usize {
        self.field("content-length").and_then(|value| value.parse().ok()).unwrap_or(0)
    }
}

/// Reads the head of a message. `None` if the connection ended before its first byte.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return match message.start.is_empty() {
                true => Ok(None),
                false => Err(io::ErrorKind::UnexpectedEof.into()),
            };
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some(message));
        }
        match (message.start.is_empty(), line.split_once(':')) {
            (true, _) => message.start = line.into(),
            (false, Some((name, value))) => {
                message.fields.push((name.trim().into(), value.trim().into()));
            }
            (false, None) => return Err(io::ErrorKind::InvalidData.into()),
        }
    }
}

/// Reads a whole message.
pub fn read(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else { return Ok(None) };
    message.body = vec![0; message.length()];
    reader.read_exact(&mut message.body)?;
    Ok(Some(message))
}

/// A client's request.
#[derive(Clone, Debug)]
pub struct Request<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub id: &'a str,
    pub key: &'a str,
    pub budget_ms: u64,
    /// The length of the body.
    pub upload: usize,
}

impl Request<'_> {
    fn encode(&self) -> Vec<u8> {
        let Self { method, path, id, key, budget_ms, upload } = self;
        let length = match *method {
            "GET" => String::new(),
            _ => format!("Content-Length: {upload}\r\n"),
        };
        let mut encoded = format!(
            "{method} {path} HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: {id}\r\n\
             X-Deadline-Ms: {budget_ms}\r\nAuthorization: Token {key}\r\n{length}\r\n"
        )
        .into_bytes();
        encoded.resize(encoded.len() + upload, b'u');
        encoded
    }
}

/// A client's connection, which carries one request after the other.
pub struct Connection {
    reader: BufReader<TcpStream>,
}

impl Connection {
    pub fn open(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(20)))?;
        Ok(Self { reader: BufReader::new(stream) })
    }

    /// Sends a request without waiting for its answer.
    pub fn send(&mut self, request: &Request<'_>) -> io::Result<()> {
        self.reader.get_mut().write_all(&request.encode())
    }

    /// Reads the next answer.
    pub fn receive(&mut self) -> io::Result<Message> {
        read(&mut self.reader)?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
    }

    /// Reads the next answer at the given rate at most. The body of the answer is counted and not
    /// kept. Returns the head, how many bytes of the body were received, and how the reading ended.
    pub fn receive_slowly(&mut self, bytes_per_s: usize) -> (Message, usize, io::Result<()>) {
        const CHUNK_BYTES: usize = 64 << 10;
        let head = match read_head(&mut self.reader) {
            Ok(Some(head)) => head,
            Ok(None) => return (Message::default(), 0, Err(io::ErrorKind::UnexpectedEof.into())),
            Err(error) => return (Message::default(), 0, Err(error)),
        };
        let started = Instant::now();
        let mut chunk = vec![0; CHUNK_BYTES];
        let mut received = 0;
        while received < head.length() {
            let wanted = CHUNK_BYTES.min(head.length() - received);
            match self.reader.read(&mut chunk[..wanted]) {
                Ok(0) => return (head, received, Err(io::ErrorKind::UnexpectedEof.into())),
                Ok(count) => received += count,
                Err(error) => return (head, received, Err(error)),
            }
            let due = Duration::from_secs_f64(received as f64 / bytes_per_s as f64);
            std::thread::sleep(due.saturating_sub(started.elapsed()));
        }
        (head, received, Ok(()))
    }

    /// Sends a request and reads its answer, unless there is none within the time.
    pub fn exchange_within(
        &mut self,
        request: &Request<'_>,
        time: Duration,
    ) -> io::Result<Message> {
        self.reader.get_ref().set_read_timeout(Some(time))?;
        self.exchange(request)
    }

    /// Sends a request and reads its answer.
    pub fn exchange(&mut self, request: &Request<'_>) -> io::Result<Message> {
        self.send(request)?;
        self.receive()
    }
}
