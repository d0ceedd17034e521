//! Attempts to connect to peers, each of which is shared by all requests that wait for it.
//!
//! Behind a cut of the network an attempt takes until its timeout. Requests that made attempts of their
//! own, one after the other, would wait for a multiple of that.

use {
    super::Link,
    std::{cell::RefCell, collections::HashMap, io, net::IpAddr, rc::Rc},
    tokio::sync::{mpsc, watch},
};

/// A peer to which a connection could not be established.
#[derive(Debug)]
pub struct Failure {
    /// The address of the peer.
    pub host: IpAddr,
    /// The error of the operating system, or a timeout.
    pub error: Rc<io::Error>,
}

/// The result of an attempt, once it is known.
type Outcome = Option<Result<Rc<Link>, Rc<io::Error>>>;

/// The attempts in progress, at most one per peer.
pub struct Connecting {
    attempts: RefCell<HashMap<IpAddr, watch::Receiver<Outcome>>>,
    failures: mpsc::UnboundedSender<Failure>,
}

impl Connecting {
    /// Creates the set without attempts. Each attempt that fails is sent to `failures` once, whoever
    /// still waits for it.
    pub fn new(failures: mpsc::UnboundedSender<Failure>) -> Self {
        Self { attempts: RefCell::default(), failures }
    }

    /// Waits for the attempt in progress to connect to a peer, or for a new one that `open` makes. It
    /// goes on if this future is dropped.
    ///
    /// # Errors
    ///
    /// Fails as the attempt does.
    pub async fn join<F>(
        self: &Rc<Self>,
        host: IpAddr,
        open: impl FnOnce() -> F,
    ) -> io::Result<Rc<Link>>
    where
        F: Future<Output = io::Result<Rc<Link>>> + 'static,
    {
        let attempt = self.attempts.borrow().get(&host).cloned();
        let mut attempt = attempt.unwrap_or_else(|| self.start(host, open()));
        let outcome = attempt.wait_for(Option::is_some).await;
        // Without an outcome the process is ending.
        let outcome = outcome.map_err(io::Error::other)?.clone();
        let outcome = outcome.unwrap_or_else(|| Err(Rc::new(io::ErrorKind::TimedOut.into())));
        outcome.map_err(|error| io::Error::new(error.kind(), error.to_string()))
    }

    fn start(
        self: &Rc<Self>,
        host: IpAddr,
        opening: impl Future<Output = io::Result<Rc<Link>>> + 'static,
    ) -> watch::Receiver<Outcome> {
        let (sender, attempt) = watch::channel(None);
        self.attempts.borrow_mut().insert(host, attempt.clone());
        let connecting = self.clone();
        tokio::task::spawn_local(async move {
            let result = opening.await.map_err(Rc::new);
            connecting.attempts.borrow_mut().remove(&host);
            if let Err(error) = &result {
                // The receiver is gone only while the process is ending.
                let _ = connecting.failures.send(Failure { host, error: error.clone() });
            }
            sender.send_replace(Some(result));
        });
        attempt
    }
}
