//! Tokens revoked while a request is in flight, and a feed with missing numbers.

use crate::common::guarded::*;
use crate::common::Act;

#[test]
fn a_request_in_flight_when_its_token_is_revoked_is_answered_and_the_next_refused() {
    let world = World::new();
    let guarded = Guarded::start(&world);
    *guarded.nodes[0]
        .acts
        .lock()
        .expect("no test thread panicked with the lock held") = [Act::Silent; 2];
    let (token, other) = (
        world.claims("a", "north", &["crew"], 300),
        world.token(&["crew"]),
    );
    let (id, token) = (token.jti.clone(), world.mint(&token));
    let mut stream = guarded.router.connect();
    send(&mut stream, "whole", "find", &bearer(&token));
    let frame = guarded.nodes[0].frame('q');
    let ids: Vec<&str> = frame
        .split("find")
        .filter_map(|line| line.split(' ').next())
        .filter(|id| !id.is_empty())
        .collect();
    world.revoke("token", &id);
    guarded.log_has("identity: revocations received new_entries=1 ");
    ids.iter().for_each(|id| guarded.nodes[0].answer(id));
    assert_eq!(
        receive(&mut stream).0,
        200,
        "the request was admitted before the revocation"
    );
    *guarded.nodes[0]
        .acts
        .lock()
        .expect("no test thread panicked with the lock held") = [Act::Serve; 2];
    assert_eq!(
        ask(&mut stream, "whole", "find", &bearer(&token)).0,
        401,
        "on the same connection"
    );
    assert_eq!(
        ask(&mut stream, "whole", "find", &bearer(&other)).0,
        200,
        "a token that is not revoked"
    );
}

#[test]
fn requests_the_whole_list_after_a_gap_in_the_feed() {
    let world = World::new();
    let feed = Service::start(Serves::Text(world.page(None)));
    let guarded = Guarded::with(&world, None, Some(&feed.source(None)), "info", 1024);
    let claims = world.claims("a", "north", &["crew"], 300);
    let (id, token) = (claims.jti.clone(), world.mint(&claims));
    assert_eq!(
        ask(
            &mut guarded.router.connect(),
            "whole",
            "find",
            &bearer(&token)
        )
        .0,
        200
    );
    world.revoke("token", "x");
    world.revoke("token", &id);
    // Only the second entry is served, then the whole list.
    feed.set(Serves::Text(world.page(Some(1))));
    guarded.log_has("numbers are missing");
    assert_eq!(
        ask(
            &mut guarded.router.connect(),
            "whole",
            "find",
            &bearer(&token)
        )
        .0,
        200,
        "the router cannot know the revocation yet"
    );
    feed.set(Serves::Text(world.page(None)));
    guarded.log_has("identity: revocations received new_entries=2 ");
    assert_eq!(
        ask(
            &mut guarded.router.connect(),
            "whole",
            "find",
            &bearer(&token)
        )
        .0,
        401
    );
}
