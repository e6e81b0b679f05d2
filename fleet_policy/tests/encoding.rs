//! Stored state and messages between routers keep their bytes: `postcard` encodes by position, JSON by name. A router of
//! one release reads what one of another release has written.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;

use serde::Serialize;
use ternpick::types::Micros;
use ternpick_fleet_policy::{
    Command, Entry, Epoch, HistoryEntry, Incarnation, Index, LastLeaderContact, LeaseConfig,
    LeaseGrant, LeaseReply, LeaseRequest, Member, MemberInfo, MemberStatus, OperationId, Outcome,
    PeerMessage, PolicyDocument, PolicyState, ProposalStatus, Record, ReplicaId, Round, Seq,
    Verdict, Version, View,
};

/// Written by the release that first stored these types.
const EXPECTED: &str = include_str!("encoding.txt");

/// Longer encodings are compared by length and hash.
const MOST_BYTES_SHOWN: usize = 160;

fn fnv1a(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3)
    })
}

#[derive(Default)]
struct Lines(String);

impl Lines {
    fn postcard(&mut self, name: &str, value: &impl Serialize) {
        let bytes = postcard::to_stdvec(value).expect("it encodes");
        let text: String = if bytes.len() <= MOST_BYTES_SHOWN {
            bytes.iter().map(|byte| format!("{byte:02x}")).collect()
        } else {
            format!("{} bytes, FNV-1a {:016x}", bytes.len(), fnv1a(&bytes))
        };
        writeln!(self.0, "{name} {text}").expect("a string takes all");
    }

    fn json(&mut self, name: &str, value: &impl Serialize) {
        let text = serde_json::to_string(value).expect("it encodes");
        writeln!(self.0, "{name} {text}").expect("a string takes all");
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

fn entries() -> Vec<Entry> {
    let without: BTreeSet<Member> = BTreeSet::from(["c".into()]);
    let one = (Version(1), Round(1));
    let two = (Version(2), Round(1));
    vec![
        Entry::Propose {
            op: OperationId(1),
            base: Some(Version(0)),
            paper: document(0),
            confirm: true,
        },
        Entry::Confirm {
            op: OperationId(2),
            number: one.0,
            by: "bob".into(),
        },
        Entry::Verdicts {
            number: one.0,
            said: vec![("a".into(), Verdict::Fits), ("b".into(), Verdict::Fits)],
        },
        Entry::Begin {
            number: one.0,
            round: one.1,
            without: without.clone(),
        },
        Entry::Resume {
            number: one.0,
            round: one.1,
        },
        Entry::Begin {
            number: one.0,
            round: Round(2),
            without: without.clone(),
        },
        Entry::InForce {
            number: one.0,
            round: Round(2),
        },
        Entry::Propose {
            op: OperationId(3),
            base: None,
            paper: document(0),
            confirm: false,
        },
        Entry::Verdicts {
            number: two.0,
            said: vec![("a".into(), Verdict::Refused("too many calls".into()))],
        },
        Entry::Propose {
            op: OperationId(4),
            base: None,
            paper: document(0),
            confirm: false,
        },
        Entry::Withdraw {
            op: OperationId(5),
            number: Version(3),
            by: "ann".into(),
            reason: "a mistake".into(),
        },
        Entry::Enter {
            op: OperationId(6),
            member: "d".into(),
            address: "127.0.0.1:4".into(),
            zone: "west".into(),
        },
        Entry::Seat {
            op: OperationId(7),
            member: "d".into(),
        },
        Entry::Learnt { seat: ReplicaId(3) },
        Entry::Unseat {
            op: OperationId(8),
            member: "b".into(),
        },
        Entry::Leave {
            op: OperationId(9),
            member: "b".into(),
        },
        Entry::Extension {
            op: Some(OperationId(10)),
            entry: vec![1, 2, 3],
        },
        Entry::Extension {
            op: None,
            entry: vec![],
        },
        // Each of these is refused, and its outcome is remembered in words.
        Entry::Propose {
            op: OperationId(11),
            base: Some(Version(7)),
            paper: document(0),
            confirm: false,
        },
        Entry::Confirm {
            op: OperationId(12),
            number: Version(9),
            by: "ann".into(),
        },
        Entry::Withdraw {
            op: OperationId(13),
            number: Version(1),
            by: "ann".into(),
            reason: String::new(),
        },
        Entry::Withdraw {
            op: OperationId(14),
            number: Version(2),
            by: "ann".into(),
            reason: String::new(),
        },
        Entry::Withdraw {
            op: OperationId(15),
            number: Version(3),
            by: "ann".into(),
            reason: String::new(),
        },
        Entry::Withdraw {
            op: OperationId(16),
            number: Version(99),
            by: "ann".into(),
            reason: String::new(),
        },
        Entry::Leave {
            op: OperationId(17),
            member: "a".into(),
        },
        Entry::Leave {
            op: OperationId(18),
            member: "z".into(),
        },
        Entry::Seat {
            op: OperationId(19),
            member: "z".into(),
        },
        Entry::Unseat {
            op: OperationId(20),
            member: "z".into(),
        },
        Entry::Unseat {
            op: OperationId(21),
            member: "d".into(),
        },
        Entry::Unseat {
            op: OperationId(22),
            member: "a".into(),
        },
        Entry::Enter {
            op: OperationId(23),
            member: "".into(),
            address: String::new(),
            zone: String::new(),
        },
        Entry::Propose {
            op: OperationId(24),
            base: None,
            paper: PolicyDocument {
                text: "x".repeat(9000),
                ..document(0)
            },
            confirm: false,
        },
        Entry::Propose {
            op: OperationId(25),
            base: None,
            paper: document(0),
            confirm: true,
        },
        Entry::Confirm {
            op: OperationId(26),
            number: Version(4),
            by: "ann".into(),
        },
        Entry::Propose {
            op: OperationId(27),
            base: None,
            paper: document(0),
            confirm: false,
        },
        Entry::Confirm {
            op: OperationId(28),
            number: Version(4),
            by: "bob".into(),
        },
        Entry::Verdicts {
            number: Version(4),
            said: vec![("a".into(), Verdict::Fits), ("d".into(), Verdict::Fits)],
        },
        Entry::Begin {
            number: Version(4),
            round: Round(1),
            without,
        },
        // No member changes while a change takes hold.
        Entry::Leave {
            op: OperationId(29),
            member: "c".into(),
        },
        Entry::Enter {
            op: OperationId(30),
            member: "e".into(),
            address: String::new(),
            zone: String::new(),
        },
    ]
}

fn lease_request() -> LeaseRequest {
    LeaseRequest {
        member: "a".into(),
        incarnation: Incarnation(77),
        seq: Seq(5),
        index: Index(6),
        members_at: Index(4),
        verdict: Some((Version(2), Verdict::Fits)),
        paused_for: Some((Version(2), Round(1))),
        is_only_process: true,
        unfit: Some(Version(1)),
        last_leader_contact: Some(LastLeaderContact {
            replica: ReplicaId(2),
            term: 8,
            ago: 1500,
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
        Command::Seat { member: "d".into() },
        Command::Unseat { member: "d".into() },
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
                word: vec![4, 5],
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
                at: 2,
                of: 3,
                bytes: vec![6],
            },
        ),
        (
            "inspect",
            PeerMessage::Inspect {
                op,
                what: "members".into(),
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

fn encoded() -> String {
    let mut lines = Lines::default();
    let mut state = PolicyState::bootstrap(BTreeMap::from([
        ("a".into(), info("127.0.0.1:1", Some(1), false)),
        ("b".into(), info("127.0.0.1:2", Some(2), false)),
        ("c".into(), info("127.0.0.1:3", None, false)),
    ]));
    lines.postcard("bootstrap", &state);
    for (at, entry) in entries().into_iter().enumerate() {
        lines.postcard(&format!("entry-{at}"), &entry);
        state.apply(Index(at as u64 + 2), entry);
        lines.postcard(&format!("state-{at}"), &state);
    }
    for (name, message) in messages(&state) {
        lines.postcard(name, &message);
    }
    for (at, command) in commands().into_iter().enumerate() {
        lines.json(&format!("command-{at}"), &command);
        let op = OperationId(41);
        let entry = command.clone().entry(op, true);
        lines.postcard(&format!("command-entry-{at}"), &entry);
        lines.postcard(
            &format!("command-{at}"),
            &PeerMessage::Command { op, command },
        );
    }
    let outcomes = [
        Outcome::Proposed(Version(3)),
        Outcome::MemberInfo(ReplicaId(4)),
        Outcome::Numbered(5),
        Outcome::Done,
    ];
    lines.postcard("outcomes", &outcomes);
    let history = HistoryEntry {
        number: Version(1),
        author: "ann".into(),
        reason: "r".into(),
        status: ProposalStatus::Withdrawn("ann".into(), "r".into()),
        at: Index(9),
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
    let record = Record::read("p.cue", text).expect("it reads");
    lines.json("record", &record);
    lines.json("record-lines", &record.lines());
    lines.0
}

#[test]
fn stored_state_and_messages_keep_their_bytes() {
    let got = encoded();
    for (got, expected) in got.lines().zip(EXPECTED.lines()) {
        assert_eq!(got, expected);
    }
    assert_eq!(got.lines().count(), EXPECTED.lines().count());
}
