//! A fleet of one router with the only vote, driven through its public surface: election, lease, commands, a disk that
//! cannot be written, a restart, and the end of a process.

use std::collections::BTreeMap;

use ternpick::types::Micros;
use ternpick_consensus::Replica;
use ternpick_fleet_policy::{
    raft_config, Admission, Command, Effect, FleetId, FleetNode, Incarnation, LeaseConfig,
    LeaseEffect, LeaseHolder, LoadedReplica, LogLevel, Member, MemberInfo, OperationId,
    OperatorRequest, OperatorResponse, Outcome, PolicyState, RejectReason, ReplicaId, Verdict,
    Version,
};

const FLEET: FleetId = FleetId(1);
const ELECTION: u64 = 500_000;
const STEP: u64 = 5_000;
const SECOND: u64 = 1_000_000;

struct Router {
    node: FleetNode,
    now: u64,
    disk: Vec<u8>,
    disk_is_full: bool,
    writes: usize,
    responses: BTreeMap<OperationId, Vec<OperatorResponse>>,
    errors: Vec<String>,
}

fn members() -> BTreeMap<Member, MemberInfo> {
    let info = |replica| MemberInfo {
        address: "127.0.0.1:1".into(),
        zone: String::new(),
        replica,
        is_learner: false,
    };
    BTreeMap::from([("a".into(), info(Some(ReplicaId(1))))])
}

fn bootstrap() -> Vec<u8> {
    let state = PolicyState::bootstrap(members());
    let state = postcard::to_stdvec(&state).expect("it encodes");
    Replica::bootstrap(FLEET, ReplicaId(1), &[ReplicaId(1)], state)
}

impl Router {
    fn start(disk: Vec<u8>, now: u64) -> Router {
        let config = LeaseConfig::default();
        let holder = LeaseHolder::new(config, "a".into(), Incarnation(now), false, Micros(now));
        let raft = raft_config(ELECTION);
        let mut node = FleetNode::new(FLEET, config, raft, holder, members(), 7, Micros(now));
        let loaded = match Replica::open(&disk, FLEET, raft, 7) {
            Ok(replica) => LoadedReplica::Replica(Box::new(replica)),
            Err(error) => LoadedReplica::Unusable(error.to_string()),
        };
        node.start(Micros(now), loaded);
        Router {
            node,
            now,
            disk,
            disk_is_full: false,
            writes: 0,
            responses: BTreeMap::new(),
            errors: Vec::new(),
        }
    }

    fn run(&mut self, span: u64) {
        let end = self.now + span;
        while self.now < end {
            self.now += STEP;
            for effect in self.node.tick(Micros(self.now)) {
                self.carry_out(effect);
            }
        }
    }

    fn carry_out(&mut self, effect: Effect) {
        match effect {
            Effect::Persist(image) => {
                self.writes += 1;
                let result = if self.disk_is_full {
                    Err("no space left".to_owned())
                } else {
                    self.disk = image;
                    Ok(())
                };
                self.node.persisted(Micros(self.now), result);
            }
            Effect::Lease(LeaseEffect::CheckPolicy(document)) => {
                self.node.policy_checked(document.number, Verdict::Fits);
            }
            Effect::OperatorResponse(op, response) => {
                self.responses.entry(op).or_default().push(response);
            }
            Effect::Log(LogLevel::Error, line) => self.errors.push(line),
            Effect::Send(to, _) => panic!("there is nobody to send to: {to}"),
            Effect::Lease(_) | Effect::Inspect(..) | Effect::Log(..) => {}
        }
    }

    fn submit(&mut self, op: u64, command: Command) {
        self.node
            .submit(OperationId(op), OperatorRequest::Command(command));
    }

    fn outcomes(&self, op: u64) -> Vec<Outcome> {
        let responses = self.responses.get(&OperationId(op));
        responses
            .into_iter()
            .flatten()
            .map(|response| match response {
                OperatorResponse::Outcome(outcome) => outcome.clone(),
                OperatorResponse::Inspection(json) => panic!("no question was asked: {json}"),
            })
            .collect()
    }

    fn admission(&self) -> Admission {
        self.node.lease_holder.admission(Micros(self.now))
    }
}

fn propose() -> Command {
    Command::Propose {
        base: None,
        text: String::new(),
        author: "ann".into(),
        reason: "a test".into(),
    }
}

/// A router that leads and has its lease.
fn leading() -> Router {
    let mut router = Router::start(bootstrap(), 10 * SECOND);
    router.run(5 * SECOND);
    assert!(router.node.is_leader(), "it has the only vote");
    assert_eq!(router.admission(), Admission::Leased(Version(0)));
    router
}

#[test]
fn a_proposal_comes_into_force() {
    let mut router = leading();
    router.submit(1, propose());
    router.run(SECOND);
    assert_eq!(router.outcomes(1), [Outcome::Proposed(Version(1))]);
    assert_eq!(router.admission(), Admission::Leased(Version(1)));
}

#[test]
fn a_command_that_is_sent_again_is_carried_out_once() {
    let mut router = leading();
    for _ in 0..2 {
        router.submit(1, propose());
        router.run(SECOND);
        router.node.cancel(OperationId(1));
    }
    let proposed = Outcome::Proposed(Version(1));
    assert_eq!(router.outcomes(1), [proposed.clone(), proposed]);
    let (_, state) = router.node.leader_state().expect("it leads");
    assert_eq!(state.newest_version, Version(1));
}

#[test]
fn nothing_is_answered_while_the_disk_cannot_be_written() {
    let mut router = leading();
    router.disk_is_full = true;
    let writes = router.writes;
    router.submit(1, propose());
    router.run(SECOND);
    assert_eq!(router.outcomes(1), []);
    assert!(router.writes - writes <= 6, "five attempts a second");
    assert!(router.writes - writes >= 4, "it is tried again");
    let line = "fleet: the replica's state cannot be written, messages are not answered until it can: no space left";
    assert_eq!(router.errors, [line], "said once");
    router.disk_is_full = false;
    router.run(SECOND);
    assert_eq!(router.outcomes(1), [Outcome::Proposed(Version(1))]);
    assert_eq!(router.admission(), Admission::Leased(Version(1)));
}

#[test]
fn a_restart_continues_from_what_was_written() {
    let mut router = leading();
    router.submit(1, propose());
    router.run(SECOND);
    let mut router = Router::start(router.disk, router.now);
    assert!(matches!(router.admission(), Admission::Wait(_)));
    router.run(5 * SECOND);
    assert_eq!(router.admission(), Admission::Leased(Version(1)));
    router.submit(1, propose());
    router.run(SECOND);
    assert_eq!(router.outcomes(1), [Outcome::Proposed(Version(1))]);
}

#[test]
fn a_state_that_cannot_be_used_leaves_the_router_without_a_vote() {
    let mut router = Router::start(vec![1, 2, 3], 10 * SECOND);
    router.run(5 * SECOND);
    assert!(!router.node.is_leader() && router.node.replica_status().is_none());
    assert!(router.node.replica_error.is_some());
    assert_eq!(router.errors.len(), 1, "{:?}", router.errors);
    let Admission::Rejected { reason, .. } = router.admission() else {
        panic!("{:?}", router.admission());
    };
    assert_eq!(reason, RejectReason::PolicyUnknown);
}

#[test]
fn leadership_goes_to_voters_alone() {
    let mut router = leading();
    let add = Command::Add {
        member: "b".into(),
        address: "127.0.0.1:2".into(),
        zone: String::new(),
    };
    router.submit(1, add);
    router.run(SECOND);
    assert_eq!(router.outcomes(1), [Outcome::Done]);
    router.submit(2, Command::Transfer { to: "b".into() });
    router.run(SECOND);
    let refused = Outcome::Refused("b has no vote".into());
    assert_eq!(router.outcomes(2), [refused]);
    assert!(router.node.is_leader());
}

#[test]
fn a_suspended_process_keeps_its_lease_alone() {
    let mut router = leading();
    let Some(left) = router.node.lease_holder.lease_left(Micros(router.now)) else {
        panic!("it has a lease");
    };
    router.node.suspend(Micros(router.now), 8);
    assert!(!router.node.is_leader() && router.node.replica_id().is_none());
    assert_eq!(router.admission(), Admission::Leased(Version(0)));
    router.now += left.0;
    assert_ne!(router.admission(), Admission::Leased(Version(0)));
}

#[test]
fn commands_beyond_the_bound_are_carried_out_too() {
    let mut router = leading();
    // More than are remembered as in progress: whoever sends one sends it again.
    for op in 1..=200 {
        let add = Command::Add {
            member: "a".into(),
            address: "127.0.0.1:1".into(),
            zone: format!("zone {op}"),
        };
        router.submit(op, add);
    }
    router.run(5 * SECOND);
    for op in 1..=200 {
        assert_eq!(router.outcomes(op), [Outcome::Done], "command {op}");
    }
}
