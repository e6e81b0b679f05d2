//! Fault injection for tests. A plan defines which system calls of the program under test fail, with which effect, on which
//! descriptors and in which period; when its wall clock steps; and which calls are delayed. A library that is preloaded into
//! the unmodified program (`examples/preload.rs`) executes the plan and counts the injected faults per rule in a shared file,
//! which the test can read even after the program was killed.
//!
//! [`Plan::write`] writes a plan into a folder and returns the environment variable for the program. [`Strikes::of`] returns how
//! often a rule has struck, that is, injected its fault. A test whose fault was never injected proves nothing, so tests check
//! [`Strikes::all_struck`].
//!
//! The program must make its system calls through the C library: test builds use `rustix` with `use-libc`, while the shipped
//! build makes the calls directly. Times are in milliseconds of the monotonic clock since the start of the process.

use std::path::{Path, PathBuf};

use serde::{Deserialize, Serialize};

/// The environment variable that holds the path of the plan file.
pub const VARIABLE: &str = "TERNPICK_FAULTS";

/// A system call, or a family of equivalent system calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Call {
    Accept,
    Socket,
    Connect,
    /// `recv`, `recvfrom`, `recvmsg`, `read`, `readv`.
    Receive,
    /// `send`, `sendto`, `sendmsg`, `write`, `writev`.
    Send,
    /// `epoll_wait`, `epoll_pwait`, `epoll_pwait2`.
    Wait,
    Open,
    /// `fsync`, `fdatasync`.
    Sync,
    Rename,
}

/// What the program uses a descriptor for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    Listener,
    Client,
    Node,
    Discovery,
    /// A socket pair of the program itself, used for signals.
    Pair,
    /// A file under [`Plan::folder`].
    File,
    Any,
}

/// What a rule does to a call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Effect {
    /// The call fails with these errors in turn, given by their names in errno(3). After a permanent error of a receive or send
    /// (such as a reset or a time-out) the descriptor stays broken.
    Fails(Vec<String>),
    /// The call moves at most this number of bytes.
    Short(usize),
    /// Alternates: one call moves half of its bytes, the next one fails with this error.
    Half(String),
    /// The calling thread sleeps for this number of milliseconds before the call.
    HeldUp(u64),
}

/// Which calls are affected, how, how often and when.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rule {
    pub call: Call,
    pub on: Role,
    pub effect: Effect,
    /// The rule strikes every n-th matching call; with 0 it strikes with the probability `chance`.
    #[serde(default)]
    pub every: u64,
    #[serde(default)]
    pub chance: f64,
    #[serde(default)]
    pub from_ms: u64,
    #[serde(default = "always")]
    pub to_ms: u64,
    /// The maximum number of strikes.
    #[serde(default = "always")]
    pub most: u64,
}

fn always() -> u64 {
    u64::MAX
}

impl Rule {
    /// Creates a rule that strikes every `every`-th matching call, without limits of time or number.
    pub fn new(call: Call, on: Role, every: u64, effect: Effect) -> Rule {
        Rule {
            call,
            on,
            effect,
            every,
            chance: 0.0,
            from_ms: 0,
            to_ms: u64::MAX,
            most: u64::MAX,
        }
    }

    pub fn fails(call: Call, on: Role, every: u64, errors: &[&str]) -> Rule {
        Rule::new(
            call,
            on,
            every,
            Effect::Fails(errors.iter().map(|name| (*name).to_owned()).collect()),
        )
    }

    pub fn between(mut self, from_ms: u64, to_ms: u64) -> Rule {
        (self.from_ms, self.to_ms) = (from_ms, to_ms);
        self
    }

    pub fn most(mut self, most: u64) -> Rule {
        self.most = most;
        self
    }
}

/// A step of the wall clock by `by_ms`, forward or back. The monotonic clock is not affected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Step {
    pub at_ms: u64,
    pub by_ms: i64,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    pub seed: u64,
    #[serde(default)]
    pub rules: Vec<Rule>,
    #[serde(default)]
    pub steps: Vec<Step>,
    /// The port at which discovery listens. Connections to it have the role `Discovery`, all others the role `Node`.
    #[serde(default)]
    pub discovery_port: u16,
    /// Files below this folder have the role `File`; opens and renames outside it never fail.
    #[serde(default)]
    pub folder: Option<PathBuf>,
    /// The file that holds the number of strikes per rule; set by [`Plan::write`].
    #[serde(default)]
    pub counts: PathBuf,
}

/// Reads from the counts file how often each rule of a plan has struck.
pub struct Strikes(PathBuf);

impl Plan {
    /// Writes the plan into a folder. Returns the environment variable for the program, and the reader of the strike counts.
    pub fn write(
        &self,
        folder: &Path,
        name: &str,
    ) -> std::io::Result<((&'static str, PathBuf), Strikes)> {
        let (path, counts) = (
            folder.join(format!("{name}.plan")),
            folder.join(format!("{name}.counts")),
        );
        let plan = Plan {
            counts: counts.clone(),
            ..self.clone()
        };
        std::fs::write(&counts, vec![0; 8 * self.rules.len()])?;
        std::fs::write(&path, serde_json::to_string_pretty(&plan)?)?;
        Ok(((VARIABLE, path), Strikes(counts)))
    }
}

impl Strikes {
    pub fn of(&self, rule: usize) -> u64 {
        let bytes = std::fs::read(&self.0).unwrap_or_default();
        let count = bytes
            .get(8 * rule..8 * rule + 8)
            .and_then(|bytes| bytes.try_into().ok());
        count.map_or(0, u64::from_ne_bytes)
    }

    pub fn all_struck(&self, rules: usize) -> bool {
        (0..rules).all(|rule| self.of(rule) > 0)
    }
}
