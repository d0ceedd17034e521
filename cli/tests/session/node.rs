//! A fake admin listener of a node with canned responses.

use std::{
    io::{BufRead as _, BufReader, Write as _},
    net::{SocketAddr, TcpListener, TcpStream},
    thread,
};

/// Starts a listener that responses each request with the body of the first entry whose path is a
/// prefix of the request's path. It runs until the test process exits.
pub fn start(responses: &'static [(&'static str, &'static str)]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("binding to a free port");
    let address = listener.local_addr().expect("reading the local address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            respond(&stream, responses);
        }
    });
    address
}

fn respond(mut stream: &TcpStream, responses: &[(&str, &str)]) {
    let mut lines = BufReader::new(stream).lines().map_while(Result::ok);
    let request = lines.next().unwrap_or_default();
    lines.take_while(|line| !line.is_empty()).for_each(drop);
    let path = request.split(' ').nth(1).unwrap_or_default();
    let response = responses.iter().find(|(prefix, _)| path.starts_with(prefix));
    let (status, body) = response.map_or(("404 Not Found", ""), |(_, body)| ("200 OK", *body));
    let length = body.len();
    let _ = write!(
        stream,
        "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\
         Connection: close\r\n\r\n{body}"
    );
}
