//! A failing key service, and a start while it is unavailable.

use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use ternpick_identity::Algorithm;
use test_case::test_case;

use crate::common::guarded::*;

const MS: Duration = Duration::from_millis(1);

#[test_case(Serves::Down; "down")]
#[test_case(Serves::Slow; "slow")]
#[test_case(Serves::Endless; "endless")]
#[test_case(Serves::Reset; "resetting")]
#[test_case(Serves::Text("{\"keys\": []}".into()); "serving an empty set")]
#[test_case(Serves::Text("<html>".into()); "serving HTML")]
#[test_case(Serves::Half("HALF".into()); "serving an incomplete set")]
#[test_case(Serves::Turns(vec![]); "serving two sets in turn")]
#[test_case(Serves::Abort(Moment::Before, String::new()); "reset before the answer")]
#[test_case(Serves::Abort(Moment::Within, String::new()); "reset within the answer")]
#[test_case(Serves::Abort(Moment::After, String::new()); "reset after the answer")]
fn a_failing_key_service_causes_no_refusals_and_is_not_polled_too_often(trouble: Serves) {
    let world = World::new();
    let service = Service::start(Serves::Text(world.public()));
    let guarded = Guarded::with(&world, Some(&service.source(None)), None, "info", 1024);
    guarded.log_has("identity: keys changed keys=1 new=\"k1\"");
    let token = world.token(&["crew"]);
    let other = {
        let mut other = ternpick_identity::key_manager::KeyManager::default();
        other
            .new_key(
                "z",
                Algorithm::Es256,
                now(),
                0,
                &ring::rand::SystemRandom::new(),
            )
            .expect("a key");
        other.public(now()).expect("a set").to_string()
    };
    service.set(match trouble {
        Serves::Half(_) => Serves::Half(world.public()),
        Serves::Turns(_) => Serves::Turns(vec![world.public(), other]),
        Serves::Abort(moment, _) => Serves::Abort(moment, world.public()),
        other => other,
    });
    let (before, began) = (service.calls.load(Ordering::Relaxed), Instant::now());
    let mut stream = guarded.router.connect();
    // Tokens with unknown keys request early polls.
    let unknown = token.replacen(
        &token[..token.find('.').expect("a dot")],
        "eyJhbGciOiJFZERTQSIsImtpZCI6Ing5In0",
        1,
    );
    while began.elapsed() < 1500 * MS {
        assert_eq!(ask(&mut stream, "whole", "find", &bearer(&token)).0, 200);
        assert_eq!(ask(&mut stream, "whole", "find", &bearer(&unknown)).0, 401);
        thread::sleep(MS);
    }
    let calls = service.calls.load(Ordering::Relaxed) - before;
    assert!(calls <= 1 + 1500 / 100, "{calls} calls in 1.5 s");
    service.set(Serves::Text(world.public()));
    world.rotate("k2", 0, 60);
    service.set(Serves::Text(world.public()));
    guarded.log_has("new=\"k2\"");
    assert_eq!(
        ask(
            &mut stream,
            "whole",
            "find",
            &bearer(&world.token(&["crew"]))
        )
        .0,
        200
    );
}

#[test]
fn starts_from_stored_copies_while_the_sources_are_unavailable() {
    let world = World::new();
    let (service, stored_keys, stored_feed) = (
        Service::start(Serves::Text(world.public())),
        world.path("kept-keys"),
        world.path("kept-feed"),
    );
    let revocations = Service::start(Serves::Text(world.page(None)));
    let (keys_from, feed_from) = (
        service.source(Some(&stored_keys)),
        revocations.source(Some(&stored_feed)),
    );
    let token = world.token(&["crew"]);
    let first = Guarded::with(&world, Some(&keys_from), Some(&feed_from), "info", 1024);
    within(
        || stored_keys.exists() && stored_feed.exists(),
        "stored copies",
    );
    drop(first);
    service.set(Serves::Down);
    revocations.set(Serves::Down);
    let second = Guarded::with(&world, Some(&keys_from), Some(&feed_from), "info", 1024);
    assert_eq!(
        ask(
            &mut second.router.connect(),
            "whole",
            "find",
            &bearer(&token)
        )
        .0,
        200
    );
    drop(second);
    // A truncated copy is detected and ignored as a whole.
    let whole = std::fs::read(&stored_keys).expect("a stored copy");
    std::fs::write(&stored_keys, &whole[..whole.len() - 1]).expect("written");
    let third = Guarded::with(&world, Some(&keys_from), Some(&feed_from), "info", 1024);
    third.log_has("identity: stored copy ignored kind=\"keys\"");
    assert_eq!(
        ask(
            &mut third.router.connect(),
            "whole",
            "find",
            &bearer(&token)
        )
        .0,
        401
    );
    // Without a failed poll before, the router would not log that the source answers again.
    third.log_has("identity: source failed kind=\"keys\"");
    service.set(Serves::Text(world.public()));
    third.log_has("identity: source answers again kind=\"keys\"");
    assert_eq!(
        ask(
            &mut third.router.connect(),
            "whole",
            "find",
            &bearer(&token)
        )
        .0,
        200
    );
}
