//! A proxy between nodes that narrows the link to one of them.

use std::{
    io::{self, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

/// The size of the pieces in which bytes are passed on.
const PIECE_BYTES: usize = 16 << 10;

#[derive(Clone, Default)]
pub struct Proxy {
    /// The width of the link in bytes per second, or 0 if it is not narrowed.
    bytes_per_s: Arc<AtomicU64>,
}

impl Proxy {
    pub fn start(from: SocketAddr, to: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(from)?;
        let proxy = Self::default();
        let serving = proxy.clone();
        std::thread::spawn(move || {
            for near in listener.incoming().flatten() {
                let Ok(far) = TcpStream::connect(to) else { continue };
                let (Ok(near_reader), Ok(far_reader)) = (near.try_clone(), far.try_clone()) else {
                    continue;
                };
                let width = serving.bytes_per_s.clone();
                std::thread::spawn(move || pass_on(near_reader, far, &width));
                std::thread::spawn(move || pass_on(far_reader, near, &AtomicU64::new(0)));
            }
        });
        Ok(proxy)
    }

    pub fn narrow(&self, bytes_per_s: u64) {
        self.bytes_per_s.store(bytes_per_s, Ordering::Relaxed);
    }
}

fn pass_on(mut from: TcpStream, mut to: TcpStream, bytes_per_s: &AtomicU64) {
    let mut piece = [0; PIECE_BYTES];
    while let Ok(count @ 1..) = from.read(&mut piece) {
        if let width @ 1.. = bytes_per_s.load(Ordering::Relaxed) {
            std::thread::sleep(Duration::from_secs_f64(count as f64 / width as f64));
        }
        if to.write_all(&piece[..count]).is_err() {
            break;
        }
    }
    // Both fail harmlessly if the connection has ended.
    let _ = to.shutdown(Shutdown::Both);
    let _ = from.shutdown(Shutdown::Both);
}
