//! When something that a task waits for has happened, as opposed to when the task gets to it.
//!
//! All tasks run on one thread, and that thread may be held up: by a system call that takes long, or by much work at once. Sockets
//! are polled on a thread of their own (async-io's), which wakes tasks all the same. The wake is noted at that moment, so that the
//! deadline of a request that arrives meanwhile counts from its arrival.

use std::future::{poll_fn, Future};
use std::pin::pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll, Wake, Waker};
use std::time::Instant;

/// Notes when a wait is woken; for one wait at a time.
#[derive(Default)]
pub(crate) struct WakeTime {
    woken_at: Arc<Note>,
}

/// When the current wait was woken first.
#[derive(Default)]
struct Note(Mutex<Option<Instant>>);

impl Note {
    fn take(&self) -> Option<Instant> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).take()
    }

    fn is_set(&self) -> bool {
        self.0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .is_some()
    }

    fn set_if_unset(&self, at: Instant) {
        self.0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .get_or_insert(at);
    }
}

/// Wakes a task, and notes when.
struct NotingWaker {
    woken_at: Arc<Note>,
    task: Waker,
}

impl Wake for NotingWaker {
    fn wake(self: Arc<Self>) {
        self.wake_by_ref();
    }

    fn wake_by_ref(self: &Arc<Self>) {
        self.woken_at.set_if_unset(Instant::now());
        self.task.wake_by_ref();
    }
}

impl WakeTime {
    /// Waits for `future` or for its first wake, whichever is seen first; what an earlier wait noted is forgotten. None: it was
    /// woken, and is not ready all the same.
    ///
    /// Then the caller looks for itself, and waits again if there is nothing. async-io's waits for a socket are not ready at a
    /// first wake now and then, with bytes there: noted was a second wake, after the thread had been held up.
    pub(crate) async fn watch<F: Future>(&self, future: F) -> Option<F::Output> {
        self.woken_at.take();
        let mut future = pin!(future);
        poll_fn(|context| {
            let is_woken = self.woken_at.is_set();
            let noting = self.noting(context.waker());
            match future.as_mut().poll(&mut Context::from_waker(&noting)) {
                Poll::Ready(output) => Poll::Ready(Some(output)),
                Poll::Pending if is_woken => Poll::Ready(None),
                Poll::Pending => Poll::Pending,
            }
        })
        .await
    }

    /// When the last wait was woken, be it to its end or before it was given up; none if nothing woke it. Asked once for each
    /// wait.
    pub(crate) fn take(&self) -> Option<Instant> {
        self.woken_at.take()
    }

    fn noting(&self, task: &Waker) -> Waker {
        Waker::from(Arc::new(NotingWaker {
            woken_at: Arc::clone(&self.woken_at),
            task: task.clone(),
        }))
    }
}

#[cfg(test)]
mod tests;
