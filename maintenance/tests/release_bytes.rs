//! Compares all encoded forms of maintenance with those recorded from released programs: log entries, snapshots,
//! messages to other routers, and settings. Routers of two releases share one log during an upgrade, and a router
//! reads the state that an earlier release stored, so a changed encoding would split the fleet's state or lose it.

#[path = "../../tests/common/recorded.rs"]
mod recorded;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use recorded::Recorded;
use serde::de::DeserializeOwned;
use serde::Serialize;
use ternpick_fleet_policy::{Extension, Index, Member};
use ternpick_maintenance::{
    Coordinator, CoordinatorTerm, Entry, Fence, HistoryEntry, Limits, MaintenanceConfig,
    MaintenanceState, Operation, Pause, PermitNo, Phase, Request, RequestNo, RouterReport,
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
        reason: "new disks".into(),
        requested_by: "ann".into(),
        duration_us: 1_800_000_001,
        not_before_ms: Some(1_790_000_000_002),
        deadline_ms: Some(1_790_000_000_003),
        priority: 4,
        all_at_once: true,
    }
}

#[allow(
    clippy::too_many_lines,
    reason = "one value for each recorded form, in one list"
)]
fn entries() -> Vec<(&'static str, Entry)> {
    let (fence, wall_ms) = (Fence(501), 1_790_000_000_502);
    let operation = (RequestNo(503), "s-3".to_owned());
    let (request_no, permit) = (RequestNo(504), PermitNo(505));
    let by = || "bob".to_owned();
    vec![
        ("ask", Entry::OpenRequest { request: request() }),
        (
            "change",
            Entry::ChangeRequest {
                request: request_no,
                deadline_ms: Some(1_790_000_000_506),
                priority: 7,
                by: by(),
            },
        ),
        (
            "cancel",
            Entry::CancelRequest {
                request: request_no,
                by: by(),
            },
        ),
        (
            "hold",
            Entry::Pause {
                by: by(),
                reason: "a storm".into(),
            },
        ),
        ("resume", Entry::Resume { by: by() }),
        ("begin", Entry::StartWork { permit, by: by() }),
        (
            "done",
            Entry::FinishWork {
                permit,
                by: by(),
                unfit_reason: Some("no disk".into()),
            },
        ),
        (
            "carry",
            Entry::BecomeCoordinator {
                member: "n1".into(),
                term: 508,
            },
        ),
        (
            "take-out",
            Entry::TakeOut {
                fence,
                operations: vec![
                    operation.clone().into(),
                    (RequestNo(509), "s-4".to_owned()).into(),
                ],
                wall_ms,
            },
        ),
        (
            "permit",
            Entry::GrantPermit {
                fence,
                operation: operation.clone().into(),
                wall_ms,
            },
        ),
        (
            "back",
            Entry::ReturnToService {
                fence,
                operation: operation.clone().into(),
                wall_ms,
            },
        ),
        (
            "keep",
            Entry::KeepOut {
                fence,
                operation: operation.into(),
                wall_ms,
            },
        ),
        (
            "own-hold",
            Entry::AutoPause {
                fence,
                reason: "s-4 failing without work".into(),
            },
        ),
        ("go-on", Entry::AutoResume { fence }),
        (
            "load",
            Entry::SetLoad {
                fence,
                requests_per_second: 510,
            },
        ),
        (
            "forget",
            Entry::ForgetMember {
                fence,
                member: "n3".into(),
            },
        ),
    ]
}

fn state() -> MaintenanceState {
    let permit = PermitNo(601);
    let phases = [
        Phase::Waiting,
        Phase::Out,
        Phase::Permitted {
            permit,
            started_by: Some("ann".into()),
            unfit_reason: Some("no disk".into()),
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
    let operations = phases.into_iter().enumerate().map(|(at, phase)| {
        let operation = Operation {
            phase,
            since_index: Index(610 + at as u64),
            since_ms: 1_790_000_000_620 + at as u64,
        };
        ((RequestNo(604), format!("s-{at}")).into(), operation)
    });
    MaintenanceState {
        fence: Fence(605),
        coordinator: Some(CoordinatorTerm {
            member: "n0".into(),
            term: 606,
        }),
        requests: BTreeMap::from([(RequestNo(604), request())]),
        operations: operations.collect(),
        pause: Some(Pause {
            paused_by: "the fleet".into(),
            reason: "s-4 failing without work".into(),
            automatic: true,
        }),
        load: 607,
        members: BTreeSet::from([Member::from("n0"), Member::from("n1")]),
        departed_members: BTreeSet::from([Member::from("n9")]),
        history: VecDeque::from([HistoryEntry {
            index: Index(608),
            text: "s-0 of request 604: waits".into(),
        }]),
    }
}

#[test]
fn encodes_each_entry_as_released_programs_do_in_the_log_and_on_the_control_socket() {
    let mut recorded = Recorded::parse(include_str!("release_bytes/entries.txt"));
    for (name, entry) in &entries() {
        postcard(&mut recorded, name, entry);
        json(&mut recorded, &format!("{name}.json"), entry);
    }
    json(&mut recorded, "request.json", &request());
    recorded.finish();
}

#[test]
fn encodes_the_state_as_released_programs_do_in_snapshots_and_to_other_routers() {
    let mut recorded = Recorded::parse(include_str!("release_bytes/books.txt"));
    let mut coordinator = Coordinator::new(MaintenanceConfig::default());
    coordinator.restore(&postcard::to_stdvec(&state()).expect("bytes"));
    postcard(&mut recorded, "books", &state());
    recorded.bytes("image", &coordinator.snapshot());
    recorded.bytes("outs", &coordinator.machines_out());
    let (out, returning) = Coordinator::decode_machines_out(&coordinator.machines_out());
    assert_eq!((out.len(), returning), (3, vec!["s-3".to_owned()]));
    json(&mut recorded, "hold.json", &state().pause);
    let report = RouterReport {
        applied_index: Index(701),
        busy: vec!["s-1".into()],
        unhealthy: vec!["s-2".into(), "s-3".into()],
        unlisted_unhealthy: 702,
        serving: vec!["s-4".into()],
        idle: vec!["s-5".into()],
        requests_per_second: 703,
        answered: 704,
        late: 705,
    };
    recorded.value("word", &report, RouterReport::encode, RouterReport::decode);
    recorded.finish();
}

#[test]
fn reads_and_writes_the_settings_under_the_names_of_released_programs() {
    let config = MaintenanceConfig {
        limits: Limits {
            min_holders: 3,
            min_zone_share: 0.25,
            max_out_share: 0.125,
            node_capacity: Some(40.5),
            load_growth: 0.75,
            reserve_nodes: 2,
        },
        in_flight_grace_us: 11_000_000,
        return_timeout_us: 12_000_000,
        stabilization_us: 13_000_000,
        max_late_share: 0.0625,
    };
    let mut recorded = Recorded::parse(include_str!("release_bytes/terms.txt"));
    json(&mut recorded, "terms.json", &config);
    recorded.finish();
}
