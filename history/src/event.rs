//! Events of a history: actions and observations of clients, operators, nodes and fault injection, each with a time of
//! one monotonic clock.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// One line of a history. `at` is in microseconds since the beginning of the history; lines are in order of time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Event {
    pub at: u64,
    #[serde(flatten)]
    pub kind: EventKind,
}

/// The outcome of a proposal, as the operator's command reported it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "came", content = "number")]
pub enum ProposalOutcome {
    InForce(u64),
    /// The proposal is not in force anywhere, and never will be. The number is absent if it never had one.
    Refused(Option<u64>),
    Withdrawn(u64),
    /// The operator could not learn the outcome: the proposal may be in force already, or come in force later.
    #[serde(rename = "open")]
    Unknown(Option<u64>),
}

/// The part of a policy whose effect is visible at nodes.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct VisiblePolicy {
    /// The maximum number of calls for a part, by index.
    #[serde(default)]
    pub calls: BTreeMap<String, u64>,
    /// Drained nodes, which get no new parts.
    #[serde(default)]
    pub drained: Vec<String>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "what")]
pub enum EventKind {
    /// The platform's settings, which apply before any policy. `holders` lists the machines that hold each set of shards;
    /// `keeps` is the minimum number of them that maintenance leaves available.
    Begins {
        seen: VisiblePolicy,
        #[serde(default)]
        holders: Vec<Vec<String>>,
        #[serde(default)]
        keeps: usize,
    },
    /// A crew holds a permit for a machine. `Returned` gives the permit back.
    Permitted {
        machine: String,
        permit: u64,
        by: String,
    },
    Returned {
        machine: String,
        permit: u64,
    },
    /// A client has sent a complete lookup.
    Asked {
        lookup: String,
        router: String,
        index: String,
    },
    /// The client has received the final answer of a lookup. `version` is the policy version that the answer names; it is
    /// absent if the lookup was rejected. `unguarded`: the router reported that it had no lease.
    Answered {
        lookup: String,
        status: u16,
        version: Option<u64>,
        #[serde(default)]
        unguarded: bool,
        /// The answer contains `parts` of `of` parts. `whole`: the answer is marked complete. `least`: the completeness
        /// threshold.
        parts: u64,
        of: u64,
        whole: bool,
        least: f64,
    },
    /// The client received no answer: the connection could not be established (`refused`: no router accepted it), or it
    /// ended.
    Unanswered {
        lookup: String,
        refused: bool,
    },
    /// An operator has begun a proposal.
    Proposed {
        op: String,
        seen: VisiblePolicy,
    },
    /// The operator's command reported the outcome of a proposal.
    Settled {
        op: String,
        #[serde(rename = "came")]
        outcome: ProposalOutcome,
    },
    /// A node has started a part of a lookup.
    #[serde(rename = "part")]
    PartStarted {
        node: String,
        lookup: String,
        shard: u64,
    },
    /// A router reported its policy version in reply to a request.
    #[serde(rename = "says")]
    VersionReported {
        router: String,
        version: Option<u64>,
        term: Option<u64>,
    },
    /// A fault was injected, or removed.
    Fault {
        kind: String,
        whom: String,
    },
    /// A router's process was ended, or ended by itself. The lookups that it had accepted get no answer.
    Ended {
        router: String,
    },
    Started {
        router: String,
    },
    /// A router's process was paused by SIGSTOP. SIGCONT resumes it.
    #[serde(rename = "stopped")]
    Paused {
        router: String,
    },
    #[serde(rename = "continued")]
    Resumed {
        router: String,
    },
}
