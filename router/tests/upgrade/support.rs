//! What the tests of upgrades share: programs that stand in for the new process, and single requests.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use crate::common::{self, request, BOUND, WHOLE};

pub(crate) use crate::common::upgradable::Upgradable;

pub(crate) const MS: Duration = Duration::from_millis(1);

/// A script that is started in the new process's place.
pub(crate) fn script(of: &Upgradable, text: &str) -> String {
    static NUMBER: AtomicUsize = AtomicUsize::new(0);
    let path = of
        .folder
        .path()
        .join(format!("program{}", NUMBER.fetch_add(1, Ordering::Relaxed)));
    std::fs::write(&path, format!("#!/bin/sh\n{text}\n")).expect("written");
    std::fs::set_permissions(&path, std::fs::Permissions::from_mode(0o700)).expect("a program");
    path.display().to_string()
}

pub(crate) fn standin(of: &Upgradable, how: &str) -> String {
    let program = Path::new(env!("CARGO_BIN_EXE_ternpick"));
    let standin: PathBuf = program
        .parent()
        .expect("a folder")
        .join("examples/upgrade_standin");
    assert!(standin.exists(), "cargo test builds examples");
    script(
        of,
        &format!("STANDIN={how} exec {} \"$@\"", standin.display()),
    )
}

pub(crate) fn served(router: SocketAddr, id: &str) {
    let mut stream = TcpStream::connect(router).expect("a connection");
    stream.set_read_timeout(Some(BOUND)).expect("a time-out");
    stream
        .write_all(request("half", id).as_bytes())
        .expect("written");
    let (status, _, body) = common::answer(&mut stream);
    assert_eq!((status, body.as_str()), (200, WHOLE));
}

/// What a node that has just started bears in a second at this age, of parts of 100 ms: 1.5 times its own pace.
pub(crate) const COLD: &str =
    r#""rules":{"coldFrom":0.3,"warmWithin":60000000,"fallMultiple":1.5,"fall":1000000,"#;

/// Ends the load also where a check fails.
pub(crate) struct Ends<'a>(pub(crate) &'a AtomicBool);

impl Drop for Ends<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}
