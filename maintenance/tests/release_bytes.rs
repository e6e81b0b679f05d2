//! Routers of two releases share one log, and a router reads what an earlier release kept: each form in which the works go
//! into the log, into snapshots, to other routers and into settings stays as released programs write and read it.

#[path = "../../tests/common/recorded.rs"]
mod recorded;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use recorded::Recorded;
use serde::de::DeserializeOwned;
use serde::Serialize;
use ternpick_fleet_policy::{Extension, Index, Member};
use ternpick_maintenance::{
    Coordinator, Entry, Fence, HistoryEntry, Limits, MaintenanceConfig, MaintenanceState,
    Operation, Pause, PermitNo, Phase, Request, RequestNo, RouterReport,
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

fn request() -> Request {
    Request {
        machines: vec!["s-1".into(), "router:n2".into()],
        why: "new disks".into(),
        by: "ann".into(),
        lasts: 1_800_000_001,
        not_before: Some(1_790_000_000_002),
        by_when: Some(1_790_000_000_003),
        priority: 4,
        together: true,
    }
}

fn entries() -> Vec<(&'static str, Entry)> {
    let (fence, now) = (Fence(501), 1_790_000_000_502);
    let job = (RequestNo(503), "s-3".to_owned());
    let (request_no, permit) = (RequestNo(504), PermitNo(505));
    let by = || "bob".to_owned();
    vec![
        ("ask", Entry::Ask { request: request() }),
        (
            "change",
            Entry::Change {
                request: request_no,
                by_when: Some(1_790_000_000_506),
                priority: 7,
                by: by(),
            },
        ),
        (
            "cancel",
            Entry::Cancel {
                request: request_no,
                by: by(),
            },
        ),
        (
            "hold",
            Entry::Pause {
                by: by(),
                why: "a storm".into(),
            },
        ),
        ("resume", Entry::Resume { by: by() }),
        ("begin", Entry::Begin { permit, by: by() }),
        (
            "done",
            Entry::Done {
                permit,
                by: by(),
                failed: Some("no disk".into()),
            },
        ),
        (
            "carry",
            Entry::Carry {
                member: "n1".into(),
                term: 508,
            },
        ),
        (
            "take-out",
            Entry::TakeOut {
                fence,
                jobs: vec![job.clone(), (RequestNo(509), "s-4".into())],
                now,
            },
        ),
        (
            "permit",
            Entry::Permit {
                fence,
                job: job.clone(),
                now,
            },
        ),
        (
            "back",
            Entry::Back {
                fence,
                job: job.clone(),
                now,
            },
        ),
        ("keep", Entry::Keep { fence, job, now }),
        (
            "own-hold",
            Entry::OwnHold {
                fence,
                why: "s-4 failing without work".into(),
            },
        ),
        ("go-on", Entry::GoOn { fence }),
        ("load", Entry::Load { fence, calls: 510 }),
        (
            "forget",
            Entry::Forget {
                fence,
                member: "n3".into(),
            },
        ),
    ]
}

fn books() -> MaintenanceState {
    let permit = PermitNo(601);
    let stages = [
        Phase::Waiting,
        Phase::Out,
        Phase::Permitted {
            permit,
            begun: Some("ann".into()),
            failed: Some("no disk".into()),
        },
        Phase::Returning {
            permit: PermitNo(602),
        },
        Phase::KeptOut {
            permit: PermitNo(603),
        },
        Phase::InService,
        Phase::Cancelled,
    ];
    let jobs = stages.into_iter().enumerate().map(|(at, stage)| {
        let job = Operation {
            phase: stage,
            at: Index(610 + at as u64),
            since: 1_790_000_000_620 + at as u64,
        };
        ((RequestNo(604), format!("s-{at}")), job)
    });
    MaintenanceState {
        fence: Fence(605),
        coordinator: Some(("n0".into(), 606)),
        requests: BTreeMap::from([(RequestNo(604), request())]),
        operations: jobs.collect(),
        pause: Some(Pause {
            by: "the fleet".into(),
            why: "s-4 failing without work".into(),
            own: true,
        }),
        load: 607,
        members: BTreeSet::from([Member::from("n0"), Member::from("n1")]),
        departed_members: BTreeSet::from([Member::from("n9")]),
        history: VecDeque::from([HistoryEntry {
            at: Index(608),
            words: "s-0 of request 604: waits".into(),
        }]),
    }
}

#[test]
fn every_entry_has_the_bytes_of_the_release_in_the_log_and_its_words_on_the_control_socket() {
    let mut recorded = Recorded::parse(include_str!("release_bytes/entries.txt"));
    for (name, entry) in &entries() {
        postcard(&mut recorded, name, entry);
        json(&mut recorded, &format!("{name}.json"), entry);
    }
    json(&mut recorded, "request.json", &request());
    recorded.finish();
}

#[test]
fn the_books_have_the_bytes_of_the_release_in_snapshots_and_to_other_routers() {
    let mut recorded = Recorded::parse(include_str!("release_bytes/books.txt"));
    let mut carrier = Coordinator::new(MaintenanceConfig::default());
    carrier.restore(&postcard::to_stdvec(&books()).expect("bytes"));
    postcard(&mut recorded, "books", &books());
    recorded.bytes("image", &carrier.snapshot());
    recorded.bytes("outs", &carrier.machines_out());
    let (out, returning) = Coordinator::decode_machines_out(&carrier.machines_out());
    assert_eq!((out.len(), returning), (3, vec!["s-3".to_owned()]));
    json(&mut recorded, "hold.json", &books().pause);
    let word = RouterReport {
        goes_by: Index(701),
        busy: vec!["s-1".into()],
        unsound: vec!["s-2".into(), "s-3".into()],
        more: 702,
        bear: vec!["s-4".into()],
        idle: vec!["s-5".into()],
        calls: 703,
        answered: 704,
        late: 705,
    };
    recorded.value("word", &word, RouterReport::encode, RouterReport::decode);
    recorded.finish();
}

#[test]
fn the_terms_are_read_from_the_names_that_released_settings_have() {
    let terms = MaintenanceConfig {
        limits: Limits {
            keep: 3,
            zone_share: 0.25,
            most_out: 0.125,
            per_node: Some(40.5),
            growth: 0.75,
            reserve: 2,
        },
        lingers: 11_000_000,
        back_within: 12_000_000,
        calm: 13_000_000,
        late_over: 0.0625,
    };
    let mut recorded = Recorded::parse(include_str!("release_bytes/terms.txt"));
    json(&mut recorded, "terms.json", &terms);
    recorded.finish();
}
