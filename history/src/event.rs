//! Events: what clients, operators, nodes and whoever breaks things did and saw, each with a time of one monotonic clock.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// One line of a history. Times are microseconds from its beginning; lines stand in their order.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Event {
    pub at: u64,
    #[serde(flatten)]
    pub kind: EventKind,
}

/// What became of a proposal, as its operator was told.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "came", content = "number")]
pub enum ProposalOutcome {
    InForce(u64),
    /// It is nowhere, and stays so.
    Refused(Option<u64>),
    Withdrawn(u64),
    /// The operator could not learn the outcome: the proposal may be in force already, or come in force later.
    #[serde(rename = "open")]
    Unknown(Option<u64>),
}

/// What a policy says that nodes can see.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct VisiblePolicy {
    /// Calls for a part at most, by index.
    #[serde(default)]
    pub calls: BTreeMap<String, u64>,
    /// Nodes that get no new work.
    #[serde(default)]
    pub drained: Vec<String>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "what")]
pub enum EventKind {
    /// What holds of the platform, before any policy. `holders`: which machines hold each set of shards, and how many of
    /// them work on machines leaves at the least.
    Begins {
        seen: VisiblePolicy,
        #[serde(default)]
        holders: Vec<Vec<String>>,
        #[serde(default)]
        keeps: usize,
    },
    /// A crew has a machine under a permit, and is about to give it back.
    Permitted {
        machine: String,
        permit: u64,
        by: String,
    },
    Returned {
        machine: String,
        permit: u64,
    },
    /// A client has sent a whole lookup.
    Asked {
        lookup: String,
        router: String,
        index: String,
    },
    /// Its final answer came. `version`: the policy that it says it was decided under; none: it was not taken, or the
    /// router said that it had no lease (`unguarded`).
    Answered {
        lookup: String,
        status: u16,
        version: Option<u64>,
        #[serde(default)]
        unguarded: bool,
        /// Parts that are in it, and whether it calls itself whole.
        parts: u64,
        of: u64,
        whole: bool,
        least: f64,
    },
    /// No answer came: the connection could not be made (`refused`, nobody had taken it), or it ended.
    Unanswered {
        lookup: String,
        refused: bool,
    },
    /// An operator's proposal began.
    Proposed {
        op: String,
        seen: VisiblePolicy,
    },
    /// What the operator was told of it.
    Settled {
        op: String,
        #[serde(rename = "came")]
        outcome: ProposalOutcome,
    },
    /// A node has begun a part of a lookup.
    #[serde(rename = "part")]
    PartStarted {
        node: String,
        lookup: String,
        shard: u64,
    },
    /// A router said under which version it is, being asked.
    #[serde(rename = "says")]
    VersionReported {
        router: String,
        version: Option<u64>,
        term: Option<u64>,
    },
    /// Something was broken, or mended.
    Fault {
        kind: String,
        whom: String,
    },
    /// A process of a router was ended, or ended by itself: what it had taken has no answer.
    Ended {
        router: String,
    },
    Started {
        router: String,
    },
    /// A process stands still, and goes on (SIGSTOP, SIGCONT).
    #[serde(rename = "stopped")]
    Paused {
        router: String,
    },
    #[serde(rename = "continued")]
    Resumed {
        router: String,
    },
}
