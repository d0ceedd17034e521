//! Clients of the system, as the users' pages describe them.

use {
    crate::{
        http::{connect, read_head},
        record::Record,
    },
    std::{
        io::{self, BufReader, Read as _, Write as _},
        net::{SocketAddrV4, TcpStream},
        time::Duration,
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

/// Sends a request on a connection of its own and reads the answer.
pub fn send(node: SocketAddrV4, key: &str, request: &Request, record: &Record) -> Outcome {
    let Request { id, method, target, .. } = request;
    record.write(&format!("{id} sent to {node}: {method} {target}"));
    let outcome = match Connection::open(node) {
        Ok(mut connection) => connection.exchange(key, request),
        Err(error) => Outcome::None(error.to_string()),
    };
    record.write(&format!("{id} answered: {outcome:?}"));
    outcome
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
        let outcome = self.try_exchange(key, request);
        outcome.unwrap_or_else(|error| Outcome::None(error.to_string()))
    }

    fn try_exchange(&mut self, key: &str, request: &Request) -> io::Result<Outcome> {
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
        let (status, length) = (head.status(), head.length());
        let mut bytes = 0;
        let mut buffer = vec![0; 32 << 10];
        while bytes < length {
            let most = buffer.len().min(length - bytes);
            match reader.read(&mut buffer[..most]) {
                Ok(read) if read > 0 => bytes += read,
                _ => return Ok(Outcome::Cut { status, bytes, length }),
            }
        }
        Ok(Outcome::Whole { status, bytes })
    }
}
