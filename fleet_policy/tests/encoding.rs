//! Tests that the encodings of stored state and of messages between routers do not change, so that a router of one
//! release reads the data of another. `postcard` encodes fields and variants by position, JSON by name.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;

use serde::Serialize;
use ternpick::types::Micros;
use ternpick_fleet_policy::{
    BarrierId, Command, Entry, Epoch, HistoryEntry, Incarnation, Index, LastLeaderContact,
    LeaseConfig, LeaseGrant, LeaseReply, LeaseRequest, Member, MemberInfo, MemberStatus,
    OperationId, Outcome, PeerMessage, PolicyDocument, PolicyState, ProposalStatus,
    ProposalVerdict, Record, ReplicaId, Round, Seq, Verdict, Version, View,
};

/// The encodings of the release that first stored these types.
const EXPECTED: &str = include_str!("encoding.txt");

/// Encodings that are longer than this are compared by length and hash.
const MAX_BYTES_IN_FULL: usize = 160;

fn fnv1a(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3)
    })
}

/// Lines in the form of `encoding.txt`: a name and the encoded value.
#[derive(Default)]
struct Lines(String);

impl Lines {
    fn postcard(&mut self, name: &str, value: &impl Serialize) {
        let bytes = postcard::to_stdvec(value).expect("encodable");
        let text: String = if bytes.len() <= MAX_BYTES_IN_FULL {
            bytes.iter().map(|byte| format!("{byte:02x}")).collect()
        } else {
            format!("{} bytes, FNV-1a {:016x}", bytes.len(), fnv1a(&bytes))
        };
        writeln!(self.0, "{name} {text}").expect("writing to a string succeeds");
    }

    fn json(&mut self, name: &str, value: &impl Serialize) {
        let text = serde_json::to_string(value).expect("encodable");
        writeln!(self.0, "{name} {text}").expect("writing to a string succeeds");
    }
}

fn document(number: u64) -> PolicyDocument {
    PolicyDocument {
        number: Version(number),
        text: format!("text {number}"),
        author: "ann".into(),
        reason: "a test".into(),
    }
}

fn info(address: &str, replica: Option<u64>, is_learner: bool) -> MemberInfo {
    MemberInfo {
        address: address.into(),
        zone: "east".into(),
        replica: replica.map(ReplicaId),
        is_learner,
    }
}

fn propose(op: u64, base: Option<u64>, confirm: bool) -> Entry {
    Entry::Propose {
        op: OperationId(op),
        base: base.map(Version),
        document: document(0),
        confirm,
    }
}

fn confirm(op: u64, number: u64, by: &str) -> Entry {
    Entry::Confirm {
        op: OperationId(op),
        number: Version(number),
        by: by.into(),
    }
}

fn withdraw(op: u64, number: u64, reason: &str) -> Entry {
    Entry::Withdraw {
        op: OperationId(op),
        number: Version(number),
        by: "ann".into(),
        reason: reason.into(),
    }
}

fn verdicts(number: u64, verdicts: &[(&str, Verdict)]) -> Entry {
    Entry::Verdicts {
        number: Version(number),
        verdicts: verdicts
            .iter()
            .map(|(member, verdict)| (Member::from(*member), verdict.clone()))
            .collect(),
    }
}

fn begin_barrier(number: u64, round: u64) -> Entry {
    Entry::BeginBarrier {
        number: Version(number),
        round: Round(round),
        expired_members: BTreeSet::from(["c".into()]),
    }
}

fn add_member(op: u64, member: &str, address: &str, zone: &str) -> Entry {
    Entry::AddMember {
        op: OperationId(op),
        member: member.into(),
        address: address.into(),
        zone: zone.into(),
    }
}

fn remove_member(op: u64, member: &str) -> Entry {
    Entry::RemoveMember {
        op: OperationId(op),
        member: member.into(),
    }
}

fn assign_replica(op: u64, member: &str) -> Entry {
    Entry::AssignReplica {
        op: OperationId(op),
        member: member.into(),
    }
}

fn remove_replica(op: u64, member: &str) -> Entry {
    Entry::RemoveReplica {
        op: OperationId(op),
        member: member.into(),
    }
}

fn accepted_entries() -> Vec<Entry> {
    let (number, round) = (Version(1), Round(1));
    vec![
        propose(1, Some(0), true),
        confirm(2, 1, "bob"),
        verdicts(1, &[("a", Verdict::Fits), ("b", Verdict::Fits)]),
        begin_barrier(1, 1),
        Entry::Resume { number, round },
        begin_barrier(1, 2),
        Entry::InForce {
            number,
            round: Round(2),
        },
        propose(3, None, false),
        verdicts(2, &[("a", Verdict::Refused("too many calls".into()))]),
        propose(4, None, false),
        withdraw(5, 3, "a mistake"),
        add_member(6, "d", "127.0.0.1:4", "west"),
        assign_replica(7, "d"),
        Entry::PromoteLearner {
            replica: ReplicaId(3),
        },
        remove_replica(8, "b"),
        remove_member(9, "b"),
        Entry::Extension {
            op: Some(OperationId(10)),
            entry: vec![1, 2, 3],
        },
        Entry::Extension {
            op: None,
            entry: vec![],
        },
    ]
}

/// Entries that the policy state refuses, each with a text that the state retains as the outcome; and some accepted
/// entries that the later refusals require.
fn refused_entries() -> Vec<Entry> {
    let too_long = Entry::Propose {
        op: OperationId(24),
        base: None,
        document: PolicyDocument {
            text: "x".repeat(9000),
            ..document(0)
        },
        confirm: false,
    };
    vec![
        propose(11, Some(7), false),
        confirm(12, 9, "ann"),
        withdraw(13, 1, ""),
        withdraw(14, 2, ""),
        withdraw(15, 3, ""),
        withdraw(16, 99, ""),
        remove_member(17, "a"),
        remove_member(18, "z"),
        assign_replica(19, "z"),
        remove_replica(20, "z"),
        remove_replica(21, "d"),
        remove_replica(22, "a"),
        add_member(23, "", "", ""),
        too_long,
        propose(25, None, true),
        confirm(26, 4, "ann"),
        propose(27, None, false),
        confirm(28, 4, "bob"),
        verdicts(4, &[("a", Verdict::Fits), ("d", Verdict::Fits)]),
        begin_barrier(4, 1),
        remove_member(29, "c"),
        add_member(30, "e", "", ""),
    ]
}

fn lease_request() -> LeaseRequest {
    LeaseRequest {
        member: "a".into(),
        incarnation: Incarnation(77),
        seq: Seq(5),
        index: Index(6),
        members_at: Index(4),
        verdict: Some(ProposalVerdict {
            number: Version(2),
            verdict: Verdict::Fits,
        }),
        paused_for: Some(BarrierId {
            number: Version(2),
            round: Round(1),
        }),
        is_only_process: true,
        unfit: Some(Version(1)),
        last_leader_contact: Some(LastLeaderContact {
            replica: ReplicaId(2),
            term: 8,
            ago_us: 1500,
        }),
        machines_out_at: Index(3),
        extension_report: vec![9, 8],
    }
}

fn commands() -> Vec<Command> {
    vec![
        Command::Propose {
            base: Some(1),
            text: "t".into(),
            author: "ann".into(),
            reason: "r".into(),
        },
        Command::Confirm {
            number: 2,
            by: "bob".into(),
        },
        Command::Withdraw {
            number: 2,
            by: "bob".into(),
            reason: "r".into(),
        },
        Command::Add {
            member: "d".into(),
            address: "127.0.0.1:4".into(),
            zone: "west".into(),
        },
        Command::Remove { member: "d".into() },
        Command::AssignReplica { member: "d".into() },
        Command::RemoveReplica { member: "d".into() },
        Command::Transfer { to: "a".into() },
        Command::Extension { entry: vec![1] },
    ]
}

fn messages(state: &PolicyState) -> Vec<(&'static str, PeerMessage)> {
    let reply = LeaseReply {
        view: Some(View::of(state)),
        members: Some(state.members.clone()),
        grant: Some(LeaseGrant {
            incarnation: Incarnation(77),
            seq: Seq(5),
            epoch: Epoch(3),
            version: Version(2),
        }),
        not_a_member: false,
    };
    let op = OperationId(40);
    vec![
        (
            "raft",
            PeerMessage::Raft {
                from: ReplicaId(1),
                to: ReplicaId(2),
                message: vec![4, 5],
            },
        ),
        ("lease-request", PeerMessage::LeaseRequest(lease_request())),
        ("lease-reply", PeerMessage::LeaseReply(reply)),
        ("not-leader", PeerMessage::NotLeader(Some("a".into()))),
        (
            "command-outcome",
            PeerMessage::CommandOutcome {
                op,
                outcome: Outcome::Refused("no".into()),
            },
        ),
        (
            "fragment",
            PeerMessage::Fragment {
                number: 1,
                index: 2,
                count: 3,
                bytes: vec![6],
            },
        ),
        (
            "inspect",
            PeerMessage::Inspect {
                op,
                question: "members".into(),
            },
        ),
        (
            "inspection-result",
            PeerMessage::InspectionResult {
                op,
                json: "{}".into(),
            },
        ),
    ]
}

fn encoded_lines() -> String {
    let mut lines = Lines::default();
    let mut state = PolicyState::bootstrap(BTreeMap::from([
        ("a".into(), info("127.0.0.1:1", Some(1), false)),
        ("b".into(), info("127.0.0.1:2", Some(2), false)),
        ("c".into(), info("127.0.0.1:3", None, false)),
    ]));
    lines.postcard("bootstrap", &state);
    let entries = accepted_entries().into_iter().chain(refused_entries());
    for (position, entry) in entries.enumerate() {
        lines.postcard(&format!("entry-{position}"), &entry);
        state.apply(Index(position as u64 + 2), entry);
        lines.postcard(&format!("state-{position}"), &state);
    }
    for (name, message) in messages(&state) {
        lines.postcard(name, &message);
    }
    for (position, command) in commands().into_iter().enumerate() {
        lines.json(&format!("command-{position}"), &command);
        let op = OperationId(41);
        let entry = command.clone().entry(op, true);
        lines.postcard(&format!("command-entry-{position}"), &entry);
        lines.postcard(
            &format!("command-{position}"),
            &PeerMessage::Command { op, command },
        );
    }
    let outcomes = [
        Outcome::Proposed(Version(3)),
        Outcome::ReplicaAssigned(ReplicaId(4)),
        Outcome::Numbered(5),
        Outcome::Done,
    ];
    lines.postcard("outcomes", &outcomes);
    let history = HistoryEntry {
        number: Version(1),
        author: "ann".into(),
        reason: "r".into(),
        status: ProposalStatus::Withdrawn("ann".into(), "r".into()),
        changed_at: Index(9),
    };
    lines.json("history", &history);
    let status = MemberStatus {
        member: "a".into(),
        since_last_contact: Some(Micros(1500)),
        known_index: Some(Index(6)),
        lease_over: false,
        fits: Some(true),
        stopped: None,
    };
    lines.json("member-status", &status);
    lines.postcard("member-status", &status);
    lines.json("lease-config", &LeaseConfig::default());
    let text = "author: \"ann\"\nreason: \"r\"\nindexes: half: {least: 0.75, partly_at: 90ms, calls: 2, copies: false}\n\
                drained: [\"s-1\"]\ncustomers: north: per_second: 3\nfurther: {spare: 1, share: 0.05}\n";
    let record = Record::read("p.cue", text).expect("a valid policy document");
    lines.json("record", &record);
    lines.json("record-lines", &record.settings_by_path());
    lines.0
}

#[test]
fn stored_state_and_messages_keep_their_bytes() {
    let actual = encoded_lines();
    for (actual, expected) in actual.lines().zip(EXPECTED.lines()) {
        assert_eq!(actual, expected);
    }
    assert_eq!(actual.lines().count(), EXPECTED.lines().count());
}
