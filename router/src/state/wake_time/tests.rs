use std::future::{pending, ready};
use std::thread;
use std::time::{Duration, Instant};

use event_listener::Event;
use futures_lite::future;

use super::WakeTime;

const BLOCKED_FOR: Duration = Duration::from_millis(60);

/// Starts a wait, wakes it through `event`, blocks the thread, and only then polls the wait again. Returns the times
/// just before and just after the wake.
fn wake_while_blocked(wake_time: &WakeTime, event: &Event) -> (Instant, Instant) {
    let listener = event.listen();
    future::block_on(async {
        let mut waiting = Box::pin(wake_time.watch(listener));
        assert!(future::poll_once(&mut waiting).await.is_none());
        let before = Instant::now();
        event.notify(1);
        let after = Instant::now();
        thread::sleep(BLOCKED_FOR);
        waiting.await;
        (before, after)
    })
}

#[test]
fn records_the_time_of_the_wake_when_the_task_runs_later() {
    let (wake_time, event) = (WakeTime::default(), Event::new());
    let (before, after) = wake_while_blocked(&wake_time, &event);
    let woken_at = wake_time.take().expect("a wake");
    assert!(before <= woken_at && woken_at <= after);
    assert_eq!(wake_time.take(), None, "the time can be taken once");
}

#[test]
fn records_no_wake_for_a_future_that_is_ready_at_once() {
    let wake_time = WakeTime::default();
    future::block_on(wake_time.watch(ready(())));
    assert_eq!(wake_time.take(), None);
}

#[test]
fn a_new_wait_discards_the_wake_of_an_earlier_wait() {
    let (wake_time, event) = (WakeTime::default(), Event::new());
    wake_while_blocked(&wake_time, &event);
    future::block_on(wake_time.watch(ready(())));
    assert_eq!(wake_time.take(), None);
}

#[test]
fn a_wake_ends_the_wait_even_if_the_future_is_not_ready() {
    let (wake_time, event) = (WakeTime::default(), Event::new());
    let listener = event.listen();
    let ended = future::block_on(async {
        let mut waiting = Box::pin(wake_time.watch(async {
            listener.await;
            pending::<()>().await;
        }));
        assert!(future::poll_once(&mut waiting).await.is_none());
        event.notify(1);
        future::poll_once(&mut waiting).await
    });
    assert_eq!(ended, Some(None));
    assert!(wake_time.take().is_some());
}

#[test]
fn a_future_that_wakes_itself_yields_to_other_tasks() {
    let wake_time = WakeTime::default();
    let mut waiting = Box::pin(wake_time.watch(future::yield_now()));
    assert!(future::block_on(future::poll_once(&mut waiting)).is_none());
}

#[test]
fn records_the_wake_of_a_wait_that_is_dropped() {
    let (wake_time, event) = (WakeTime::default(), Event::new());
    let listener = event.listen();
    future::block_on(async {
        let mut waiting = Box::pin(wake_time.watch(future::or(listener, pending())));
        assert!(future::poll_once(&mut waiting).await.is_none());
        event.notify(1);
    });
    assert!(wake_time.take().is_some());
}
