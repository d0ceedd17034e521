//! A client of the platform.

use {
    std::{io, net::SocketAddr, time::Duration},
    tokio::{
        io::{AsyncReadExt as _, AsyncWriteExt as _},
        net::TcpStream,
    },
};

/// The longest that a client waits in a test.
const PATIENCE: Duration = Duration::from_secs(20);

/// One request.
#[derive(Clone, Debug)]
pub struct Request {
    /// The method.
    pub method: &'static str,
    /// The host.
    pub host: String,
    /// The path.
    pub path: String,
    /// The id of this try.
    pub id: String,
    /// The key, where there is one.
    pub key: Option<String>,
    /// The time budget, in milliseconds.
    pub budget_ms: u64,
    /// The body.
    pub body: String,
}

impl Request {
    /// Makes a request with a budget of five seconds.
    pub fn new(method: &'static str, path: &str, id: &str) -> Self {
        Self {
            method,
            host: "shop.example".into(),
            path: path.into(),
            id: id.into(),
            key: None,
            budget_ms: 5_000,
            body: String::new(),
        }
    }

    /// Adds a key.
    pub fn key(self, key: &str) -> Self {
        Self { key: Some(key.into()), ..self }
    }

    /// Sets the budget.
    pub fn budget_ms(self, budget_ms: u64) -> Self {
        Self { budget_ms, ..self }
    }

    /// Returns the bytes on the wire. The connection closes after the answer.
    pub fn bytes(&self) -> String {
        self.on_connection("close")
    }

    fn on_connection(&self, connection: &str) -> String {
        let key = self.key.as_ref().map(|key| format!("Authorization: Token {key}\r\n"));
        format!(
            "{} {} HTTP/1.1\r\nHost: {}\r\nX-Request-Id: {}\r\nX-Deadline-Ms: {}\r\n{}\
             X-Tenant: forged\r\nX-Caller-Service: forged\r\nConnection: {connection}\r\n\
             Content-Length: {}\r\n\r\n{}",
            self.method,
            self.path,
            self.host,
            self.id,
            self.budget_ms,
            key.unwrap_or_default(),
            self.body.len(),
            self.body
        )
    }
}

/// What a client got.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Reply {
    /// The status, or 0 where the connection ended without one.
    pub status: u16,
    /// The status line and the fields.
    pub head: String,
    /// The body.
    pub body: String,
}

impl Reply {
    /// Returns the value of a field, whose name is given in lower case.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.head.lines().skip(1).find_map(|line| {
            let (found, value) = line.split_once(':')?;
            found.eq_ignore_ascii_case(name).then(|| value.trim())
        })
    }
}

/// Sends a request on a new connection.
///
/// # Errors
///
/// Returns the error of the system when the node can't be reached.
pub async fn send(address: SocketAddr, request: &Request) -> io::Result<Reply> {
    let exchange = async {
        let mut stream = TcpStream::connect(address).await?;
        stream.write_all(request.bytes().as_bytes()).await?;
        let mut bytes = Vec::new();
        // A connection that is reset gives what came before.
        let _ = stream.read_to_end(&mut bytes).await;
        Ok(parse(&bytes))
    };
    tokio::time::timeout(PATIENCE, exchange).await?
}

/// A connection that carries one request after the other.
pub struct Connection {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Returns the error of the system when the node can't be reached.
    pub async fn open(address: SocketAddr) -> io::Result<Self> {
        Ok(Self { stream: TcpStream::connect(address).await?, buffer: Vec::new() })
    }

    /// Sends a request and reads its answer.
    ///
    /// # Errors
    ///
    /// Returns the error of the system when the connection ends before the answer does.
    pub async fn exchange(&mut self, request: &Request) -> io::Result<Reply> {
        self.stream.write_all(request.on_connection("keep-alive").as_bytes()).await?;
        loop {
            if let Some(length) = answer_length(&self.buffer) {
                let answer: Vec<u8> = self.buffer.drain(..length).collect();
                return Ok(parse(&answer));
            }
            if self.stream.read_buf(&mut self.buffer).await? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }
}

/// Returns the length of a whole answer at the start of some bytes. Nodes frame answers by length.
fn answer_length(bytes: &[u8]) -> Option<usize> {
    const BLANK: &[u8] = b"\r\n\r\n";
    let head = bytes.windows(BLANK.len()).position(|window| window == BLANK)? + BLANK.len();
    let length = parse(&bytes[..head]).field("content-length")?.parse::<usize>().ok()?;
    (bytes.len() >= head + length).then_some(head + length)
}

fn parse(bytes: &[u8]) -> Reply {
    let text = String::from_utf8_lossy(bytes);
    let Some((head, body)) = text.split_once("\r\n\r\n") else { return Reply::default() };
    let status = head.split(' ').nth(1).and_then(|status| status.parse().ok());
    Reply { status: status.unwrap_or(0), head: head.into(), body: body.into() }
}
