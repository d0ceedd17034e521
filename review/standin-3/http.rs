//! The part of HTTP/1.1 that the stand-ins speak: messages with a Content-Length or without a body.

use std::{
    io::{self, BufRead, BufReader, Read},
    net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpStream},
    time::Duration,
};

/// A message without its body.
#[derive(Debug, Default)]
pub struct Head {
    /// The request line or the status line.
    pub first_line: String,
    /// The fields, with names in lower case.
    fields: Vec<(String, String)>,
}

impl Head {
    /// Returns the value of a field.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    /// Returns the method of a request.
    pub fn method(&self) -> &str {
        self.first_line.split(' ').next().unwrap_or_default()
    }

    /// Returns path and query of a request.
    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or_default()
    }

    /// Returns the status code of a response.
    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }

    /// Returns the length of the body.
    pub fn length(&self) -> usize {
        self.field("content-length").and_then(|length| length.parse().ok()).unwrap_or(0)
    }
}

/// Reads a head. Returns `None` if the connection ends before it.
pub fn read_head(from: &mut BufReader<TcpStream>) -> io::Result<Option<Head>> {
    let mut head = Head::default();
    loop {
        let mut line = String::new();
        if from.read_line(&mut line)? == 0 {
            return match head.first_line.is_empty() {
                true => Ok(None),
                false => Err(io::ErrorKind::UnexpectedEof.into()),
            };
        }
        let line = line.trim_end();
        if head.first_line.is_empty() {
            head.first_line = line.to_owned();
        } else if line.is_empty() {
            return Ok(Some(head));
        } else if let Some((name, value)) = line.split_once(':') {
            head.fields.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

/// Reads and drops a body.
pub fn skip_body(from: &mut BufReader<TcpStream>, length: usize) -> io::Result<()> {
    let skipped = io::copy(&mut from.take(length as u64), &mut io::sink())?;
    match skipped == length as u64 {
        true => Ok(()),
        false => Err(io::ErrorKind::UnexpectedEof.into()),
    }
}

/// Returns the value of a query parameter, without percent-encoding.
pub fn parameter(target: &str, name: &str) -> Option<String> {
    let (_, query) = target.split_once('?')?;
    let pair = query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='));
    let mut decoded = Vec::new();
    let mut bytes = pair?.bytes();
    while let Some(byte) = bytes.next() {
        if byte == b'%' {
            let digits = [bytes.next()?, bytes.next()?];
            let digits = std::str::from_utf8(&digits).ok()?;
            decoded.push(u8::from_str_radix(digits, 16).ok()?);
        } else {
            decoded.push(byte);
        }
    }
    String::from_utf8(decoded).ok()
}

/// Connects, with timeouts that end a case whose peer hangs.
pub fn connect(address: SocketAddrV4) -> io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&SocketAddr::V4(address), Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Returns a port that is free on all the given addresses.
pub fn free_port(hosts: &[Ipv4Addr]) -> io::Result<u16> {
    for _ in 0..100 {
        let first = std::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let port = first.local_addr()?.port();
        drop(first);
        if is_free(port, hosts) {
            return Ok(port);
        }
    }
    Err(io::ErrorKind::AddrInUse.into())
}

/// Returns whether a port is free on all the given addresses.
pub fn is_free(port: u16, hosts: &[Ipv4Addr]) -> bool {
    hosts.iter().all(|host| std::net::TcpListener::bind((*host, port)).is_ok())
}
