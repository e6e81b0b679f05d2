//! Tests of a fleet whose only member is its only voter, through the public interface: election, lease, commands, a
//! disk that cannot be written, a restart, and a suspended process.

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
const ELECTION_TIMEOUT_US: u64 = 500_000;
/// The interval at which the test calls [`FleetNode::tick`].
const TICK_INTERVAL_US: u64 = 5_000;
const SECOND_US: u64 = 1_000_000;

/// A router in virtual time. Each effect of its node is carried out at once.
struct Router {
    node: FleetNode,
    now_us: u64,
    /// The state of the replica that was written last.
    stored_state: Vec<u8>,
    disk_is_full: bool,
    /// The number of attempts to write, failed ones included.
    write_count: usize,
    responses: BTreeMap<OperationId, Vec<OperatorResponse>>,
    /// The log lines of level error.
    error_lines: Vec<String>,
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
    fn start(stored_state: Vec<u8>, now_us: u64) -> Router {
        let config = LeaseConfig::default();
        let holder = LeaseHolder::new(
            config,
            "a".into(),
            Incarnation(now_us),
            false,
            Micros(now_us),
        );
        let raft = raft_config(ELECTION_TIMEOUT_US);
        let mut node = FleetNode::new(FLEET, config, raft, holder, members(), 7, Micros(now_us));
        let loaded = match Replica::open(&stored_state, FLEET, raft, 7) {
            Ok(replica) => LoadedReplica::Replica(Box::new(replica)),
            Err(error) => LoadedReplica::Unusable(error.to_string()),
        };
        node.start(Micros(now_us), loaded);
        Router {
            node,
            now_us,
            stored_state,
            disk_is_full: false,
            write_count: 0,
            responses: BTreeMap::new(),
            error_lines: Vec::new(),
        }
    }

    fn run(&mut self, duration_us: u64) {
        let end_us = self.now_us + duration_us;
        while self.now_us < end_us {
            self.now_us += TICK_INTERVAL_US;
            for effect in self.node.tick(Micros(self.now_us)) {
                self.carry_out(effect);
            }
        }
    }

    fn carry_out(&mut self, effect: Effect) {
        match effect {
            Effect::Persist(state) => {
                self.write_count += 1;
                let result = if self.disk_is_full {
                    Err("no space left".to_owned())
                } else {
                    self.stored_state = state;
                    Ok(())
                };
                self.node.persisted(Micros(self.now_us), result);
            }
            Effect::Lease(LeaseEffect::CheckPolicy(document)) => {
                self.node.policy_checked(document.number, Verdict::Fits);
            }
            Effect::OperatorResponse(op, response) => {
                self.responses.entry(op).or_default().push(response);
            }
            Effect::Log(LogLevel::Error, line) => self.error_lines.push(line),
            Effect::Send(to, _) => panic!("a message to {to}, but the fleet has no other member"),
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
                OperatorResponse::Inspection(json) => {
                    panic!("an inspection result without an inspection: {json}")
                }
            })
            .collect()
    }

    fn admission(&self) -> Admission {
        self.node.lease_holder.admission(Micros(self.now_us))
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

/// Starts a router and waits until it is the leader and has a lease.
fn started_leader() -> Router {
    let mut router = Router::start(bootstrap(), 10 * SECOND_US);
    router.run(5 * SECOND_US);
    assert!(router.node.is_leader(), "the only voter is not the leader");
    assert_eq!(router.admission(), Admission::Leased(Version(0)));
    router
}

#[test]
fn a_proposal_comes_into_force() {
    let mut router = started_leader();
    router.submit(1, propose());
    router.run(SECOND_US);
    assert_eq!(router.outcomes(1), [Outcome::Proposed(Version(1))]);
    assert_eq!(router.admission(), Admission::Leased(Version(1)));
}

#[test]
fn a_command_that_is_submitted_twice_is_carried_out_once() {
    let mut router = started_leader();
    for _ in 0..2 {
        router.submit(1, propose());
        router.run(SECOND_US);
        router.node.cancel(OperationId(1));
    }
    let proposed = Outcome::Proposed(Version(1));
    assert_eq!(router.outcomes(1), [proposed.clone(), proposed]);
    let (_, state) = router
        .node
        .leader_state()
        .expect("the router is the leader");
    assert_eq!(state.newest_version, Version(1));
}

#[test]
fn a_command_is_not_answered_while_the_state_cannot_be_written() {
    let mut router = started_leader();
    router.disk_is_full = true;
    let writes_before = router.write_count;
    router.submit(1, propose());
    router.run(SECOND_US);
    assert_eq!(router.outcomes(1), []);
    // The write is retried five times per second.
    let attempts = router.write_count - writes_before;
    assert!(attempts <= 6, "{attempts} attempts in a second");
    assert!(attempts >= 4, "{attempts} attempts in a second");
    let line = "fleet: the replica's state cannot be written, messages are not answered until it can: no space left";
    assert_eq!(router.error_lines, [line], "the line is logged once");
    router.disk_is_full = false;
    router.run(SECOND_US);
    assert_eq!(router.outcomes(1), [Outcome::Proposed(Version(1))]);
    assert_eq!(router.admission(), Admission::Leased(Version(1)));
}

#[test]
fn a_restarted_router_continues_from_the_stored_state() {
    let mut router = started_leader();
    router.submit(1, propose());
    router.run(SECOND_US);
    let mut router = Router::start(router.stored_state, router.now_us);
    assert!(matches!(router.admission(), Admission::Wait(_)));
    router.run(5 * SECOND_US);
    assert_eq!(router.admission(), Admission::Leased(Version(1)));
    router.submit(1, propose());
    router.run(SECOND_US);
    assert_eq!(router.outcomes(1), [Outcome::Proposed(Version(1))]);
}

#[test]
fn a_router_with_an_unusable_state_runs_without_a_replica() {
    let mut router = Router::start(vec![1, 2, 3], 10 * SECOND_US);
    router.run(5 * SECOND_US);
    assert!(!router.node.is_leader() && router.node.replica_status().is_none());
    assert!(router.node.replica_error.is_some());
    assert_eq!(router.error_lines.len(), 1, "{:?}", router.error_lines);
    let Admission::Rejected { reason, .. } = router.admission() else {
        panic!("{:?}", router.admission());
    };
    assert_eq!(reason, RejectReason::PolicyUnknown);
}

#[test]
fn leadership_cannot_be_transferred_to_a_member_without_a_vote() {
    let mut router = started_leader();
    let add = Command::Add {
        member: "b".into(),
        address: "127.0.0.1:2".into(),
        zone: String::new(),
    };
    router.submit(1, add);
    router.run(SECOND_US);
    assert_eq!(router.outcomes(1), [Outcome::Done]);
    router.submit(2, Command::Transfer { to: "b".into() });
    router.run(SECOND_US);
    let refused = Outcome::Refused("b has no vote".into());
    assert_eq!(router.outcomes(2), [refused]);
    assert!(router.node.is_leader());
}

#[test]
fn a_suspended_process_keeps_only_its_lease_until_it_expires() {
    let mut router = started_leader();
    let Some(left) = router.node.lease_holder.lease_left(Micros(router.now_us)) else {
        panic!("the leader has no lease");
    };
    router.node.suspend(Micros(router.now_us), 8);
    assert!(!router.node.is_leader() && router.node.replica_id().is_none());
    assert_eq!(router.admission(), Admission::Leased(Version(0)));
    router.now_us += left.0;
    assert_ne!(router.admission(), Admission::Leased(Version(0)));
}

#[test]
fn commands_beyond_the_limit_of_those_in_progress_are_carried_out() {
    let mut router = started_leader();
    // More commands than the node keeps as in progress. It drops the oldest, whose outcomes are sent when their
    // requests are retried.
    for op in 1..=200 {
        let add = Command::Add {
            member: "a".into(),
            address: "127.0.0.1:1".into(),
            zone: format!("zone {op}"),
        };
        router.submit(op, add);
    }
    router.run(5 * SECOND_US);
    for op in 1..=200 {
        assert_eq!(router.outcomes(op), [Outcome::Done], "command {op}");
    }
}
