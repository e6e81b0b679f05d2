//! System calls that signals interrupt, during an upgrade.
//!
//! What happened: in some plays of `drawn` over hot restarts the command got no answer and nothing was begun. The router's side of
//! the control socket took an interrupted read (EINTR) for the end of the connection, and the link between the processes did too.

use std::process::Stdio;

use ternpick_fault_injection::{Call, Plan, Role, Rule};
use test_case::test_case;

use crate::common::faulty::preload;
use crate::common::upgradable::{Place, Upgradable};
use crate::common::{entry, Act, Discovery, Node, SETTINGS};

/// The command's request, and nine messages up to the commit (five to the old process, four to the new one): each second call is
/// interrupted.
const LEAST_STRIKES: u64 = 5;

#[test_case(Call::Receive; "reads")]
#[test_case(Call::Send; "writes")]
fn an_upgrade_whose_calls_are_interrupted_goes_on(call: Call) {
    let nodes = vec![Node::start([Act::Serve; 2])];
    let listed = entry("s0", nodes[0].address, "Ready");
    let discovery = Discovery::default();
    discovery.set(|roster| roster.changes = listed.clone());
    let address = discovery.start();
    let folder = tempfile::tempdir().expect("a folder");
    let faults = Plan {
        seed: 1,
        rules: vec![Rule::fails(call, Role::Any, 2, &["EINTR"])],
        discovery_port: address.port(),
        ..Plan::default()
    };
    let ((variable, path), strikes) = faults.write(folder.path(), "faults").expect("a plan");
    let place = Place {
        folder,
        nodes,
        discovery,
        address,
    };
    let of = Upgradable::with(place, &listed, "", SETTINGS, |command| {
        command
            .env(variable, &path)
            .env("LD_PRELOAD", preload())
            .stderr(Stdio::null());
    });
    let before = of.pid();
    let (done, text) = of.upgrade(&[]);
    assert!(done, "{text}");
    assert_ne!(of.pid(), before);
    assert!(
        strikes.of(0) >= LEAST_STRIKES,
        "it struck {} times",
        strikes.of(0)
    );
    of.settled();
}
