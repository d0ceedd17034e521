//! Answers that their callers have not read whole, and the connections that they are written to.

use {
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
        if body.is_empty() {
            return body;
        }
        let key = self.lock().insert(Answer { deadline, connection: connection.clone() });
        Bytes::from_owner(Unread { body, key, answers: self.clone() })
    }

    /// Notifies the connections whose callers have left an answer unread beyond its deadline, so that
    /// they are closed. Returns their number.
    pub fn close_overdue(&self, now: Instant) -> usize {
        let answers = self.lock();
        let overdue = answers.iter().filter(|(_, answer)| answer.deadline <= now);
        overdue.map(|(_, answer)| answer.connection.notify_one()).count()
    }
}

struct Unread {
    body: Bytes,
    key: usize,
    answers: UnreadAnswers,
}

impl AsRef<[u8]> for Unread {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}

impl Drop for Unread {
    fn drop(&mut self) {
        self.answers.lock().remove(self.key);
    }
}
