//! Routers of two releases share one log and speak to each other, and a router reads what an earlier release kept: each
//! form in which the policy goes into the log, into snapshots, to other routers and over the control socket stays as
//! released programs write and read it.

#[path = "../../tests/common/recorded.rs"]
mod recorded;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use recorded::Recorded;
use serde::de::DeserializeOwned;
use serde::Serialize;
use ternpick_policy::{
    Command, Entry, Epoch, Fate, Grant, Heeded, Incarnation, Index, Member, NextView, Op, Outcome,
    Paper, Past, Pending, Record, Register, Renew, Round, Said, SeatNo, Seated, Seq, Told, Verdict,
    Version, View,
};

fn postcard<T: Serialize + DeserializeOwned>(recorded: &mut Recorded, name: &str, value: &T) {
    let encode = |value: &T| postcard::to_stdvec(value).expect("bytes");
    recorded.value(name, value, encode, |bytes| {
        postcard::from_bytes(bytes).ok()
    });
}

fn json<T: Serialize + DeserializeOwned>(recorded: &mut Recorded, name: &str, value: &T) {
    let encode = |value: &T| serde_json::to_string(value).expect("text");
    recorded.json(name, value, encode, |text| serde_json::from_str(text).ok());
}

fn paper(number: u64) -> Paper {
    Paper {
        number: Version(number),
        text: format!("text {number}"),
        author: format!("author {number}"),
        reason: format!("reason {number}"),
    }
}

fn seated(seat: Option<u64>, learns: bool) -> Seated {
    Seated {
        address: "127.0.0.1:9301".into(),
        zone: "south".into(),
        seat: seat.map(SeatNo),
        learns,
    }
}

fn members() -> BTreeMap<Member, Seated> {
    BTreeMap::from([
        ("n0".into(), seated(Some(301), false)),
        ("n1".into(), seated(Some(302), true)),
        ("n2".into(), seated(None, false)),
    ])
}

fn entries() -> Vec<(&'static str, Entry)> {
    let (op, number, round) = (Op(0x1234_5678_9abc_def0), Version(401), Round(402));
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
                paper: paper(403),
                confirm: true,
            },
        ),
        (
            "propose-on-any",
            Entry::Propose {
                op,
                base: None,
                paper: paper(404),
                confirm: false,
            },
        ),
        (
            "verdicts",
            Entry::Verdicts {
                number,
                said: verdicts,
            },
        ),
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
            Entry::Begin {
                number,
                round,
                without: BTreeSet::from(["n1".into(), "n2".into()]),
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
            Entry::Enter {
                op,
                member: member.clone(),
                address,
                zone,
            },
        ),
        (
            "leave",
            Entry::Leave {
                op,
                member: member.clone(),
            },
        ),
        (
            "seat",
            Entry::Seat {
                op,
                member: member.clone(),
            },
        ),
        ("unseat", Entry::Unseat { op, member }),
        ("learnt", Entry::Learnt { seat: SeatNo(405) }),
        (
            "annex-command",
            Entry::Annex {
                op: Some(op),
                entry: vec![4, 5, 6],
            },
        ),
        (
            "annex-step",
            Entry::Annex {
                op: None,
                entry: vec![7, 8],
            },
        ),
    ]
}

fn outcomes() -> Vec<(&'static str, Outcome)> {
    vec![
        ("proposed", Outcome::Proposed(Version(501))),
        ("seated", Outcome::Seated(SeatNo(502))),
        ("numbered", Outcome::Numbered(503)),
        ("done", Outcome::Done),
        ("refused", Outcome::Refused("it is open".into())),
    ]
}

/// A register in which nothing is empty. What became of commands is its own: entries make it.
fn register() -> Register {
    let mut register = Register::begins(members());
    for (at, (_, outcome)) in outcomes().into_iter().enumerate() {
        if let Outcome::Numbered(number) = outcome {
            register.annexed(Index(2), Some(Op(600 + at as u64)), Ok(number), vec![1]);
        }
    }
    register.annexed(
        Index(3),
        Some(Op(611)),
        Err("no such request".into()),
        vec![2],
    );
    register.play(
        Index(4),
        Entry::Propose {
            op: Op(612),
            base: None,
            paper: paper(9),
            confirm: true,
        },
    );
    register.play(
        Index(5),
        Entry::Confirm {
            op: Op(613),
            number: Version(1),
            by: "bob".into(),
        },
    );
    register.play(
        Index(6),
        Entry::Seat {
            op: Op(614),
            member: "n2".into(),
        },
    );
    let fates = [
        Fate::Open,
        Fate::InForce,
        Fate::Refused("n1".into(), "calls is 9".into()),
        Fate::Withdrawn("ann".into(), "too early".into()),
    ];
    let history = fates.into_iter().enumerate().map(|(at, fate)| Past {
        number: Version(620 + at as u64),
        author: "ann".into(),
        reason: "a trial".into(),
        fate,
        at: Index(630 + at as u64),
    });
    register.history = history.collect::<VecDeque<Past>>();
    (register.index, register.changed, register.members_at) = (Index(641), Index(642), Index(643));
    (register.epoch, register.newest, register.last_seat) = (Epoch(644), Version(645), SeatNo(646));
    (register.outs, register.outs_at, register.annex) =
        (vec![47, 48], Index(649), vec![50, 51, 52]);
    register.in_force = paper(653);
    register.next = Some(Pending {
        paper: paper(654),
        fits: BTreeSet::from(["n0".into()]),
        unconfirmed: true,
        round: Round(655),
        barrier: Some(BTreeSet::from(["n1".into(), "n2".into()])),
    });
    register.left = BTreeSet::from(["n8".into(), "n9".into()]);
    register
}

fn renew() -> Renew {
    Renew {
        member: "n1".into(),
        incarnation: Incarnation(701),
        seq: Seq(702),
        index: Index(703),
        members_at: Index(704),
        verdict: Some((Version(705), Verdict::Refused("calls is 9".into()))),
        stopped: Some((Version(706), Round(707))),
        alone: true,
        unfit: Some(Version(708)),
        heeded: Some(Heeded {
            seat: SeatNo(709),
            term: 710,
            ago: 711,
        }),
        outs_at: Index(712),
        word: vec![13, 14],
    }
}

fn told() -> Told {
    let view = View {
        index: Index(721),
        epoch: Epoch(722),
        in_force: paper(723),
        next: Some(NextView {
            paper: paper(724),
            unconfirmed: true,
            round: Round(725),
            barrier: false,
        }),
        members_at: Index(726),
        outs: vec![27, 28],
        outs_at: Index(729),
    };
    let grant = Grant {
        incarnation: Incarnation(731),
        seq: Seq(732),
        epoch: Epoch(733),
        version: Version(734),
    };
    Told {
        view: Some(view),
        members: Some(members()),
        grant: Some(grant),
        stranger: true,
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
        ("seat", Command::Seat { member: member() }),
        ("unseat", Command::Unseat { member: member() }),
        ("transfer", Command::Transfer { to: "n2".into() }),
        (
            "annex",
            Command::Annex {
                entry: vec![9, 10, 11],
            },
        ),
    ]
}

#[test]
fn every_entry_of_the_log_has_the_bytes_of_the_release() {
    let mut recorded = Recorded::parse(include_str!("release_bytes/entries.txt"));
    for (name, entry) in &entries() {
        postcard(&mut recorded, name, entry);
    }
    recorded.finish();
}

#[test]
fn the_register_of_a_snapshot_has_the_bytes_of_the_release() {
    let mut recorded = Recorded::parse(include_str!("release_bytes/register.txt"));
    postcard(&mut recorded, "register", &register());
    postcard(
        &mut recorded,
        "register-of-a-new-fleet",
        &Register::begins(members()),
    );
    recorded.finish();
}

#[test]
fn everything_that_routers_say_to_each_other_has_the_bytes_of_the_release() {
    let op = Op(0x0fed_cba9_8765_4321);
    let mut said = vec![
        (
            "seat".to_owned(),
            Said::Seat {
                from: SeatNo(901),
                to: SeatNo(902),
                word: vec![3, 4],
            },
        ),
        ("renew".to_owned(), Said::Renew(renew())),
        ("told".to_owned(), Said::Told(told())),
        ("told-nothing".to_owned(), Said::Told(Told::default())),
        ("elsewhere".to_owned(), Said::Elsewhere(Some("n2".into()))),
        ("elsewhere-unknown".to_owned(), Said::Elsewhere(None)),
        (
            "piece".to_owned(),
            Said::Piece {
                number: 905,
                at: 906,
                of: 907,
                bytes: vec![8, 9],
            },
        ),
        (
            "look".to_owned(),
            Said::Look {
                op,
                what: "members".into(),
            },
        ),
        (
            "seen".to_owned(),
            Said::Seen {
                op,
                json: "{}".into(),
            },
        ),
    ];
    said.extend(
        commands()
            .into_iter()
            .map(|(name, command)| (format!("do-{name}"), Said::Do { op, command })),
    );
    said.extend(
        outcomes()
            .into_iter()
            .map(|(name, outcome)| (format!("did-{name}"), Said::Did { op, outcome })),
    );
    let mut recorded = Recorded::parse(include_str!("release_bytes/said.txt"));
    for (name, said) in &said {
        postcard(&mut recorded, name, said);
    }
    recorded.finish();
}

#[test]
fn every_command_has_its_words_of_the_release_on_the_control_socket() {
    let mut recorded = Recorded::parse(include_str!("release_bytes/commands.txt"));
    for (name, command) in &commands() {
        json(&mut recorded, name, command);
    }
    recorded.finish();
}

/// A policy's text stays in force over an upgrade: its keys mean what they meant.
#[test]
fn a_policy_of_the_release_is_read_with_every_key_as_before() {
    let text = include_str!("release_bytes/policy.cue");
    let record = Record::read("policy.cue", text).expect("it is read");
    let mut recorded = Recorded::parse(include_str!("release_bytes/record.txt"));
    json(&mut recorded, "record", &record);
    for (path, figure) in &record.lines() {
        recorded.bytes(path, figure.as_bytes());
    }
    recorded.finish();
}
