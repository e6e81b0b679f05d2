//! Faults for tests: a plan says which system calls of the program under test fail, how, on which descriptors and from when to
//! when; when its wall clock steps; where it is held up. A library that is preloaded into the program as it ships
//! (`examples/preload.rs`) carries the plan out and counts each strike where the test can read it, also after a kill.
//!
//! One way in: [`Plan::write`] puts a plan into a folder and gives the environment for the program; [`Strikes::of`] tells how often
//! a rule struck. A test whose fault never struck has shown nothing: [`Strikes::all_struck`].
//!
//! The program has to make its calls through the C library: test builds take `rustix` with `use-libc` (the shipped build makes
//! them itself). Times are milliseconds of the monotonic clock from the start of the process.

use std::path::{Path, PathBuf};

use serde::{Deserialize, Serialize};

/// The variable that names the plan's file.
pub const VARIABLE: &str = "TERNPICK_FAULTS";

/// A call, or a family that does the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Call {
    Accept,
    Socket,
    Connect,
    /// recv, recvfrom, recvmsg, read, readv.
    Receive,
    /// send, sendto, sendmsg, write, writev.
    Send,
    /// epoll_wait and its kin.
    Wait,
    Open,
    /// fsync, fdatasync.
    Sync,
    Rename,
}

/// What a descriptor is to the program.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    Listener,
    Client,
    Node,
    Discovery,
    /// A pair of its own: signals.
    Pair,
    /// A file in the plan's folder.
    File,
    Any,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Effect {
    /// Fails with these in turn, by their names in errno(3). What is not for a moment (a reset, a time-out) stays: the descriptor is
    /// broken from then on.
    Fails(Vec<String>),
    /// Moves so many bytes at most.
    Short(usize),
    /// A write moves half of its bytes, the next ones fail.
    Half(String),
    /// The process is held up for so many milliseconds before the call.
    HeldUp(u64),
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rule {
    pub call: Call,
    pub on: Role,
    pub effect: Effect,
    /// Each n-th call that it could strike; 0: by `chance`.
    #[serde(default)]
    pub every: u64,
    #[serde(default)]
    pub chance: f64,
    #[serde(default)]
    pub from_ms: u64,
    #[serde(default = "always")]
    pub to_ms: u64,
    /// It strikes no more often than this.
    #[serde(default = "always")]
    pub most: u64,
}

fn always() -> u64 {
    u64::MAX
}

impl Rule {
    /// Strikes each `every`-th call.
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

/// The wall clock steps by so much, forward or back; the monotonic clock runs on.
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
    /// The port at which discovery listens: connections there are its, all others nodes'.
    #[serde(default)]
    pub discovery_port: u16,
    /// Files below this are the plan's.
    #[serde(default)]
    pub folder: Option<PathBuf>,
    /// Where strikes are counted; filled in by [`Plan::write`].
    #[serde(default)]
    pub counts: PathBuf,
}

/// How often each rule of a plan struck.
pub struct Strikes(PathBuf);

impl Plan {
    /// Writes the plan into a folder; the variable for the program, and where its strikes are counted.
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
            .and_then(|of| of.try_into().ok());
        count.map_or(0, u64::from_ne_bytes)
    }

    pub fn all_struck(&self, rules: usize) -> bool {
        (0..rules).all(|rule| self.of(rule) > 0)
    }
}
