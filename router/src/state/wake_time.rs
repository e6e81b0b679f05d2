//! Records when the event that a task waits for happened, which may be earlier than when the task runs.
//!
//! All tasks run on one thread, and that thread may be blocked by a slow system call or busy with much work at once.
//! async-io polls sockets on a thread of its own, which wakes tasks even then. The time of the wake is recorded at
//! that moment, so that the deadline of a request that arrives while the thread is blocked counts from the request's
//! arrival.

use std::cell::RefCell;
use std::future::{poll_fn, Future};
use std::pin::pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll, Wake, Waker};
use std::time::Instant;

/// Records when a wait is woken. It serves one wait at a time.
#[derive(Default)]
pub(crate) struct WakeTime {
    woken_at: Arc<FirstWake>,
    /// The waker of the last wait, which the next one uses too if the same task waits.
    waker: RefCell<Option<TaskWaker>>,
}

/// A task's waker, and the one that records its wakes.
struct TaskWaker {
    task: Waker,
    recording: Waker,
}

/// The time of the first wake of the current wait.
#[derive(Default)]
struct FirstWake(Mutex<Option<Instant>>);

impl FirstWake {
    fn take(&self) -> Option<Instant> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).take()
    }

    fn is_set(&self) -> bool {
        self.0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .is_some()
    }

    fn set_if_unset(&self, woken_at: Instant) {
        self.0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .get_or_insert(woken_at);
    }
}

/// Wakes a task and records the time of the first wake.
struct RecordingWaker {
    woken_at: Arc<FirstWake>,
    task: Waker,
}

impl Wake for RecordingWaker {
    fn wake(self: Arc<Self>) {
        self.wake_by_ref();
    }

    fn wake_by_ref(self: &Arc<Self>) {
        self.woken_at.set_if_unset(Instant::now());
        self.task.wake_by_ref();
    }
}

impl WakeTime {
    /// Waits until `future` is ready or has been woken once, and discards the time that an earlier wait recorded.
    /// Returns `None` if the future was woken but is not ready.
    ///
    /// In that case the caller checks for itself whether the event has happened, and waits again if it has not.
    /// async-io's futures for a readable socket are sometimes not ready at their first wake although bytes have
    /// arrived. Waiting on until they were ready recorded the time of a second wake, after the thread had been
    /// blocked.
    pub(crate) async fn watch<F: Future>(&self, future: F) -> Option<F::Output> {
        self.woken_at.take();
        let mut future = pin!(future);
        poll_fn(|context| {
            let is_woken = self.woken_at.is_set();
            let waker = self.recording_waker(context.waker());
            match future.as_mut().poll(&mut Context::from_waker(&waker)) {
                Poll::Ready(output) => Poll::Ready(Some(output)),
                Poll::Pending if is_woken => Poll::Ready(None),
                Poll::Pending => Poll::Pending,
            }
        })
        .await
    }

    /// Takes the time at which the last wait was first woken, whether that wait completed or was dropped. Returns
    /// `None` if nothing woke it, or if the time has been taken already.
    pub(crate) fn take(&self) -> Option<Instant> {
        self.woken_at.take()
    }

    fn recording_waker(&self, task: &Waker) -> Waker {
        let mut waker = self.waker.borrow_mut();
        if let Some(known) = waker.as_ref().filter(|known| known.task.will_wake(task)) {
            return known.recording.clone();
        }
        let recording = Waker::from(Arc::new(RecordingWaker {
            woken_at: Arc::clone(&self.woken_at),
            task: task.clone(),
        }));
        *waker = Some(TaskWaker {
            task: task.clone(),
            recording: recording.clone(),
        });
        recording
    }
}

#[cfg(test)]
mod tests;
