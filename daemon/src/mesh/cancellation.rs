//! Ends the calls of runs whose callers have left.

use {
    super::{
        Mesh,
        adapter::{Directory, HeaderAdapter},
    },
    crate::clock,
    std::{cell::RefCell, collections::HashMap, rc::Rc},
    tokio::sync::Notify,
};

struct Watched {
    cancelled: Rc<Notify>,
    calls: usize,
}

/// The runs that have calls in progress, by request id.
#[derive(Default)]
pub struct Cancellations(RefCell<HashMap<String, Watched>>);

impl Cancellations {
    /// Registers a call of a run until the returned watch is dropped.
    pub fn watch<'a>(&'a self, run: &'a str) -> Watch<'a> {
        let mut runs = self.0.borrow_mut();
        let watched = runs.entry(run.to_owned());
        let watched = watched.or_insert_with(|| Watched { cancelled: Rc::default(), calls: 0 });
        watched.calls += 1;
        Watch { cancellations: self, run, cancelled: watched.cancelled.clone() }
    }

    /// Notifies the calls that a run has in progress.
    fn cancel(&self, run: &str) {
        if let Some(watched) = self.0.borrow().get(run) {
            watched.cancelled.notify_waiters();
        }
    }
}

/// The registration of a call in progress.
pub struct Watch<'a> {
    cancellations: &'a Cancellations,
    run: &'a str,
    cancelled: Rc<Notify>,
}

impl Watch<'_> {
    /// Waits until the run is cancelled. A cancellation before the first poll counts as well.
    pub fn cancelled(&self) -> impl Future<Output = ()> {
        self.cancelled.notified()
    }
}

impl Drop for Watch<'_> {
    fn drop(&mut self) {
        let mut runs = self.cancellations.0.borrow_mut();
        let Some(watched) = runs.get_mut(self.run) else { return };
        watched.calls -= 1;
        if watched.calls == 0 {
            runs.remove(self.run);
        }
    }
}

/// Cancels a run if it is dropped before the caller has got the result.
pub struct RunGuard<H: HeaderAdapter, D: Directory> {
    mesh: Rc<Mesh<H, D>>,
    request: String,
    is_complete: bool,
}

impl<H: HeaderAdapter, D: Directory> RunGuard<H, D> {
    /// Creates the guard of a run that starts.
    pub fn new(mesh: &Rc<Mesh<H, D>>, request: &str) -> Self {
        Self { mesh: mesh.clone(), request: request.to_owned(), is_complete: false }
    }

    /// Records that the run has ended.
    pub fn complete(mut self) {
        self.is_complete = true;
    }
}

impl<H: HeaderAdapter, D: Directory> Drop for RunGuard<H, D> {
    fn drop(&mut self) {
        if self.is_complete {
            return;
        }
        let is_cancelled = self.mesh.node.borrow_mut().cancel_run(clock::now(), &self.request);
        if is_cancelled {
            self.mesh.cancellations.cancel(&self.request);
        }
    }
}
