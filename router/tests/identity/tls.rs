//! TLS: renewed files, clients that stall or send garbage, key updates, and the end of a connection.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

use crate::common::guarded::*;
use crate::common::{health, BOUND};

#[test]
fn renewed_files_apply_to_new_connections_and_close_no_open_one() {
    let world = World::new();
    let guarded = Guarded::start(&world);
    let client = world.client(Some(("crew-7.example", 7)));
    let mut stream = guarded.secure(&client);
    let server_certificate =
        |stream: &Secure| stream.0.conn.peer_certificates().expect("shown")[0].to_vec();
    let first = server_certificate(&stream);
    assert_eq!(ask(&mut stream.0, "whole", "find", "").0, 200);
    // Unusable files are ignored, the ones in use stay.
    world.write("server.pem", "-----BEGIN CERTIFICATE-----\nAAAA\n");
    guarded.log_has("tls: files unusable, keeping the ones in use");
    assert_eq!(
        ask(&mut guarded.secure(&client).0, "whole", "find", "").0,
        200
    );
    world.renew_server(50);
    guarded.log_has("tls: new files in use");
    within(
        || server_certificate(&guarded.secure(&world.client(None))) != first,
        "the new certificate",
    );
    assert_eq!(
        ask(&mut stream.0, "whole", "find", "").0,
        200,
        "the open connection"
    );
    // Clients of an authority that is removed are refused.
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

/// Returns the writes of a client during a handshake, as they are on the wire.
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
fn clients_that_stall_send_garbage_or_nothing_delay_no_other_client() {
    let world = World::new();
    // 256 file descriptors, as on the smallest machine.
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
    // The router closes each of these connections by a time-out.
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
fn closes_a_connection_with_endless_key_updates() {
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
    assert!(
        ended,
        "the connection is still open after {:?}",
        began.elapsed()
    );
    assert_eq!(health(&guarded.router), 200);
}

#[test]
fn ends_a_connection_with_close_notify() {
    let world = World::new();
    let mut guarded = Guarded::start(&world);
    let mut stream = guarded.secure(&world.client(Some(("crew-7.example", 7))));
    assert_eq!(ask(&mut stream.0, "whole", "find", "").0, 200);
    guarded.router.signal("-TERM");
    let mut rest = Vec::new();
    // Without a close_notify alert, reading would fail here.
    assert_eq!(stream.0.read_to_end(&mut rest).expect("a clean end"), 0);
    assert!(guarded.router.ended());
}
