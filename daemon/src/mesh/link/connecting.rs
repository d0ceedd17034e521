//! Attempts to connect to peers, each of which is shared by all requests that wait for it.
//!
//! Behind a cut of the network an attempt takes until its timeout. Requests that made attempts of their
//! own, one after the other, would wait for a multiple of that.

use {
    super::Link,
    std::{cell::RefCell, collections::HashMap, io, net::IpAddr, rc::Rc},
    tokio::sync::watch,
};

/// The result of an attempt, once it is known.
type Outcome = Option<Result<Rc<Link>, Rc<io::Error>>>;

/// The attempts in progress, at most one per peer.
#[derive(Default)]
pub struct Connecting {
    attempts: RefCell<HashMap<IpAddr, watch::Receiver<Outcome>>>,
}

impl Connecting {
    /// Waits for an attempt to connect to a peer, which `open` makes unless one is in progress. If that
    /// one fails, waits for one more, since the peer may have started meanwhile. Attempts go on if
    /// this future is dropped.
    ///
    /// # Errors
    ///
    /// Fails as the last attempt does.
    pub async fn join<F>(
        self: &Rc<Self>,
        host: IpAddr,
        open: impl Fn() -> F,
    ) -> io::Result<Rc<Link>>
    where
        F: Future<Output = io::Result<Rc<Link>>> + 'static,
    {
        let in_progress = self.attempts.borrow().get(&host).cloned();
        if let Some(attempt) = in_progress
            && let Ok(link) = outcome_of(attempt).await
        {
            return Ok(link);
        }
        let in_progress = self.attempts.borrow().get(&host).cloned();
        let attempt = in_progress.unwrap_or_else(|| self.start(host, open()));
        outcome_of(attempt).await
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
            sender.send_replace(Some(result));
        });
        attempt
    }
}

async fn outcome_of(mut attempt: watch::Receiver<Outcome>) -> io::Result<Rc<Link>> {
    let outcome = attempt.wait_for(Option::is_some).await;
    // Without an outcome the process is ending.
    let outcome = outcome.map_err(io::Error::other)?.clone();
    let outcome = outcome.unwrap_or_else(|| Err(Rc::new(io::ErrorKind::TimedOut.into())));
    outcome.map_err(|error| io::Error::new(error.kind(), error.to_string()))
}
