use std::future::{pending, ready};
use std::thread;
use std::time::{Duration, Instant};

use event_listener::Event;
use futures_lite::future;

use super::WakeTime;

const HELD_UP: Duration = Duration::from_millis(60);

/// Polls `waiting` once; wakes it by `event` and goes on to it only when its thread has been held up.
fn woken_while_held_up(wake_time: &WakeTime, event: &Event) -> (Instant, Instant) {
    let listener = event.listen();
    future::block_on(async {
        let mut waiting = Box::pin(wake_time.watch(listener));
        assert!(future::poll_once(&mut waiting).await.is_none());
        let before = Instant::now();
        event.notify(1);
        let after = Instant::now();
        thread::sleep(HELD_UP);
        waiting.await;
        (before, after)
    })
}

#[test]
fn the_wake_counts_and_not_when_the_task_gets_to_it() {
    let (wake_time, event) = (WakeTime::default(), Event::new());
    let (before, after) = woken_while_held_up(&wake_time, &event);
    let woken_at = wake_time.take().expect("a wake");
    assert!(before <= woken_at && woken_at <= after);
    assert_eq!(wake_time.take(), None, "asked once for each wait");
}

#[test]
fn what_was_ready_at_once_was_not_woken() {
    let wake_time = WakeTime::default();
    future::block_on(wake_time.watch(ready(())));
    assert_eq!(wake_time.take(), None);
}

#[test]
fn an_earlier_wait_is_forgotten() {
    let (wake_time, event) = (WakeTime::default(), Event::new());
    woken_while_held_up(&wake_time, &event);
    future::block_on(wake_time.watch(ready(())));
    assert_eq!(wake_time.take(), None);
}

#[test]
fn a_wake_ends_the_wait_also_where_the_future_is_not_ready() {
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
fn a_future_that_wakes_itself_lets_other_tasks_go_first() {
    let wake_time = WakeTime::default();
    let mut waiting = Box::pin(wake_time.watch(future::yield_now()));
    assert!(future::block_on(future::poll_once(&mut waiting)).is_none());
}

#[test]
fn a_wait_that_is_given_up_has_its_wake_noted() {
    let (wake_time, event) = (WakeTime::default(), Event::new());
    let listener = event.listen();
    future::block_on(async {
        let mut waiting = Box::pin(wake_time.watch(future::or(listener, pending())));
        assert!(future::poll_once(&mut waiting).await.is_none());
        event.notify(1);
    });
    assert!(wake_time.take().is_some());
}
