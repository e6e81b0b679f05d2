//! What goes over to the new process: connections, settings, signals, identity.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::os::unix::fs::PermissionsExt;
use std::thread;

use crate::common::guarded::{within, World};
use crate::common::{self, request, Act};
use crate::support::{served, Upgradable};

#[test]
#[allow(
    clippy::too_many_lines,
    reason = "one scenario, told in the order in which it happens"
)]
fn connections_go_over_and_so_does_what_was_read_of_them() {
    let of = Upgradable::start(&[Act::Serve], "");
    let (mut idle, mut half) = (of.router.connect(), of.router.connect());
    let mut busy = of.router.connect();
    assert_eq!(common::ask(&mut idle, "half", "a1").0, 200);
    let text = request("half", "a2");
    let (first, second) = text.as_bytes().split_at(text.len() / 2);
    half.write_all(first).expect("written");
    // In flight over the commit, with a second request behind it.
    *of.nodes[0]
        .acts
        .lock()
        .expect("no test thread panicked with the lock held") = [Act::Silent; 2];
    busy.write_all(format!("{}{}", request("half", "a3"), request("half", "a4")).as_bytes())
        .expect("written");
    assert!(of.nodes[0].frame('q').contains("a1."));
    let frame = of.nodes[0].frame('q');
    assert!(frame.contains("a3.0"), "{frame}");
    let before = of.pid();
    let upgrading = thread::scope(|scope| {
        let upgrade = scope.spawn(|| of.upgrade(&[]));
        within(|| of.pid() != before, "the new process serves");
        // It serves while the old one waits for its answer.
        *of.nodes[0]
            .acts
            .lock()
            .expect("no test thread panicked with the lock held") = [Act::Serve; 2];
        served(of.router.address, "a5");
        assert_eq!(
            common::ask(&mut idle, "half", "a6").0,
            200,
            "an idle connection"
        );
        half.write_all(second).expect("written");
        assert_eq!(
            common::answer(&mut half).0,
            200,
            "half a request before and half after"
        );
        for id in ["a3.0", "a3.1"] {
            let mut streams = of.nodes[0]
                .streams
                .lock()
                .expect("no test thread panicked with the lock held");
            let text = format!("{id} served 1 -\nlate");
            let frame = [
                &(1 + text.len() as u32).to_le_bytes()[..],
                b"a",
                text.as_bytes(),
            ]
            .concat();
            // The old process's connection is the first.
            streams[0].write_all(&frame).expect("written");
        }
        assert_eq!(
            common::answer(&mut busy).0,
            200,
            "in flight over the commit"
        );
        assert_eq!(common::answer(&mut busy).0, 200, "a request behind it");
        upgrade.join().expect("it ends")
    });
    assert!(upgrading.0, "{}", upgrading.1);
    assert!(
        upgrading.1.contains("the new process serves"),
        "{}",
        upgrading.1
    );
    of.settled();
    assert_eq!(common::ask(&mut half, "half", "a7").0, 200);
    // A part that was out at the old process was sent once.
    let frames: Vec<(char, String)> = of.nodes[0]
        .frames
        .lock()
        .expect("no test thread panicked with the lock held")
        .try_iter()
        .collect();
    assert!(
        !frames.iter().any(|(_, rest)| rest.contains("a3.")),
        "{frames:?}"
    );
}

#[test]
fn an_upgrade_needs_no_discovery() {
    let of = Upgradable::start(&[Act::Serve], "");
    of._discovery.set(|roster| roster.down = true);
    for id in ["i1", "i2", "i3"] {
        assert!(of.upgrade(&[]).0);
        served(of.router.address, id);
    }
    assert_eq!(of.status()["nodes"].as_array().map(Vec::len), Some(1));
}

#[test]
fn upgrades_are_off_unless_set_and_the_socket_is_the_owners_alone() {
    let of = Upgradable::start(&[Act::Serve], "");
    let mode = std::fs::metadata(of.folder.path().join("control"))
        .expect("there")
        .permissions()
        .mode();
    assert_eq!(mode & 0o777, 0o600);
    let text = std::fs::read_to_string(of.folder.path().join("settings.cue")).expect("settings");
    std::fs::write(
        of.folder.path().join("settings.cue"),
        text.replace("upgrade: true", "upgrade: false"),
    )
    .expect("written");
    let (done, said) = of.upgrade(&[]);
    assert!(done, "the new one reads them: {said}");
    of.settled();
    let (done, text) = of.upgrade(&[]);
    assert!(!done && text.contains("upgrades are off"), "{text}");
    let out = of.command(&["drain"]);
    assert!(out.status.success());
    within(
        || TcpStream::connect(of.router.address).is_err(),
        "it leaves",
    );
}

#[test]
fn a_process_that_stays_passes_signals_on_and_ends_with_its_heir() {
    let mut of = Upgradable::start(&[Act::Serve], "control: stays: true");
    assert!(of.upgrade(&[]).0);
    of.settled();
    served(of.router.address, "h1");
    assert!(
        of.router.child.try_wait().expect("a child").is_none(),
        "it stays"
    );
    of.router.signal("-TERM");
    assert!(of.router.ended());
    assert!(TcpStream::connect(of.router.address).is_err());
}

#[test]
fn tls_connections_end_cleanly_and_identity_goes_over() {
    let world = World::new();
    let tls = common::free();
    let settings =
        std::fs::read_to_string(world.settings(None, None, Some(tls))).expect("settings");
    let of = Upgradable::start(&[Act::Serve], &settings);
    let client = world.client(Some(("crew-7.example", 7)));
    let mut stream = common::guarded::Secure::over(tls, &client).expect("a handshake");
    within(|| of.status()["identity"]["keys"][0] == "k1", "keys");
    assert_eq!(
        common::guarded::ask(&mut stream.0, "whole", "find", "").0,
        200
    );
    // The sources are gone: what is known goes over.
    std::fs::remove_file(world.path("jwks.json")).expect("removed");
    std::fs::remove_file(world.path("feed.json")).expect("removed");
    let (done, text) = of.upgrade(&[]);
    assert!(done, "{text}");
    let mut rest = Vec::new();
    assert_eq!(stream.0.read_to_end(&mut rest).expect("a clean end"), 0);
    let mut stream = common::guarded::Secure::over(tls, &client).expect("a handshake");
    assert_eq!(
        common::guarded::ask(&mut stream.0, "whole", "find", "").0,
        200
    );
    let mut plain = TcpStream::connect(of.router.address).expect("a connection");
    let token = common::guarded::bearer(&world.token(&["crew"]));
    assert_eq!(
        common::guarded::ask(&mut plain, "whole", "find", &token).0,
        200
    );
}
