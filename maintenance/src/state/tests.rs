use super::*;
use crate::entry::MAX_OPEN_REQUESTS;
use proptest::prelude::*;

fn open_request(machines: &[&str]) -> Entry {
    let machines = machines.iter().map(|name| (*name).to_owned()).collect();
    Entry::OpenRequest {
        request: Request {
            machines,
            requested_by: "ann".into(),
            ..Request::default()
        },
    }
}

fn key(request: u64, machine: &str) -> OperationKey {
    OperationKey {
        request: RequestNo(request),
        machine: machine.into(),
    }
}

/// A state with request 1 for the machines a and b, the coordinator n0 with fencing number 2, and a out since log
/// index 3.
fn with_machine_out() -> MaintenanceState {
    let mut state = MaintenanceState::default();
    for (at, entry) in [
        open_request(&["a", "b"]),
        Entry::BecomeCoordinator {
            member: "n0".into(),
            term: 1,
        },
        Entry::TakeOut {
            fence: Fence(2),
            operations: vec![key(1, "a")],
            wall_ms: 5,
        },
    ]
    .into_iter()
    .enumerate()
    {
        state.apply(Index(at as u64 + 1), entry).expect("it fits");
    }
    state
}

#[test]
fn rejects_entries_of_an_earlier_coordinator() {
    let mut state = with_machine_out();
    assert_eq!(
        state.apply(
            Index(4),
            Entry::BecomeCoordinator {
                member: "n1".into(),
                term: 2
            }
        ),
        Ok(4)
    );
    let late = Entry::GrantPermit {
        fence: Fence(2),
        operation: key(1, "a"),
        wall_ms: 6,
    };
    assert!(state.apply(Index(5), late).is_err());
    assert!(state
        .apply(
            Index(6),
            Entry::BecomeCoordinator {
                member: "n0".into(),
                term: 1
            }
        )
        .is_err());
    let step = Entry::GrantPermit {
        fence: Fence(4),
        operation: key(1, "a"),
        wall_ms: 6,
    };
    assert_eq!(state.apply(Index(7), step), Ok(7));
}

#[test]
fn keeps_one_permit_per_machine_until_it_is_given_back() {
    let mut state = with_machine_out();
    let permit = Entry::GrantPermit {
        fence: Fence(2),
        operation: key(1, "a"),
        wall_ms: 6,
    };
    assert_eq!(state.apply(Index(4), permit.clone()), Ok(4));
    assert!(state.apply(Index(5), permit).is_err(), "a second permit");
    let cancel = Entry::CancelRequest {
        request: RequestNo(1),
        by: "ann".into(),
    };
    assert_eq!(
        state.apply(Index(6), cancel),
        Ok(1),
        "only the waiting machine b is cancelled"
    );
    assert_eq!(state.machines_out(), ["a"]);
    let begin = |by: &str| Entry::StartWork {
        permit: PermitNo(4),
        by: by.into(),
    };
    assert_eq!(state.apply(Index(7), begin("ann")), Ok(4));
    assert!(
        state.apply(Index(8), begin("bob")).is_err(),
        "ann has taken the permit"
    );
    let done = |unfit_reason: Option<&str>| Entry::FinishWork {
        permit: PermitNo(4),
        by: "ann".into(),
        unfit_reason: unfit_reason.map(str::to_owned),
    };
    assert_eq!(state.apply(Index(9), done(Some("no disk"))), Ok(4));
    assert_eq!(
        state.machines_out(),
        ["a"],
        "a machine that is unfit stays out"
    );
    assert_eq!(state.apply(Index(10), done(None)), Ok(4));
    assert!(state.machines_out().is_empty() && state.active_machines().contains("a"));
    assert!(
        state.apply(Index(11), done(None)).is_err(),
        "given back twice"
    );
    let back = Entry::ReturnToService {
        fence: Fence(2),
        operation: key(1, "a"),
        wall_ms: 9,
    };
    assert_eq!(state.apply(Index(12), back), Ok(12));
    assert!(
        state.requests.is_empty() && state.operations.is_empty(),
        "{state:?}"
    );
}

#[test]
fn takes_a_machine_of_two_requests_out_for_one_at_a_time() {
    let mut state = with_machine_out();
    state
        .apply(Index(4), open_request(&["a", "c"]))
        .expect("asked");
    let again = Entry::TakeOut {
        fence: Fence(2),
        operations: vec![key(4, "a")],
        wall_ms: 5,
    };
    assert!(state.apply(Index(5), again).is_err());
    let other = Entry::TakeOut {
        fence: Fence(2),
        operations: vec![key(4, "c")],
        wall_ms: 5,
    };
    assert!(state.apply(Index(6), other).is_ok());
}

#[test]
fn keeps_a_departed_member_until_it_is_forgotten() {
    let mut state = with_machine_out();
    state.set_members(["n0", "n1"].map(Member::from).into());
    state.set_members(["n0"].map(Member::from).into());
    assert!(state.departed_members.contains(&"n1".into()));
    state
        .apply(
            Index(9),
            Entry::ForgetMember {
                fence: Fence(2),
                member: "n1".into(),
            },
        )
        .expect("forgotten");
    assert!(state.departed_members.is_empty());
}

fn entry() -> impl Strategy<Value = Entry> {
    let operation =
        || (1u64..4, 0usize..4).prop_map(|(request, at)| key(request, ["a", "b", "c", "d"][at]));
    let fence = || (0u64..6).prop_map(Fence);
    let permit = || (0u64..40).prop_map(PermitNo);
    prop_oneof![
        Just(open_request(&["a", "b"])),
        Just(open_request(&["c", "d"])),
        (1u64..4).prop_map(|request| Entry::CancelRequest {
            request: RequestNo(request),
            by: "ann".into()
        }),
        Just(Entry::Pause {
            by: "ann".into(),
            reason: "wait".into()
        }),
        Just(Entry::Resume { by: "ann".into() }),
        permit().prop_map(|permit| Entry::StartWork {
            permit,
            by: "ann".into()
        }),
        (permit(), any::<bool>()).prop_map(|(permit, fails)| Entry::FinishWork {
            permit,
            by: "ann".into(),
            unfit_reason: fails.then(|| "broken".into())
        }),
        (1u64..4).prop_map(|term| Entry::BecomeCoordinator {
            member: "n0".into(),
            term
        }),
        (fence(), operation()).prop_map(|(fence, operation)| Entry::TakeOut {
            fence,
            operations: vec![operation],
            wall_ms: 0
        }),
        (fence(), operation()).prop_map(|(fence, operation)| Entry::GrantPermit {
            fence,
            operation,
            wall_ms: 0
        }),
        (fence(), operation()).prop_map(|(fence, operation)| Entry::ReturnToService {
            fence,
            operation,
            wall_ms: 0
        }),
        (fence(), operation()).prop_map(|(fence, operation)| Entry::KeepOut {
            fence,
            operation,
            wall_ms: 0
        }),
        fence().prop_map(|fence| Entry::AutoPause {
            fence,
            reason: "late".into()
        }),
        fence().prop_map(|fence| Entry::AutoResume { fence }),
        (fence(), 0u64..9).prop_map(|(fence, requests_per_second)| Entry::SetLoad {
            fence,
            requests_per_second
        }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]
    #[test]
    fn random_entries_never_take_a_machine_out_twice_or_exceed_the_bounds_of_the_state(
        entries in proptest::collection::vec(entry(), 1..300)
    ) {
        let mut state = MaintenanceState::default();
        let mut permits = BTreeSet::new();
        for (at, entry) in entries.into_iter().enumerate() {
            let before = state.clone();
            let is_permit = matches!(entry, Entry::GrantPermit { .. });
            if let (Ok(number), true) = (state.apply(Index(at as u64 + 1), entry), is_permit) {
                prop_assert!(permits.insert(number), "a permit number is used once");
            }
            let active = state.operations.iter().filter(|(_, operation)| operation.phase.is_active()).count();
            prop_assert_eq!(active, state.active_machines().len(), "a machine is active for one request at most");
            // A machine that is permitted stays out until it is given back.
            for (key, operation) in &before.operations {
                if let Phase::Permitted { permit, .. } = operation.phase {
                    let after = state.operations.get(key).map(|operation| operation.phase.permit());
                    prop_assert_eq!(after, Some(Some(permit)));
                }
            }
            prop_assert!(state.history.len() <= MAX_HISTORY_ENTRIES && state.requests.len() <= MAX_OPEN_REQUESTS);
            prop_assert!(state.operations.keys().all(|key| state.requests.contains_key(&key.request)));
        }
    }
}
