//! Answers that their callers have not read whole, and the connections that they are written to.

use {
    super::buffer::with_guard,
    bytes::Bytes,
    monsoon_lib::time::Instant,
    slab::Slab,
    std::{
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::sync::Notify,
};

/// The longest time for which a caller may leave an answer unread while others wait for the memory. It
/// counts from the arrival of the request, and exceeds the time budgets of all callers.
pub const MAX_READ_TIME: Duration = Duration::from_secs(60);

#[derive(Debug)]
struct Answer {
    deadline: Instant,
    connection: Arc<Notify>,
}

/// The answers that are not written whole.
#[derive(Clone, Debug, Default)]
pub struct UnreadAnswers(Arc<Mutex<Slab<Answer>>>);

impl UnreadAnswers {
    fn lock(&self) -> MutexGuard<'_, Slab<Answer>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the same bytes, which count as unread until their last reference is dropped.
    pub fn track(&self, body: Bytes, deadline: Instant, connection: &Arc<Notify>) -> Bytes {
        let key = self.lock().insert(Answer { deadline, connection: connection.clone() });
        with_guard(body, Unread { key, answers: self.clone() })
    }

    /// Notifies the connections whose callers have left an answer unread beyond its deadline, so that
    /// they are closed. Returns their number.
    pub fn close_overdue(&self, now: Instant) -> usize {
        let answers = self.lock();
        let overdue = answers.iter().filter(|(_, answer)| answer.deadline <= now);
        overdue.map(|(_, answer)| answer.connection.notify_one()).count()
    }
}

/// The entry of an answer, which is removed on drop.
struct Unread {
    key: usize,
    answers: UnreadAnswers,
}

impl Drop for Unread {
    fn drop(&mut self) {
        self.answers.lock().remove(self.key);
    }
}
