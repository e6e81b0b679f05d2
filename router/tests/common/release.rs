//! What a released program left and said (`router/tests/release/make.sh` makes it), and the program under test started on a
//! copy of it.

use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

use serde_json::Value;

use super::{free, BOUND};

/// The addresses in the released files that the router itself listens on or asks; a copy has its own in their place.
const ADDRESSES: [&str; 3] = ["127.94.7.1:9400", "127.94.7.1:9401", "127.94.7.1:9402"];

fn fixtures() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/release")
}

/// What the released program said to a question, as JSON.
pub(crate) fn said(name: &str) -> Value {
    let path = fixtures().join("said").join(format!("{name}.json"));
    let text = std::fs::read(&path).unwrap_or_else(|e| panic!("{}: {e}", path.display()));
    serde_json::from_slice(&text).unwrap_or_else(|e| panic!("{}: {e}", path.display()))
}

fn copy(from: &Path, to: &Path) {
    if !from.is_dir() {
        std::fs::copy(from, to).expect("copied");
        return;
    }
    std::fs::create_dir_all(to).expect("a folder");
    for entry in std::fs::read_dir(from).expect("a folder") {
        let entry = entry.expect("an entry");
        copy(&entry.path(), &to.join(entry.file_name()));
    }
}

/// A copy of the released files, and the program under test that serves from them.
pub(crate) struct Released {
    pub(crate) folder: tempfile::TempDir,
    child: Option<Child>,
}

impl Released {
    pub(crate) fn copied() -> Released {
        let folder = tempfile::tempdir().expect("a folder");
        copy(&fixtures(), folder.path());
        let seat = folder.path().join("fleet-n0");
        std::fs::create_dir(&seat).expect("a folder");
        copy(&fixtures().join("seat"), &seat.join("seat"));
        let own = ADDRESSES.map(|address| (address, free().to_string()));
        for name in ["n0.json", "fleet.cue", "identity.cue"] {
            let path = folder.path().join(name);
            let text = std::fs::read_to_string(&path).expect("text");
            let text = own
                .iter()
                .fold(text, |text, (address, own)| text.replace(address, own));
            std::fs::write(&path, text).expect("written");
        }
        Released {
            folder,
            child: None,
        }
    }

    /// Starts the program under test on a copy, with the settings of this name.
    pub(crate) fn serves(settings: &str) -> Released {
        let mut released = Released::copied();
        released.start(settings);
        released
    }

    pub(crate) fn start(&mut self, settings: &str) {
        let log = std::fs::File::create(self.path("log")).expect("a log");
        let mut command = self.command(&["serve", "--config", "n0.json", "--settings", settings]);
        let child = command
            .env("RUST_LOG", "info")
            .stderr(Stdio::from(log))
            .spawn()
            .expect("it starts");
        self.child = Some(child);
        self.until("it answers", |of| !of.says(&["status"]).is_null());
    }

    pub(crate) fn path(&self, name: &str) -> PathBuf {
        self.folder.path().join(name)
    }

    /// The program under test, where the released files are.
    pub(crate) fn command(&self, words: &[&str]) -> Command {
        let mut command = Command::new(env!("CARGO_BIN_EXE_ternpick"));
        command.args(words).current_dir(self.folder.path());
        command
    }

    /// A question to the router by the command line.
    pub(crate) fn asks(&self, words: &[&str]) -> Output {
        let mut command = self.command(words);
        command
            .args(["--socket", "run-n0.sock", "--json"])
            .output()
            .expect("it runs")
    }

    /// Its answer; null where there is none.
    pub(crate) fn says(&self, words: &[&str]) -> Value {
        serde_json::from_slice(&self.asks(words).stdout).unwrap_or_default()
    }

    pub(crate) fn until(&self, what: &str, is: impl Fn(&Released) -> bool) {
        let began = Instant::now();
        while !is(self) {
            let log = std::fs::read_to_string(self.path("log")).unwrap_or_default();
            assert!(began.elapsed() < BOUND, "in time: {what}\n{log}");
            std::thread::sleep(Duration::from_millis(50));
        }
    }
}

impl Drop for Released {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
