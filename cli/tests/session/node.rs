//! A node's admin listener that gives prepared answers.

use std::{
    io::{BufRead as _, BufReader, Write as _},
    net::{SocketAddr, TcpListener, TcpStream},
    thread,
};

/// Starts a listener that answers each request with the body of the longest matching path. It
/// ends with the test process.
pub fn start(answers: &'static [(&'static str, &'static str)]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            answer(&stream, answers);
        }
    });
    address
}

fn answer(mut stream: &TcpStream, answers: &[(&str, &str)]) {
    let mut lines = BufReader::new(stream).lines().map_while(Result::ok);
    let request = lines.next().unwrap_or_default();
    lines.take_while(|line| !line.is_empty()).for_each(drop);
    let path = request.split(' ').nth(1).unwrap_or_default();
    let found = answers.iter().find(|(prefix, _)| path.starts_with(prefix));
    let (status, body) = found.map_or(("404 Not Found", ""), |(_, body)| ("200 OK", *body));
    let length = body.len();
    let _ = write!(
        stream,
        "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\
         Connection: close\r\n\r\n{body}"
    );
}
