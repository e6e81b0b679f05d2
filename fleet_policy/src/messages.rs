//! What a router and the one that leads say to each other about leases and policies.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ids::{Epoch, Incarnation, Index, Member, OperationId, ReplicaId, Round, Seq, Version};
use crate::state_machine::{Entry, MemberInfo, Outcome, PolicyDocument, PolicyState, Verdict};

/// A router asks for its lease, and says where it stands. All that it says is its state, so that a later one makes an
/// earlier one needless, and one that comes twice says nothing new.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseRequest {
    pub member: Member,
    pub incarnation: Incarnation,
    pub seq: Seq,
    /// How far it knows the register, and the members.
    pub index: Index,
    pub members_at: Index,
    /// What it says of the proposal on its way.
    pub verdict: Option<(Version, Verdict)>,
    /// It has stopped admitting for this round, and will not admit before it hears of the round's end.
    pub paused_for: Option<(Version, Round)>,
    /// No other process of this member may still have a lease.
    pub is_only_process: bool,
    /// It cannot use the policy in force: it wants no lease.
    pub unfit: Option<Version>,
    /// Of one that votes.
    pub last_leader_contact: Option<LastLeaderContact>,
    /// Of the further matter: what it goes by, and its word on it.
    pub machines_out_at: Index,
    pub extension_report: Vec<u8>,
}

/// A voter can no longer take the word of a leader of a term before `term`, and has last done so `ago` microseconds back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LastLeaderContact {
    pub replica: ReplicaId,
    pub term: u64,
    pub ago: u64,
}

/// A lease: this process may admit under this version, in this epoch, for the agreed span from when it asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseGrant {
    pub incarnation: Incarnation,
    pub seq: Seq,
    pub epoch: Epoch,
    pub version: Version,
}

/// The proposal on its way, as routers need it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ProposalView {
    pub document: PolicyDocument,
    pub unconfirmed: bool,
    pub round: Round,
    /// It takes hold: nobody admits.
    pub barrier: bool,
}

/// The register, as far as a router without a vote needs it. Its size does not depend on how far behind one is.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct View {
    pub index: Index,
    pub epoch: Epoch,
    pub in_force: PolicyDocument,
    pub proposal: Option<ProposalView>,
    pub members_at: Index,
    pub machines_out: Vec<u8>,
    pub machines_out_at: Index,
}

impl View {
    pub fn of(register: &PolicyState) -> View {
        let next = register.proposal.as_ref().map(|next| ProposalView {
            document: next.document.clone(),
            unconfirmed: next.unconfirmed,
            round: next.round,
            barrier: next.barrier.is_some(),
        });
        View {
            index: register.changed,
            epoch: register.epoch,
            in_force: register.in_force.clone(),
            proposal: next,
            members_at: register.members_at,
            machines_out: register.machines_out.clone(),
            machines_out_at: register.machines_out_at,
        }
    }
}

/// What the router that leads says to another.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseReply {
    /// Left out where the other knows it.
    pub view: Option<View>,
    pub members: Option<BTreeMap<Member, MemberInfo>>,
    pub grant: Option<LeaseGrant>,
    /// Who asked is no member of the fleet.
    pub not_a_member: bool,
}

/// What routers of a fleet say to each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Between seats of the agreement.
    Raft {
        from: ReplicaId,
        to: ReplicaId,
        word: Vec<u8>,
    },
    LeaseRequest(LeaseRequest),
    LeaseReply(LeaseReply),
    /// Whoever is asked does not lead; perhaps this one does.
    NotLeader(Option<Member>),
    /// An operator's command, for whoever leads; said again until its outcome is heard.
    Command {
        op: OperationId,
        command: Command,
    },
    CommandOutcome {
        op: OperationId,
        outcome: Outcome,
    },
    /// A part of something that is longer than goes at a time: the driver's matter, no council hears it.
    Fragment {
        number: u64,
        at: u16,
        of: u16,
        bytes: Vec<u8>,
    },
    /// A question of an operator's, and its answer (JSON).
    Inspect {
        op: OperationId,
        what: String,
    },
    InspectionResult {
        op: OperationId,
        json: String,
    },
}

/// What an operator wants done.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Command {
    Propose {
        base: Option<u64>,
        text: String,
        author: String,
        reason: String,
    },
    Confirm {
        number: u64,
        by: String,
    },
    Withdraw {
        number: u64,
        by: String,
        reason: String,
    },
    Add {
        member: String,
        address: String,
        zone: String,
    },
    Remove {
        member: String,
    },
    /// A new seat, for one that has none or has lost its own.
    Seat {
        member: String,
    },
    Unseat {
        member: String,
    },
    Transfer {
        to: Member,
    },
    /// Of a further matter.
    #[serde(rename = "annex")]
    Extension {
        entry: Vec<u8>,
    },
}

impl Command {
    /// The entry that it asks for; a transfer needs none.
    pub fn entry(self, op: OperationId, confirm: bool) -> Option<Entry> {
        let member = |name: String| Member(name);
        Some(match self {
            Command::Propose {
                base,
                text,
                author,
                reason,
            } => {
                let paper = PolicyDocument {
                    number: Version(0),
                    text,
                    author,
                    reason,
                };
                Entry::Propose {
                    op,
                    base: base.map(Version),
                    paper,
                    confirm,
                }
            }
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
                member: name,
                address,
                zone,
            } => Entry::Enter {
                op,
                member: member(name),
                address,
                zone,
            },
            Command::Remove { member: name } => Entry::Leave {
                op,
                member: member(name),
            },
            Command::Seat { member: name } => Entry::Seat {
                op,
                member: member(name),
            },
            Command::Unseat { member: name } => Entry::Unseat {
                op,
                member: member(name),
            },
            Command::Extension { entry } => Entry::Extension {
                op: Some(op),
                entry,
            },
            Command::Transfer { .. } => return None,
        })
    }
}
