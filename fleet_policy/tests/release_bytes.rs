//! Tests that log entries, snapshots, messages between routers, commands on the control socket and policy documents
//! keep the encodings of the released program. Routers of two releases share one log and exchange messages, and a
//! router reads the state that an earlier release stored.

#[path = "../../tests/common/recorded.rs"]
mod recorded;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use recorded::Recorded;
use serde::de::DeserializeOwned;
use serde::Serialize;
use ternpick_fleet_policy::{
    BarrierId, Command, Entry, Epoch, HistoryEntry, Incarnation, Index, LastLeaderContact,
    LeaseGrant, LeaseReply, LeaseRequest, Member, MemberInfo, OperationId, Outcome, PeerMessage,
    PendingProposal, PolicyDocument, PolicyState, ProposalStatus, ProposalVerdict, ProposalView,
    Record, ReplicaId, Round, Seq, Verdict, Version, View,
};

fn postcard<T: Serialize + DeserializeOwned>(recorded: &mut Recorded, name: &str, value: &T) {
    let encode = |value: &T| postcard::to_stdvec(value).expect("encodable");
    recorded.value(name, value, encode, |bytes| {
        postcard::from_bytes(bytes).ok()
    });
}

fn json<T: Serialize + DeserializeOwned>(recorded: &mut Recorded, name: &str, value: &T) {
    let encode = |value: &T| serde_json::to_string(value).expect("encodable");
    recorded.json(name, value, encode, |text| serde_json::from_str(text).ok());
}

fn document(number: u64) -> PolicyDocument {
    PolicyDocument {
        number: Version(number),
        text: format!("text {number}"),
        author: format!("author {number}"),
        reason: format!("reason {number}"),
    }
}

fn member_info(replica: Option<u64>, is_learner: bool) -> MemberInfo {
    MemberInfo {
        address: "127.0.0.1:9301".into(),
        zone: "south".into(),
        replica: replica.map(ReplicaId),
        is_learner,
    }
}

fn members() -> BTreeMap<Member, MemberInfo> {
    BTreeMap::from([
        ("n0".into(), member_info(Some(301), false)),
        ("n1".into(), member_info(Some(302), true)),
        ("n2".into(), member_info(None, false)),
    ])
}

#[allow(
    clippy::too_many_lines,
    reason = "one value for each recorded form, in one list"
)]
fn entries() -> Vec<(&'static str, Entry)> {
    let (op, number, round) = (OperationId(0x1234_5678_9abc_def0), Version(401), Round(402));
    let member = Member::from("n3");
    let verdicts = vec![
        (Member::from("n0"), Verdict::Fits),
        (Member::from("n1"), Verdict::Refused("calls is 9".into())),
    ];
    let (address, zone) = ("10.0.0.7:9300".to_owned(), "north".to_owned());
    vec![
        (
            "propose",
            Entry::Propose {
                op,
                base: Some(Version(400)),
                document: document(403),
                confirm: true,
            },
        ),
        (
            "propose-on-any",
            Entry::Propose {
                op,
                base: None,
                document: document(404),
                confirm: false,
            },
        ),
        ("verdicts", Entry::Verdicts { number, verdicts }),
        (
            "confirm",
            Entry::Confirm {
                op,
                number,
                by: "bob".into(),
            },
        ),
        (
            "begin",
            Entry::BeginBarrier {
                number,
                round,
                expired_members: BTreeSet::from(["n1".into(), "n2".into()]),
            },
        ),
        ("in-force", Entry::InForce { number, round }),
        ("resume", Entry::Resume { number, round }),
        (
            "withdraw",
            Entry::Withdraw {
                op,
                number,
                by: "ann".into(),
                reason: "too early".into(),
            },
        ),
        (
            "enter",
            Entry::AddMember {
                op,
                member: member.clone(),
                address,
                zone,
            },
        ),
        (
            "leave",
            Entry::RemoveMember {
                op,
                member: member.clone(),
            },
        ),
        (
            "seat",
            Entry::AssignReplica {
                op,
                member: member.clone(),
            },
        ),
        ("unseat", Entry::RemoveReplica { op, member }),
        (
            "learnt",
            Entry::PromoteLearner {
                replica: ReplicaId(405),
            },
        ),
        (
            "annex-command",
            Entry::Extension {
                op: Some(op),
                entry: vec![4, 5, 6],
            },
        ),
        (
            "annex-step",
            Entry::Extension {
                op: None,
                entry: vec![7, 8],
            },
        ),
    ]
}

fn outcomes() -> Vec<(&'static str, Outcome)> {
    vec![
        ("proposed", Outcome::Proposed(Version(501))),
        ("seated", Outcome::ReplicaAssigned(ReplicaId(502))),
        ("numbered", Outcome::Numbered(503)),
        ("done", Outcome::Done),
        ("refused", Outcome::Refused("it is open".into())),
    ]
}

/// A policy state in which no field is empty. The outcomes of commands are private, so entries are applied to create
/// them.
#[allow(
    clippy::too_many_lines,
    reason = "one value for each recorded form, in one list"
)]
fn policy_state() -> PolicyState {
    let mut state = PolicyState::bootstrap(members());
    for (position, (_, outcome)) in outcomes().into_iter().enumerate() {
        if let Outcome::Numbered(number) = outcome {
            state.extension_applied(
                Index(2),
                Some(OperationId(600 + position as u64)),
                Ok(number),
                vec![1],
            );
        }
    }
    state.extension_applied(
        Index(3),
        Some(OperationId(611)),
        Err("no such request".into()),
        vec![2],
    );
    state.apply(
        Index(4),
        Entry::Propose {
            op: OperationId(612),
            base: None,
            document: document(9),
            confirm: true,
        },
    );
    state.apply(
        Index(5),
        Entry::Confirm {
            op: OperationId(613),
            number: Version(1),
            by: "bob".into(),
        },
    );
    state.apply(
        Index(6),
        Entry::AssignReplica {
            op: OperationId(614),
            member: "n2".into(),
        },
    );
    let statuses = [
        ProposalStatus::Open,
        ProposalStatus::InForce,
        ProposalStatus::Refused("n1".into(), "calls is 9".into()),
        ProposalStatus::Withdrawn("ann".into(), "too early".into()),
    ];
    let history = statuses
        .into_iter()
        .enumerate()
        .map(|(position, status)| HistoryEntry {
            number: Version(620 + position as u64),
            author: "ann".into(),
            reason: "a trial".into(),
            status,
            changed_at: Index(630 + position as u64),
        });
    state.history = history.collect::<VecDeque<HistoryEntry>>();
    (state.index, state.changed_at, state.members_at) = (Index(641), Index(642), Index(643));
    (state.epoch, state.newest_version, state.last_replica_id) =
        (Epoch(644), Version(645), ReplicaId(646));
    (state.machines_out, state.machines_out_at, state.extension) =
        (vec![47, 48], Index(649), vec![50, 51, 52]);
    state.in_force = document(653);
    state.proposal = Some(PendingProposal {
        document: document(654),
        accepted_by: BTreeSet::from(["n0".into()]),
        unconfirmed: true,
        round: Round(655),
        barrier: Some(BTreeSet::from(["n1".into(), "n2".into()])),
    });
    state.departed_members = BTreeSet::from(["n8".into(), "n9".into()]);
    state
}

fn lease_request() -> LeaseRequest {
    LeaseRequest {
        member: "n1".into(),
        incarnation: Incarnation(701),
        seq: Seq(702),
        index: Index(703),
        members_at: Index(704),
        verdict: Some(ProposalVerdict {
            number: Version(705),
            verdict: Verdict::Refused("calls is 9".into()),
        }),
        paused_for: Some(BarrierId {
            number: Version(706),
            round: Round(707),
        }),
        is_only_process: true,
        unfit: Some(Version(708)),
        last_leader_contact: Some(LastLeaderContact {
            replica: ReplicaId(709),
            term: 710,
            ago_us: 711,
        }),
        machines_out_at: Index(712),
        extension_report: vec![13, 14],
    }
}

fn lease_reply() -> LeaseReply {
    let view = View {
        index: Index(721),
        epoch: Epoch(722),
        in_force: document(723),
        proposal: Some(ProposalView {
            document: document(724),
            unconfirmed: true,
            round: Round(725),
            barrier: false,
        }),
        members_at: Index(726),
        machines_out: vec![27, 28],
        machines_out_at: Index(729),
    };
    let grant = LeaseGrant {
        incarnation: Incarnation(731),
        seq: Seq(732),
        epoch: Epoch(733),
        version: Version(734),
    };
    LeaseReply {
        view: Some(view),
        members: Some(members()),
        grant: Some(grant),
        not_a_member: true,
    }
}

fn commands() -> Vec<(&'static str, Command)> {
    let member = || "n3".to_owned();
    let (text, author, reason) = ("a text".to_owned(), "ann".to_owned(), "a trial".to_owned());
    let (address, zone) = ("10.0.0.7:9300".to_owned(), "north".to_owned());
    vec![
        (
            "propose",
            Command::Propose {
                base: Some(801),
                text,
                author,
                reason,
            },
        ),
        (
            "confirm",
            Command::Confirm {
                number: 802,
                by: "bob".into(),
            },
        ),
        (
            "withdraw",
            Command::Withdraw {
                number: 803,
                by: "ann".into(),
                reason: "too early".into(),
            },
        ),
        (
            "add",
            Command::Add {
                member: member(),
                address,
                zone,
            },
        ),
        ("remove", Command::Remove { member: member() }),
        ("seat", Command::AssignReplica { member: member() }),
        ("unseat", Command::RemoveReplica { member: member() }),
        ("transfer", Command::Transfer { to: "n2".into() }),
        (
            "annex",
            Command::Extension {
                entry: vec![9, 10, 11],
            },
        ),
    ]
}

#[test]
fn log_entries_have_the_bytes_of_the_release() {
    let mut recorded = Recorded::parse(include_str!("release_bytes/entries.txt"));
    for (name, entry) in &entries() {
        postcard(&mut recorded, name, entry);
    }
    recorded.finish();
}

#[test]
fn the_policy_state_in_a_snapshot_has_the_bytes_of_the_release() {
    let mut recorded = Recorded::parse(include_str!("release_bytes/register.txt"));
    postcard(&mut recorded, "register", &policy_state());
    postcard(
        &mut recorded,
        "register-of-a-new-fleet",
        &PolicyState::bootstrap(members()),
    );
    recorded.finish();
}

#[test]
#[allow(
    clippy::too_many_lines,
    reason = "one value for each recorded form, in one list"
)]
fn messages_between_routers_have_the_bytes_of_the_release() {
    let op = OperationId(0x0fed_cba9_8765_4321);
    let mut messages = vec![
        (
            "seat".to_owned(),
            PeerMessage::Raft {
                from: ReplicaId(901),
                to: ReplicaId(902),
                message: vec![3, 4],
            },
        ),
        (
            "renew".to_owned(),
            PeerMessage::LeaseRequest(lease_request()),
        ),
        ("told".to_owned(), PeerMessage::LeaseReply(lease_reply())),
        (
            "told-nothing".to_owned(),
            PeerMessage::LeaseReply(LeaseReply::default()),
        ),
        (
            "elsewhere".to_owned(),
            PeerMessage::NotLeader(Some("n2".into())),
        ),
        ("elsewhere-unknown".to_owned(), PeerMessage::NotLeader(None)),
        (
            "piece".to_owned(),
            PeerMessage::Fragment {
                number: 905,
                index: 906,
                count: 907,
                bytes: vec![8, 9],
            },
        ),
        (
            "look".to_owned(),
            PeerMessage::Inspect {
                op,
                question: "members".into(),
            },
        ),
        (
            "seen".to_owned(),
            PeerMessage::InspectionResult {
                op,
                json: "{}".into(),
            },
        ),
    ];
    messages.extend(
        commands()
            .into_iter()
            .map(|(name, command)| (format!("do-{name}"), PeerMessage::Command { op, command })),
    );
    messages.extend(outcomes().into_iter().map(|(name, outcome)| {
        (
            format!("did-{name}"),
            PeerMessage::CommandOutcome { op, outcome },
        )
    }));
    let mut recorded = Recorded::parse(include_str!("release_bytes/said.txt"));
    for (name, message) in &messages {
        postcard(&mut recorded, name, message);
    }
    recorded.finish();
}

#[test]
fn commands_have_the_json_of_the_release_on_the_control_socket() {
    let mut recorded = Recorded::parse(include_str!("release_bytes/commands.txt"));
    for (name, command) in &commands() {
        json(&mut recorded, name, command);
    }
    recorded.finish();
}

/// Guards against a policy document that has another meaning after an upgrade, because a key was renamed or
/// reinterpreted.
#[test]
fn a_policy_document_of_the_release_has_the_same_settings() {
    let text = include_str!("release_bytes/policy.cue");
    let record = Record::read("policy.cue", text).expect("a valid policy document");
    let mut recorded = Recorded::parse(include_str!("release_bytes/record.txt"));
    json(&mut recorded, "record", &record);
    for (path, value) in &record.settings_by_path() {
        recorded.bytes(path, value.as_bytes());
    }
    recorded.finish();
}
