//! Authentication by client certificates, and their revocation on open connections.

use crate::common::guarded::*;
use crate::common::Act;

#[test]
fn authenticates_by_certificate_and_refuses_it_once_revoked_on_an_open_connection() {
    let world = World::new();
    let guarded = Guarded::start(&world);
    let (crew, none, unknown) = (
        world.client(Some(("crew-7.example", 7))),
        world.client(None),
        world.client(Some(("x.example", 8))),
    );
    let mut stream = guarded.secure(&crew);
    for _ in 0..3 {
        assert_eq!(ask(&mut stream.0, "whole", "find", "").0, 200);
    }
    assert_eq!(ask(&mut stream.0, "half", "set tag 7", "").0, 403);
    assert_eq!(
        ask(&mut guarded.secure(&none).0, "whole", "find", "").0,
        401
    );
    assert_eq!(
        ask(
            &mut guarded.secure(&none).0,
            "whole",
            "find",
            &bearer(&world.token(&["crew"]))
        )
        .0,
        200
    );
    let (status, head, _) = ask(&mut guarded.secure(&unknown).0, "whole", "find", "");
    assert!(status == 401 && head.contains("names nobody"), "{head}");
    let mut chief = guarded.secure(&world.client(Some(("chief.example", 9))));
    assert_eq!(ask(&mut chief.0, "half", "set tag 7", "").0, 200);
    world.list(2, &[7]);
    guarded.log_has("identity: certificate revocation list applied count=1");
    let (status, head, _) = ask(&mut stream.0, "whole", "find", "");
    assert!(
        status == 401 && head.contains("the certificate is revoked"),
        "{head}"
    );
    // The certificate of a resumed session is checked as well.
    let resumed = guarded.secure(&crew);
    assert_eq!(
        resumed.0.conn.handshake_kind(),
        Some(rustls::HandshakeKind::Resumed)
    );
    let mut resumed = resumed;
    assert_eq!(ask(&mut resumed.0, "whole", "find", "").0, 401);
    assert_eq!(ask(&mut chief.0, "half", "set tag 7", "").0, 200);
}

#[test]
fn a_request_in_flight_when_its_certificate_is_revoked_is_answered_and_the_next_refused() {
    let world = World::new();
    let guarded = Guarded::start(&world);
    *guarded.nodes[0]
        .acts
        .lock()
        .expect("no test thread panicked with the lock held") = [Act::Silent; 2];
    let mut stream = guarded.secure(&world.client(Some(("crew-7.example", 7))));
    send(&mut stream.0, "whole", "find", "");
    let frame = guarded.nodes[0].frame('q');
    world.list(2, &[7]);
    guarded.log_has("identity: certificate revocation list applied count=1");
    for id in frame
        .split("find")
        .filter_map(|line| line.split(' ').next())
        .filter(|id| !id.is_empty())
    {
        guarded.nodes[0].answer(id);
    }
    assert_eq!(
        receive(&mut stream.0).0,
        200,
        "the request was admitted before the revocation"
    );
    assert_eq!(ask(&mut stream.0, "whole", "find", "").0, 401);
}
