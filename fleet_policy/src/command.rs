//! Operators' commands, as received from the control socket or from other routers, and their conversion to log entries.

use serde::{Deserialize, Serialize};

use crate::ids::{Member, OperationId, Version};
use crate::state_machine::{Entry, PolicyDocument};

/// An operator's command. JSON encodes fields and variants by name, `postcard` by position: names and order are fixed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Command {
    /// Propose a policy.
    Propose {
        /// The version in force that the author based the proposal on.
        base: Option<u64>,
        /// The policy.
        text: String,
        /// The name of the operator who proposes it.
        author: String,
        /// The operator's reason.
        reason: String,
    },
    /// Confirm a proposal as a second person.
    Confirm {
        /// The proposal.
        number: u64,
        /// The name of the operator who confirms it.
        by: String,
    },
    /// Withdraw a proposal.
    Withdraw {
        /// The proposal.
        number: u64,
        /// The name of the operator who withdraws it.
        by: String,
        /// The operator's reason.
        reason: String,
    },
    /// Add a member, or change its address.
    Add {
        /// The router's name.
        member: String,
        /// The address at which other routers reach it.
        address: String,
        /// Its zone.
        zone: String,
    },
    /// Remove a member without a replica.
    Remove {
        /// The router's name.
        member: String,
    },
    /// Assign a new replica to a member that has none or has lost its state.
    #[serde(rename = "seat")]
    AssignReplica {
        /// The router's name.
        member: String,
    },
    /// Take a member's replica away.
    #[serde(rename = "unseat")]
    RemoveReplica {
        /// The router's name.
        member: String,
    },
    /// Transfer leadership to a member.
    Transfer {
        /// The member that is to lead.
        to: Member,
    },
    /// A command of the extension ([`crate::Extension`]).
    #[serde(rename = "annex")]
    Extension {
        /// Interpreted by the extension alone.
        entry: Vec<u8>,
    },
}

impl Command {
    /// Converts the command to a log entry; `None` for a transfer of leadership, which needs no entry. With `confirm`, a
    /// second person has to confirm a proposal.
    pub fn entry(self, op: OperationId, confirm: bool) -> Option<Entry> {
        let entry = match self {
            Command::Propose {
                base,
                text,
                author,
                reason,
            } => Entry::Propose {
                op,
                base: base.map(Version),
                document: PolicyDocument {
                    number: Version(0),
                    text,
                    author,
                    reason,
                },
                confirm,
            },
            Command::Confirm { number, by } => Entry::Confirm {
                op,
                number: Version(number),
                by,
            },
            Command::Withdraw { number, by, reason } => Entry::Withdraw {
                op,
                number: Version(number),
                by,
                reason,
            },
            Command::Add {
                member,
                address,
                zone,
            } => Entry::AddMember {
                op,
                member: Member(member),
                address,
                zone,
            },
            Command::Remove { member } => Entry::RemoveMember {
                op,
                member: Member(member),
            },
            Command::AssignReplica { member } => Entry::AssignReplica {
                op,
                member: Member(member),
            },
            Command::RemoveReplica { member } => Entry::RemoveReplica {
                op,
                member: Member(member),
            },
            Command::Extension { entry } => Entry::Extension {
                op: Some(op),
                entry,
            },
            Command::Transfer { .. } => return None,
        };
        Some(entry)
    }
}
