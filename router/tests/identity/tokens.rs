//! Answers to requests with tokens, key rotation, and tenants that exceed their limits.

use std::time::Instant;

use test_case::test_case;

use crate::common::guarded::*;
use crate::common::{health, Act};

#[test_case("whole", "find", "", 401, "Bearer realm=\"ternpick\"\r\n"; "no token")]
#[test_case("nowhere", "find", "", 401, "Bearer realm=\"ternpick\"\r\n"; "no token and an unknown index")]
#[test_case("whole", "find", "Authorization: Basic YTpi\r\n", 401, "invalid_token"; "another scheme")]
#[test_case("whole", "find", "Authorization: Bearer a.b.c\r\n", 401, "invalid_token"; "a malformed token")]
#[test_case("whole", "find", "Authorization: Bearer a\r\nAuthorization: Bearer b\r\n", 400, ""; "two tokens")]
#[test_case("whole", "find", "CREW", 200, ""; "a granted read")]
#[test_case("half", "find", "CREW", 200, ""; "a granted read of tags")]
#[test_case("half", "set tag 7", "CREW", 403, "insufficient_scope"; "a set without a grant")]
#[test_case("half", "set tag 7", "CREW-AGAIN", 403, "insufficient_scope"; "a set without a grant declared as a retry")]
#[test_case("half", "set tag 7", "SAFETY", 200, ""; "a granted set")]
#[test_case("half", "c41e", "SAFETY", 200, ""; "a statement without a pattern with grants for all acts")]
#[test_case("once", "find", "CREW", 403, "insufficient_scope"; "an index without a grant")]
#[test_case("nowhere", "find", "CREW", 403, "insufficient_scope"; "an unknown index looks like one without a grant")]
fn authorizes_a_request_before_revealing_anything(
    index: &str,
    statement: &str,
    headers: &str,
    status: u16,
    expected: &str,
) {
    let world = World::new();
    let guarded = Guarded::start(&world);
    let headers = match headers {
        "CREW" => bearer(&world.token(&["crew"])),
        "CREW-AGAIN" => format!("{}Req-Retry: 1\r\n", bearer(&world.token(&["crew"]))),
        "SAFETY" => bearer(&world.token(&["safety"])),
        other => other.to_owned(),
    };
    let mut stream = guarded.router.connect();
    let (got, head, body) = ask(&mut stream, index, statement, &headers);
    assert_eq!(
        (got, head.contains(expected)),
        (status, true),
        "{head}{body}"
    );
    if matches!(status, 401 | 403) {
        // The connection stays open, and a request with a valid token is served.
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
    assert_eq!(health(&guarded.router), 200);
}

#[test]
fn a_key_rotation_during_a_request_refuses_no_caller() {
    let world = World::new();
    let guarded = Guarded::start(&world);
    *guarded.nodes[0]
        .acts
        .lock()
        .expect("no test thread panicked with the lock held") = [Act::Silent; 2];
    let old = world.token(&["crew"]);
    let mut stream = guarded.router.connect();
    send(&mut stream, "whole", "find", &bearer(&old));
    let frame = guarded.nodes[0].frame('q');
    world.rotate("k2", 0, 60);
    guarded.log_has("identity: keys changed keys=2 new=\"k2\"");
    for id in frame
        .split("find")
        .filter_map(|line| line.split(' ').next())
        .filter(|id| !id.is_empty())
    {
        guarded.nodes[0].answer(id);
    }
    assert_eq!(receive(&mut stream).0, 200);
    *guarded.nodes[0]
        .acts
        .lock()
        .expect("no test thread panicked with the lock held") = [Act::Serve; 2];
    for token in [&old, &world.token(&["crew"])] {
        assert_eq!(ask(&mut stream, "whole", "find", &bearer(token)).0, 200);
    }
    world.revoke("key", "k1");
    guarded.log_has("identity: revocations received new_entries=1 ");
    assert_eq!(ask(&mut stream, "whole", "find", &bearer(&old)).0, 401);
}

#[test]
fn a_tenant_above_its_limits_gets_retry_after_and_other_tenants_are_served() {
    let world = World::new();
    let guarded = Guarded::start(&world);
    let flood = world.mint(&world.claims("f", "flood", &["crew"], 300));
    let (mut stream, mut got) = (guarded.router.connect(), [0; 2]);
    let began = Instant::now();
    for _ in 0..100 {
        let (status, head, _) = ask(&mut stream, "whole", "find", &bearer(&flood));
        got[usize::from(status == 200)] += 1;
        assert!(
            status == 200 || status == 429 && head.contains("Retry-After: 0.0"),
            "{head}"
        );
    }
    // A burst of five and twenty requests per second, for the duration of the loop.
    let max_served = 6 + (began.elapsed().as_millis() / 50) as usize;
    assert!(
        got[1] >= 5 && got[1] <= max_served && got[0] > 0,
        "{got:?}, at most {max_served}"
    );
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
