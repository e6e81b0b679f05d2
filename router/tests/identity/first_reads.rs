//! Requests that arrive before a source of keys or revocations has been read for the first time.
//!
//! A router listens as soon as it starts, and reads its keys and its revocation feed in two separate tasks. Before requests
//! waited for these reads, a valid caller that was checked before the slower read had finished got 503 ("what is revoked is
//! not known well enough to read here") or 401 (unknown key). All nine failures in 21 runs of this test program next to 12
//! busy processes were such 503 answers. Now the request waits until the source has been read, no longer than its own
//! deadline and no longer than two seconds after the start.

use std::time::{Duration, Instant};

use test_case::test_case;

use crate::common::guarded::*;

/// The delay of the first document.
const FIRST_DOCUMENT_DELAY: Duration = Duration::from_millis(200);
/// How long after its deadline a request may still be answered (the protocol's own slack).
const ANSWER_SLACK: Duration = Duration::from_millis(500);

/// A source of revocations that does not answer, with a time-out longer than any request.
fn silent_source() -> String {
    Service::start(Serves::Slow)
        .source(None)
        .replace("patience: 300ms", "patience: 10s")
}

fn ask_with_deadline(guarded: &Guarded, token: &str, deadline_ms: u64) -> (u16, Duration) {
    let request = with_headers("whole", "short", "find", &bearer(token)).replace(
        "Req-Deadline-Ms: 2000",
        &format!("Req-Deadline-Ms: {deadline_ms}"),
    );
    let mut stream = guarded.router.connect();
    let began = Instant::now();
    std::io::Write::write_all(&mut stream, request.as_bytes()).expect("written");
    (receive(&mut stream).0, began.elapsed())
}

#[test_case(true; "keys")]
#[test_case(false; "revocations")]
fn a_request_waits_for_the_first_read_of_a_source(keys_are_late: bool) {
    let world = World::new();
    let document = if keys_are_late {
        world.public()
    } else {
        world.page(None)
    };
    let late = Service::start(Serves::Late(FIRST_DOCUMENT_DELAY, document));
    let source = late.source(None);
    let token = world.token(&["crew"]);
    let (keys, feed) = if keys_are_late {
        (Some(source.as_str()), None)
    } else {
        (None, Some(source.as_str()))
    };
    let guarded = Guarded::with(&world, keys, feed, "info", 1024);
    let mut stream = guarded.router.connect();
    let answer = ask(&mut stream, "whole", "find", &bearer(&token));
    assert_eq!(answer.0, 200, "{answer:?}");
    let answer = ask(&mut stream, "whole", "find", &bearer(&token));
    assert_eq!(answer.0, 200, "on the same connection: {answer:?}");
}

/// The first polls fail, at once or by time-out. A later poll within the request's deadline succeeds.
#[test_case(Serves::Down; "refused")]
#[test_case(Serves::Reset; "ended without an answer")]
#[test_case(Serves::Slow; "timed out")]
fn a_request_waits_past_a_failed_first_poll(trouble: Serves) {
    let world = World::new();
    let feed = Service::start(trouble);
    let guarded = Guarded::with(&world, None, Some(&feed.source(None)), "info", 1024);
    let mut stream = guarded.router.connect();
    send(
        &mut stream,
        "whole",
        "find",
        &bearer(&world.token(&["crew"])),
    );
    guarded.log_has("identity: source failed kind=\"revocations\"");
    feed.set(Serves::Text(world.page(None)));
    let answer = receive(&mut stream);
    assert_eq!(answer.0, 200, "{answer:?}");
}

#[test]
fn requests_wait_for_a_failing_source_only_after_the_start() {
    let world = World::new();
    let down = Service::start(Serves::Down);
    let guarded = Guarded::with(&world, None, Some(&down.source(None)), "info", 1024);
    let token = world.token(&["crew"]);
    let (status, took) = ask_with_deadline(&guarded, &token, 3000);
    assert_eq!(status, 503);
    assert!(
        took < Duration::from_millis(2000) + ANSWER_SLACK,
        "{took:?}"
    );
    // After that, requests that need the unread source are refused at once.
    let (status, took) = ask_with_deadline(&guarded, &token, 3000);
    assert_eq!(status, 503);
    assert!(took < ANSWER_SLACK, "{took:?}");
}

#[test]
fn a_waiting_request_is_answered_by_its_deadline() {
    let world = World::new();
    let source = silent_source();
    let guarded = Guarded::with(&world, None, Some(&source), "info", 1024);
    let (status, took) = ask_with_deadline(&guarded, &world.token(&["crew"]), 300);
    assert_eq!(status, 503);
    assert!(
        took < Duration::from_millis(300) + ANSWER_SLACK,
        "{took:?} for a deadline of 300 ms"
    );
}

#[test]
fn a_waiting_request_is_answered_when_the_router_stops() {
    let world = World::new();
    let source = silent_source();
    let mut guarded = Guarded::with(&world, None, Some(&source), "info", 1024);
    let mut stream = guarded.router.connect();
    send(
        &mut stream,
        "whole",
        "find",
        &bearer(&world.token(&["crew"])),
    );
    guarded.router.signal("-TERM");
    assert_eq!(receive(&mut stream).0, 503);
    assert!(guarded.router.ended(), "the router does not stop in order");
}

#[test]
fn an_invalid_token_is_refused_without_waiting() {
    let world = World::new();
    let source = silent_source();
    let guarded = Guarded::with(&world, None, Some(&source), "info", 1024);
    let (status, took) = ask_with_deadline(&guarded, "no.such.token", 2000);
    assert_eq!(status, 401);
    assert!(took < Duration::from_secs(1), "{took:?}");
}
