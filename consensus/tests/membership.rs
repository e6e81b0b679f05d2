//! Tests of changes of voters and learners.

mod common;

use common::{Node, World, FLEET};
use ternpick_consensus::{Replica, ReplicaId};

#[test]
fn a_replacement_replica_becomes_a_voter_after_it_has_caught_up_as_a_learner() {
    let mut world = World::new(3, 9);
    let leader = world.wait_for_leader();
    for round in 0..60u64 {
        world.propose(&round.to_le_bytes());
        world.steps(3);
    }
    let lost = world.running_except(&[leader]);
    world.crash(lost);
    let remaining = world.running();
    let new = ReplicaId(4);
    propose_membership(&mut world, leader, &remaining, &[new]);
    world.steps(50);
    assert_eq!(world.replica(leader).voters(), remaining);
    assert_eq!(world.replica(leader).learners(), vec![new]);

    let replica = Replica::join(FLEET, new, world.config, 77).expect("a valid id");
    world.nodes.insert(new, Node::running(replica));
    world.steps(200);
    let participations = world.participations();
    let status = world.replica(new).status();
    assert!(
        world.replica(leader).is_caught_up(new),
        "{participations:?} {status:?}"
    );

    let mut voters = remaining;
    voters.push(new);
    propose_membership(&mut world, leader, &voters, &[]);
    world.steps(50);
    assert_eq!(world.replica(leader).voters(), voters);

    // With another voter down, a majority needs the new voter.
    let other = world.running_except(&[leader, new]);
    world.crash(other);
    assert!(world.propose(b"with the new voter"));
    world.steps(100);
    let applied = &world.nodes[&leader].applied;
    assert_eq!(
        applied.last().map(|(_, data)| data.as_slice()),
        Some(&b"with the new voter"[..])
    );
    assert_eq!(world.check_agreement(), Ok(()));
}

fn propose_membership(
    world: &mut World,
    leader: ReplicaId,
    voters: &[ReplicaId],
    learners: &[ReplicaId],
) {
    let proposed = world.replica(leader).propose_membership(voters, learners);
    assert!(
        matches!(proposed, Ok(true)),
        "the leader did not propose the membership change: {proposed:?}"
    );
}
