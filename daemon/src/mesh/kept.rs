//! Long response bodies that a node keeps until the peer that they are for has room for them.

use {
    super::{
        OpenRequest,
        adapter::{Directory, HeaderAdapter},
        frame::PeerResponse,
        peers::{PeerLink, send_response},
    },
    crate::clock,
    bytes::Bytes,
    monsoon_lib::time::Instant,
    std::{cell::RefCell, collections::HashMap, rc::Rc, time::Duration},
    tokio::sync::oneshot,
};

/// How long a body is kept beyond the deadline of its request. The peer gives up before that.
const RETENTION: Duration = Duration::from_secs(1);

/// The bodies that are kept for the peer of one link, by the numbers of their requests.
#[derive(Debug, Default)]
pub struct KeptBodies(RefCell<HashMap<u64, oneshot::Sender<u64>>>);

impl KeptBodies {
    /// Sends the body of a request as the response to the request with the given number. Returns
    /// whether the body was still kept.
    pub fn release(&self, run: u64, number: u64) -> bool {
        let kept = self.0.borrow_mut().remove(&run);
        kept.is_some_and(|kept| kept.send(number).is_ok())
    }

    /// Forgets the body of a request, whose task ends by itself.
    pub fn remove(&self, run: u64) {
        self.0.borrow_mut().remove(&run);
    }
}

/// Keeps a body until the peer asks for it, cancels its request or lets its deadline pass.
pub fn keep<H: HeaderAdapter, D: Directory>(
    link: &Rc<PeerLink<H, D>>,
    run: u64,
    body: Bytes,
    deadline: Instant,
    open_request: OpenRequest<H, D>,
) {
    let (sender, number) = oneshot::channel();
    link.kept_bodies.0.borrow_mut().insert(run, sender);
    let kept_link = link.clone();
    let task = tokio::task::spawn_local(async move {
        let _open_request = open_request;
        let left = deadline + RETENTION - clock::now();
        match tokio::time::timeout(left, number).await {
            Ok(Ok(number)) => {
                send_response(&kept_link, number, PeerResponse::Body { is_kept: true }, body);
            }
            Ok(Err(_)) => {}
            Err(_) => {
                log::info!(run, bytes = body.len(); "dropped a body that a peer did not fetch");
            }
        }
        kept_link.kept_bodies.remove(run);
        kept_link.runs.borrow_mut().remove(&run);
    });
    link.runs.borrow_mut().insert(run, task.abort_handle());
}
