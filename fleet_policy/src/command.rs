//! Operators' commands, as the control socket and other routers hand them over, and the log entries that they become.

use serde::{Deserialize, Serialize};

use crate::ids::{Member, OperationId, Version};
use crate::state_machine::{Entry, PolicyDocument};

/// An operator's command. JSON encodes it by name, `postcard` by position: both are fixed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Command {
    /// Propose a policy.
    Propose {
        /// The version that the author looked at.
        base: Option<u64>,
        /// The policy.
        text: String,
        /// Who proposes it.
        author: String,
        /// Why.
        reason: String,
    },
    /// Confirm a proposal as a second person.
    Confirm {
        /// The proposal.
        number: u64,
        /// Who confirms it.
        by: String,
    },
    /// Withdraw a proposal.
    Withdraw {
        /// The proposal.
        number: u64,
        /// Who withdraws it.
        by: String,
        /// Why.
        reason: String,
    },
    /// Add a member, or change its address.
    Add {
        /// The router's name.
        member: String,
        /// Where other routers reach it.
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
        /// The router.
        to: Member,
    },
    /// A command of the extension ([`crate::Extension`]).
    #[serde(rename = "annex")]
    Extension {
        /// Known to the extension alone.
        entry: Vec<u8>,
    },
}

impl Command {
    /// The log entry that the command becomes; a transfer becomes none. With `confirm` a proposal needs a second person.
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
