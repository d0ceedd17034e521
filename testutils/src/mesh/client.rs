//! An HTTP client of the nodes' outbound listeners.

use {
    std::{io, net::SocketAddr, time::Duration},
    tokio::{
        io::{AsyncReadExt as _, AsyncWriteExt as _},
        net::TcpStream,
    },
};

/// How long [`send`] waits for the answer.
const TIMEOUT: Duration = Duration::from_secs(20);

/// A request of a client.
#[derive(Clone, Debug)]
pub struct Request {
    /// The HTTP method.
    pub method: &'static str,
    /// The value of the `Host` field.
    pub host: String,
    /// The path of the request line.
    pub path: String,
    /// The request id, which is unique to this attempt.
    pub id: String,
    /// The key of a tenant, if the request carries one.
    pub key: Option<String>,
    /// The time budget, in milliseconds.
    pub budget_ms: u64,
    /// The body of the request.
    pub body: String,
}

impl Request {
    /// Creates a request without a key and a body, with a time budget of five seconds.
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

    /// Sets the key.
    pub fn key(self, key: &str) -> Self {
        Self { key: Some(key.into()), ..self }
    }

    /// Sets the time budget.
    pub fn budget_ms(self, budget_ms: u64) -> Self {
        Self { budget_ms, ..self }
    }

    /// Returns the encoded request, which asks to close the connection after the answer.
    pub fn bytes(&self) -> String {
        self.encode("close")
    }

    fn encode(&self, connection: &str) -> String {
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

/// The answer that a client received.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Reply {
    /// The status, or 0 if the connection ended without one.
    pub status: u16,
    /// The status line and the header fields.
    pub head: String,
    /// The body, as far as it was received.
    pub body: String,
}

impl Reply {
    /// Returns the value of a header field.
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
        // If the connection is reset, the bytes received before count as the answer.
        let _ = stream.read_to_end(&mut bytes).await;
        Ok(parse(&bytes))
    };
    tokio::time::timeout(TIMEOUT, exchange).await?
}

/// A persistent connection that carries requests one after the other.
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
        self.stream.write_all(request.encode("keep-alive").as_bytes()).await?;
        loop {
            if let Some(length) = complete_length(&self.buffer) {
                let answer: Vec<u8> = self.buffer.drain(..length).collect();
                return Ok(parse(&answer));
            }
            if self.stream.read_buf(&mut self.buffer).await? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }
}

/// Returns the length of the answer at the start of `bytes` if it is complete. Nodes always send
/// `Content-Length`.
fn complete_length(bytes: &[u8]) -> Option<usize> {
    const HEAD_END: &[u8] = b"\r\n\r\n";
    let head =
        bytes.windows(HEAD_END.len()).position(|window| window == HEAD_END)? + HEAD_END.len();
    let length = parse(&bytes[..head]).field("content-length")?.parse::<usize>().ok()?;
    (bytes.len() >= head + length).then_some(head + length)
}

fn parse(bytes: &[u8]) -> Reply {
    let text = String::from_utf8_lossy(bytes);
    let Some((head, body)) = text.split_once("\r\n\r\n") else { return Reply::default() };
    let status = head.split(' ').nth(1).and_then(|status| status.parse().ok());
    Reply { status: status.unwrap_or(0), head: head.into(), body: body.into() }
}
