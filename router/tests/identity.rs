//! A guarded router on loopback: each hard case of identity caused in front of the program.

mod common;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::process::{Command, Stdio};
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use common::guarded::*;
use common::{free, health, Act, BOUND};
use ternpick_identity::Algorithm;
use test_case::test_case;

const MS: Duration = Duration::from_millis(1);

#[test_case("whole", "find", "", 401, "Bearer realm=\"ternpick\"\r\n"; "no token")]
#[test_case("nowhere", "find", "", 401, "Bearer realm=\"ternpick\"\r\n"; "no token and no such index")]
#[test_case("whole", "find", "Authorization: Basic YTpi\r\n", 401, "invalid_token"; "another scheme")]
#[test_case("whole", "find", "Authorization: Bearer a.b.c\r\n", 401, "invalid_token"; "no token at all")]
#[test_case("whole", "find", "Authorization: Bearer a\r\nAuthorization: Bearer b\r\n", 400, ""; "two tokens")]
#[test_case("whole", "find", "CREW", 200, ""; "a right")]
#[test_case("half", "find", "CREW", 200, ""; "a right to read tags")]
#[test_case("half", "set tag 7", "CREW", 403, "insufficient_scope"; "which sets none")]
#[test_case("half", "set tag 7", "CREW-AGAIN", 403, "insufficient_scope"; "nor does a repeat of one that had it")]
#[test_case("half", "set tag 7", "SAFETY", 200, ""; "a right to set")]
#[test_case("half", "c41e", "SAFETY", 200, ""; "all rights for what tells nothing")]
#[test_case("once", "find", "CREW", 403, "insufficient_scope"; "no grant")]
#[test_case("nowhere", "find", "CREW", 403, "insufficient_scope"; "no such index is told as no grant")]
fn a_request_is_judged_before_anything_is_told(
    index: &str,
    statement: &str,
    headers: &str,
    status: u16,
    says: &str,
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
    assert_eq!((got, head.contains(says)), (status, true), "{head}{body}");
    if matches!(status, 401 | 403) {
        // The connection stays, and with the right token it is served.
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
fn what_was_taken_before_a_revocation_gets_its_answer_and_nothing_new_is_taken() {
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
    assert_eq!(receive(&mut stream).0, 200, "taken before");
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
        "another's token"
    );
}

#[test]
fn a_rotation_in_the_middle_of_a_request_refuses_nobody() {
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

#[test_case(Serves::Down; "down")]
#[test_case(Serves::Slow; "slow")]
#[test_case(Serves::Endless; "endless")]
#[test_case(Serves::Reset; "resetting")]
#[test_case(Serves::Text("{\"keys\": []}".into()); "serving nothing")]
#[test_case(Serves::Text("<html>".into()); "serving nonsense")]
#[test_case(Serves::Half("HALF".into()); "serving half a set")]
#[test_case(Serves::Turns(vec![]); "serving two sets by turns")]
fn a_key_service_in_trouble_refuses_no_valid_caller_and_is_not_hammered(trouble: Serves) {
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
        other => other,
    });
    let (before, began) = (service.calls.load(Ordering::Relaxed), Instant::now());
    let mut stream = guarded.router.connect();
    // Tokens of unknown keys flood in between.
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
fn a_start_while_the_key_service_is_away_goes_by_what_was_kept() {
    let world = World::new();
    let (service, kept, feed) = (
        Service::start(Serves::Text(world.public())),
        world.path("kept-keys"),
        world.path("kept-feed"),
    );
    let revocations = Service::start(Serves::Text(world.page(None)));
    let (keys_from, feed_from) = (service.source(Some(&kept)), revocations.source(Some(&feed)));
    let token = world.token(&["crew"]);
    let first = Guarded::with(&world, Some(&keys_from), Some(&feed_from), "info", 1024);
    within(|| kept.exists() && feed.exists(), "kept");
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
    // Half a file is told from a whole one, and believed in nothing.
    let whole = std::fs::read(&kept).expect("kept");
    std::fs::write(&kept, &whole[..whole.len() - 1]).expect("cut");
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
    // A service that is back before its first failed call has never been away for this router.
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

#[test]
fn a_feed_with_a_gap_is_asked_for_whole() {
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
    // Only the second word is served, then the whole list.
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
        "not told yet"
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

#[test]
fn a_tenant_beyond_its_terms_is_told_when_to_come_back_and_others_are_served() {
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
    // Five at once and twenty a second, whatever this took.
    let most = 6 + (began.elapsed().as_millis() / 50) as usize;
    assert!(
        got[1] >= 5 && got[1] <= most && got[0] > 0,
        "{got:?}, at most {most}"
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

#[test]
fn a_certificate_is_who_asks_and_its_revocation_holds_on_an_open_idle_connection() {
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
    // A resumed session is judged as any.
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
fn a_certificate_revoked_under_a_request_gets_that_answer_and_no_other() {
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
    assert_eq!(receive(&mut stream.0).0, 200, "taken before");
    assert_eq!(ask(&mut stream.0, "whole", "find", "").0, 401);
}

#[test]
fn new_server_files_serve_the_next_connections_and_drop_none() {
    let world = World::new();
    let guarded = Guarded::start(&world);
    let client = world.client(Some(("crew-7.example", 7)));
    let mut stream = guarded.secure(&client);
    let of = |stream: &Secure| stream.0.conn.peer_certificates().expect("shown")[0].to_vec();
    let first = of(&stream);
    assert_eq!(ask(&mut stream.0, "whole", "find", "").0, 200);
    // Half of the files, then spoilt ones: those in use stay.
    world.write("server.pem", "-----BEGIN CERTIFICATE-----\nAAAA\n");
    guarded.log_has("tls: files unusable, keeping the ones in use");
    assert_eq!(
        ask(&mut guarded.secure(&client).0, "whole", "find", "").0,
        200
    );
    world.renew_server(50);
    guarded.log_has("tls: new files in use");
    within(
        || of(&guarded.secure(&world.client(None))) != first,
        "the new certificate",
    );
    assert_eq!(
        ask(&mut stream.0, "whole", "find", "").0,
        200,
        "the standing connection"
    );
    // An authority that is gone takes its clients with it.
    let other = World::new();
    world.write(
        "authorities.pem",
        &std::fs::read_to_string(other.path("authorities.pem")).expect("PEM"),
    );
    within(
        || guarded.log().matches("tls: new files in use").count() >= 2,
        "new authorities",
    );
    assert_eq!(ask(&mut stream.0, "whole", "find", "").0, 401);
    assert!(Secure::over(guarded.tls, &client)
        .and_then(|mut stream| stream
            .0
            .write_all(b"GET / HTTP/1.1\r\n\r\n")
            .and_then(|()| stream.0.flush())
            .and_then(|()| stream.0.read(&mut [0; 1]).map(|_| ())))
        .is_err());
}

/// The bytes that a client sends of a handshake and a request, as they are on the wire.
fn transcript(guarded: &Guarded, config: &std::sync::Arc<rustls::ClientConfig>) -> Vec<Vec<u8>> {
    struct Tee(TcpStream, Vec<Vec<u8>>);
    impl Read for Tee {
        fn read(&mut self, into: &mut [u8]) -> std::io::Result<usize> {
            self.0.read(into)
        }
    }
    impl Write for Tee {
        fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
            self.1.push(bytes.to_vec());
            self.0.write_all(bytes).map(|()| bytes.len())
        }
        fn flush(&mut self) -> std::io::Result<()> {
            Ok(())
        }
    }
    let name = rustls::pki_types::ServerName::try_from("localhost").expect("a name");
    let mut tls =
        rustls::ClientConnection::new(std::sync::Arc::clone(config), name).expect("a client");
    let mut tee = Tee(
        TcpStream::connect(guarded.tls).expect("a connection"),
        Vec::new(),
    );
    while tls.is_handshaking() {
        tls.complete_io(&mut tee).expect("a handshake");
    }
    tee.1
}

#[test]
fn clients_that_stall_talk_garbage_or_say_nothing_hold_nothing_up() {
    let world = World::new();
    // 256 descriptors, as on the smallest machine.
    let guarded = Guarded::with(&world, None, None, "info", 256);
    let client = world.client(Some(("crew-7.example", 7)));
    let flights = transcript(&guarded, &client);
    let mut held = Vec::new();
    for cut in 0..=flights.len() {
        let mut stream = TcpStream::connect(guarded.tls).expect("a connection");
        for flight in flights.iter().take(cut) {
            let _ = stream.write_all(flight);
        }
        if let Some(next) = flights.get(cut) {
            let _ = stream.write_all(&next[..next.len() / 2]);
        }
        held.push(stream);
    }
    for garbage in [
        &b"GET / HTTP/1.1\r\n\r\n"[..],
        &[0; 4096],
        &[22, 3, 1, 255, 255],
        &[21, 3, 3, 0, 2, 2, 40],
    ] {
        let mut stream = TcpStream::connect(guarded.tls).expect("a connection");
        stream.set_read_timeout(Some(BOUND)).expect("a time-out");
        let _ = stream.write_all(garbage);
        held.push(stream);
    }
    for _ in 0..400 {
        held.extend(TcpStream::connect(guarded.tls));
    }
    let began = Instant::now();
    let token = bearer(&world.token(&["crew"]));
    for _ in 0..5 {
        assert_eq!(
            ask(&mut guarded.secure(&client).0, "whole", "find", "").0,
            200
        );
        assert_eq!(
            ask(&mut guarded.router.connect(), "whole", "find", &token).0,
            200
        );
    }
    assert!(began.elapsed() < BOUND, "{:?}", began.elapsed());
    // Each of them is closed in its time.
    for mut stream in held {
        stream.set_read_timeout(Some(BOUND)).expect("a time-out");
        let mut rest = Vec::new();
        let ended = stream.read_to_end(&mut rest);
        assert!(
            ended.is_ok() || ended.is_err_and(|e| e.kind() == std::io::ErrorKind::ConnectionReset)
        );
    }
}

#[test]
fn key_updates_without_end_end_their_connection() {
    let world = World::new();
    let guarded = Guarded::start(&world);
    let mut stream = guarded.secure(&world.client(Some(("crew-7.example", 7))));
    assert_eq!(ask(&mut stream.0, "whole", "find", "").0, 200);
    let (began, mut ended) = (Instant::now(), false);
    while began.elapsed() < BOUND && !ended {
        let updated = stream.0.conn.refresh_traffic_keys();
        ended = updated.is_err() || stream.0.conn.write_tls(&mut stream.0.sock).is_err();
        thread::sleep(Duration::from_micros(100));
    }
    assert!(ended, "it goes on for {:?}", began.elapsed());
    assert_eq!(health(&guarded.router), 200);
}

#[test]
fn a_connection_that_ends_says_so_and_cuts_no_record() {
    let world = World::new();
    let mut guarded = Guarded::start(&world);
    let mut stream = guarded.secure(&world.client(Some(("crew-7.example", 7))));
    assert_eq!(ask(&mut stream.0, "whole", "find", "").0, 200);
    guarded.router.signal("-TERM");
    let mut rest = Vec::new();
    // An end without the word of TLS would be an error here.
    assert_eq!(stream.0.read_to_end(&mut rest).expect("a clean end"), 0);
    assert!(guarded.router.ended());
}

#[test]
fn no_secret_stands_in_a_log_and_every_act_on_a_tag_does() {
    let world = World::new();
    let guarded = Guarded::with(&world, None, None, "trace", 1024);
    let (crew, safety) = (world.token(&["crew"]), world.token(&["safety"]));
    let mut stream = guarded.router.connect();
    for token in [&crew, &safety] {
        let _ = ask(&mut stream, "half", "set tag 7", &bearer(token));
    }
    let forged = format!("{}x", &crew[..crew.len() - 1]);
    let _ = ask(&mut stream, "half", "set tag 7", &bearer(&forged));
    let _ = ask(
        &mut guarded.secure(&world.client(Some(("chief.example", 9)))).0,
        "half",
        "set tag 7",
        "",
    );
    guarded.log_has("chief of north");
    let log = guarded.log();
    for token in [&crew, &safety, &forged] {
        for part in token.split('.') {
            assert!(!log.contains(part), "a part of a token in {log}");
        }
    }
    let lines: Vec<&str> = log
        .lines()
        .filter(|line| line.contains("audit: "))
        .collect();
    let of = |word: &str| lines.iter().filter(|line| line.contains(word)).count();
    assert_eq!(
        (
            lines.len(),
            of("index=\"half\""),
            of("allowed=true"),
            of("allowed=false")
        ),
        (4, 4, 2, 2),
        "{lines:#?}"
    );
    assert!(
        of("by key k1") == 2 && of("nobody proved") == 1 && of("request=\"q") == 4,
        "{lines:#?}"
    );
    assert!(
        log.contains("query{request_id=\"q"),
        "spans follow a query: {log}"
    );
}

#[test]
#[allow(
    clippy::too_many_lines,
    reason = "one scenario, told in the order in which it happens"
)]
fn audit_goes_out_in_json_whatever_the_level() {
    let world = World::new();
    let (guarded, log) = {
        let settings = world.settings(None, None, None);
        let text = std::fs::read_to_string(&settings).expect("settings");
        world.write(
            "settings.cue",
            &format!("{text}log: {{form: \"json\", level: \"error\"}}\n"),
        );
        let node = common::Node::start([Act::Serve; 2]);
        let discovery = common::Discovery::default();
        let listed = common::entry("s0", node.address, "Ready");
        let log = world.path("log");
        let out = std::fs::File::create(&log).expect("a log");
        let router = common::Router::start_with(
            discovery.start(),
            &listed,
            256,
            32,
            common::SETTINGS,
            |command| {
                command
                    .arg("--settings")
                    .arg(&settings)
                    .env_remove("RUST_LOG")
                    .stderr(Stdio::from(out));
            },
        );
        (router, log)
    };
    let text = || std::fs::read_to_string(&log).expect("a log");
    within(
        || {
            ask(
                &mut guarded.connect(),
                "half",
                "set tag 7",
                &bearer(&world.token(&["safety"])),
            )
            .0 == 200
        },
        "keys",
    );
    let line = text()
        .lines()
        .find(|line| line.contains("\"allowed\":true"))
        .expect("a record")
        .to_owned();
    let record: serde_json::Value = serde_json::from_str(&line).expect("JSON");
    assert_eq!(
        (&record["acts"], &record["who"], &record["index"]),
        (
            &"set".into(),
            &"dispatcher-1 of north".into(),
            &"half".into()
        )
    );
    assert!(
        text()
            .lines()
            .all(|line| line.contains("\"target\":\"audit\"")),
        "{}",
        text()
    );
}

#[test]
fn rights_are_read_anew_on_sighup_and_wrong_ones_change_nothing() {
    let world = World::new();
    let guarded = Guarded::start(&world);
    let token = bearer(&world.token(&["crew"]));
    let mut stream = guarded.router.connect();
    assert_eq!(ask(&mut stream, "half", "set tag 7", &token).0, 403);
    let text = std::fs::read_to_string(world.path("settings.cue")).expect("settings");
    world.write(
        "settings.cue",
        &text.replace("{index: \"half\"}", "{index: \"half\", acts: [\"fly\"]}"),
    );
    guarded.router.signal("-HUP");
    guarded.log_has("reload: identity settings unusable, keeping the running ones");
    assert_eq!(ask(&mut stream, "half", "find", &token).0, 200);
    world.write(
        "settings.cue",
        &text.replace(
            "{index: \"half\"}",
            "{index: \"half\", acts: [\"read\", \"set\"]}",
        ),
    );
    guarded.router.signal("-HUP");
    guarded.log_has("reload: identity settings applied");
    assert_eq!(ask(&mut stream, "half", "set tag 7", &token).0, 200);
}

/// Runs the program; its success and what it printed on both streams.
fn run(args: &[&str], input: &str) -> (bool, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_ternpick"));
    let mut child = command
        .args(args)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("it runs");
    child
        .stdin
        .take()
        .expect("an input")
        .write_all(input.as_bytes())
        .expect("written");
    let out = child.wait_with_output().expect("it ends");
    (
        out.status.success(),
        String::from_utf8_lossy(&[out.stdout, out.stderr].concat()).into_owned(),
    )
}

#[test]
#[allow(
    clippy::too_many_lines,
    reason = "one scenario, told in the order in which it happens"
)]
fn the_commands_make_keys_tokens_and_revocations_that_a_router_takes() {
    let folder = tempfile::tempdir().expect("a folder");
    let keys = folder.path().join("keys");
    let keys = keys.to_str().expect("a path");
    let json = |args: &[&str]| -> serde_json::Value {
        let (done, text) = run(args, "");
        assert!(done, "{text}");
        serde_json::from_str(&text).expect("JSON")
    };
    assert_eq!(
        json(&["keys", "new", "--keys", keys, "--id", "a", "--json"])["keys"][0]["stage"],
        "signing"
    );
    let (done, text) = run(&["keys", "retire", "--keys", keys, "a"], "");
    assert!(!done && text.contains("make another first"), "{text}");
    let listed = json(&[
        "keys", "rotate", "--keys", keys, "--id", "b", "--kind", "es256", "--lead", "1h", "--json",
    ]);
    assert_eq!(
        (&listed["keys"][0]["stage"], &listed["keys"][1]["stage"]),
        (&"signing".into(), &"published".into())
    );
    let mode = std::os::unix::fs::PermissionsExt::mode(
        &std::fs::metadata(folder.path().join("keys/private.keys"))
            .expect("there")
            .permissions(),
    );
    assert_eq!(mode & 0o777, 0o600);
    let mint = [
        "token",
        "mint",
        "--keys",
        keys,
        "--issuer",
        "sign-on",
        "--audience",
        "search",
        "--subject",
        "d",
        "--tenant",
        "north",
        "--role",
        "crew",
        "--id",
        "t1",
    ];
    let (done, token) = run(&mint, "");
    assert!(done && token.trim().split('.').count() == 3, "{token}");
    let jwks = folder.path().join("keys/jwks.json");
    let (done, text) = run(
        &["token", "inspect", "--jwks", jwks.to_str().expect("a path")],
        &token,
    );
    assert!(
        done && text.contains("signature right") && text.contains("\"sign-on\""),
        "{text}"
    );
    let feed = folder.path().join("feed.json");
    let feed = feed.to_str().expect("a path");
    assert_eq!(
        json(&["revoke", "--feed", feed, "--token", "t1", "--json"])["number"],
        1
    );
    assert_eq!(
        json(&["revoke", "--feed", feed, "--token", "t1", "--lift", "--json"])["lifted"],
        true
    );
    assert!(
        !run(&["revoke", "--feed", feed], "").0
            && !run(
                &["revoke", "--feed", feed, "--token", "a", "--key", "b"],
                ""
            )
            .0
    );
    let world = World::new();
    let settings = world.settings(None, None, Some(free()));
    let settings = settings.to_str().expect("a path");
    let (done, text) = run(&["check", "--settings", settings], "");
    assert!(
        done && text.contains("identity.skew = 2s  (")
            && text.contains("identity.longest = 1h  (default)"),
        "{text}"
    );
    let explain = [
        "rights",
        "explain",
        "d",
        "--settings",
        settings,
        "--tenant",
        "north",
        "--role",
        "crew",
    ];
    let (done, text) = run(&explain, "");
    assert!(
        done && text.contains("half                 set    denied: no role grants set here"),
        "{text}"
    );
    std::fs::write(settings, "identity: {issuer: 3}\nlgo: {}\n").expect("written");
    let (done, text) = run(&["check", "--settings", settings], "");
    assert!(
        !done
            && text.contains("a text in quotes is wanted, this is 3")
            && text.contains("'log' may be meant"),
        "{text}"
    );
}
