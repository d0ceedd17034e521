//! Clients of the system, as the users' pages describe them.

use {
    crate::{
        http::{connect, read_head},
        record::Record,
    },
    std::{
        io::{self, BufReader, Read as _, Write as _},
        net::{SocketAddrV4, TcpStream},
        thread,
        time::{Duration, Instant},
    },
};

/// A request of a client.
#[derive(Clone, Debug)]
pub struct Request {
    pub id: String,
    pub method: &'static str,
    pub target: String,
    pub budget: Duration,
    pub body: Vec<u8>,
}

/// How an answer ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The whole answer was read.
    Whole { status: u16, bytes: usize },
    /// The connection ended within the answer.
    Cut { status: u16, bytes: usize, length: usize },
    /// The connection ended without an answer, or could not be opened.
    None(String),
}

/// Sends a request on a connection of its own and reads the answer, at most `bytes_per_s` of its
/// body. `on_head` is called once the head of the answer has arrived.
pub fn send(
    node: SocketAddrV4,
    key: &str,
    request: &Request,
    bytes_per_s: Option<usize>,
    record: &Record,
    on_head: impl FnOnce(),
) -> Outcome {
    let Request { id, method, target, .. } = request;
    record.write(&format!("{id} sent to {node}: {method} {target}"));
    let outcome = exchange(node, key, request, bytes_per_s, on_head)
        .unwrap_or_else(|error| Outcome::None(error.to_string()));
    record.write(&format!("{id} answered: {outcome:?}"));
    outcome
}

fn exchange(
    node: SocketAddrV4,
    key: &str,
    request: &Request,
    bytes_per_s: Option<usize>,
    on_head: impl FnOnce(),
) -> io::Result<Outcome> {
    let mut connection = Connection::open(node)?;
    if bytes_per_s.is_some() {
        limit_receive_buffer(connection.0.get_ref());
    }
    connection.try_exchange(key, request, bytes_per_s, on_head)
}

/// A connection to a node that may carry several requests.
pub struct Connection(BufReader<TcpStream>);

impl Connection {
    /// Opens a connection.
    pub fn open(node: SocketAddrV4) -> io::Result<Self> {
        Ok(Self(BufReader::new(connect(node)?)))
    }

    /// Sends a request and reads the answer.
    pub fn exchange(&mut self, key: &str, request: &Request) -> Outcome {
        let outcome = self.try_exchange(key, request, None, || {});
        outcome.unwrap_or_else(|error| Outcome::None(error.to_string()))
    }

    fn try_exchange(
        &mut self,
        key: &str,
        request: &Request,
        bytes_per_s: Option<usize>,
        on_head: impl FnOnce(),
    ) -> io::Result<Outcome> {
        let reader = &mut self.0;
        let Request { id, method, target, budget, body } = request;
        let head = format!(
            "{method} {target} HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: {id}\r\n\
             X-Deadline-Ms: {}\r\nAuthorization: Token {key}\r\nContent-Length: {}\r\n\r\n",
            budget.as_millis(),
            body.len()
        );
        reader.get_ref().set_read_timeout(Some(*budget))?;
        reader.get_mut().write_all(head.as_bytes())?;
        reader.get_mut().write_all(body)?;
        let Some(head) = read_head(reader)? else {
            return Ok(Outcome::None("closed without an answer".into()));
        };
        on_head();
        let (status, length) = (head.status(), head.length());
        let mut bytes = 0;
        let mut buffer = vec![0; 32 << 10];
        let started = Instant::now();
        while bytes < length {
            let most = buffer.len().min(length - bytes);
            match reader.read(&mut buffer[..most]) {
                Ok(read) if read > 0 => bytes += read,
                _ => return Ok(Outcome::Cut { status, bytes, length }),
            }
            if let Some(rate) = bytes_per_s {
                let due = Duration::from_secs_f64(bytes as f64 / rate as f64);
                thread::sleep(due.saturating_sub(started.elapsed()));
            }
        }
        Ok(Outcome::Whole { status, bytes })
    }
}

/// Keeps the operating system from reading ahead for a client that reads slowly.
fn limit_receive_buffer(stream: &TcpStream) {
    use std::{ffi::c_int, os::fd::AsRawFd as _};

    const SOL_SOCKET: c_int = 1;
    const SO_RCVBUF: c_int = 8;
    unsafe extern "C" {
        fn setsockopt(
            socket: c_int,
            level: c_int,
            option: c_int,
            value: *const c_int,
            length: u32,
        ) -> c_int;
    }
    let bytes: c_int = 64 << 10;
    // SAFETY: the pointer is to an integer of the given length, which lives during the call. If the
    // option is not set, the client only takes more at once.
    unsafe {
        setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_RCVBUF, &raw const bytes, 4);
    }
}
