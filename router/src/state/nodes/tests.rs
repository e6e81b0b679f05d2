use super::*;
use crate::state::carried_attempts::MAX_UNANSWERED;
use crate::state::descriptors::{Descriptors, Peer};
use ternpick::types::{AttemptNo, ShardRequestId};
use test_case::test_case;

fn address(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

fn connected() -> (Nodes, NodeId, ConnectionId) {
    let mut nodes = Nodes::default();
    let (node, _) = nodes.apply_entry("a", address(1), EndpointState::Ready);
    let permit = Descriptors::new(100)
        .take(Peer::Node)
        .expect("a descriptor");
    let id = nodes
        .connect(node, Micros(5), 100, permit)
        .expect("a connection");
    (nodes, node, id)
}

#[test_case(address(1), EndpointState::Ready, 1; "unchanged")]
#[test_case(address(1), EndpointState::Draining, 1; "draining")]
#[test_case(address(2), EndpointState::Ready, 0; "at a new address")]
#[test_case(address(1), EndpointState::Gone, 0; "gone")]
fn an_entry_with_a_known_name_updates_that_node(
    new_address: SocketAddr,
    state: EndpointState,
    usable: usize,
) {
    let (mut nodes, node, _) = connected();
    assert_eq!(
        nodes.apply_entry("a", new_address, state),
        (node, new_address != address(1))
    );
    assert_eq!(nodes.usable(node).count(), usable);
}

#[test]
fn a_node_missing_from_a_complete_list_is_removed_with_its_last_connection() {
    let (mut nodes, node, id) = connected();
    nodes.retire_unlisted(&[]);
    nodes.forget_gone();
    assert!(
        nodes.node(node).is_some()
            && nodes
                .connection(id)
                .is_some_and(|connection| connection.retired)
    );
    nodes.disconnect(id);
    assert_eq!(nodes.count(), 0);
    assert_ne!(
        nodes.apply_entry("a", address(1), EndpointState::Ready).0,
        node,
        "a removed node that is listed again gets a new id"
    );
}

#[test]
fn removed_nodes_and_their_connections_leave_no_entries() {
    let (mut nodes, _, first) = connected();
    for number in 0..1000 {
        let (node, _) =
            nodes.apply_entry(&format!("n{number}"), address(number), EndpointState::Ready);
        let permit = Descriptors::new(100)
            .take(Peer::Node)
            .expect("a descriptor");
        let id = nodes
            .connect(node, Micros(5), 100, permit)
            .expect("a connection");
        nodes.apply_entry(&format!("n{number}"), address(number), EndpointState::Gone);
        nodes.disconnect(id);
    }
    nodes.forget_gone();
    assert_eq!(
        (nodes.nodes.len(), nodes.ids.len(), nodes.connections.len()),
        (1, 1, 1)
    );
    assert!(nodes.connection(first).is_some());
}

#[test_case(4, false; "input received since")]
#[test_case(9, true; "no input since")]
fn retire_silent_retires_a_connection_without_input_since(since: u64, retired: bool) {
    let (mut nodes, _, id) = connected();
    nodes
        .connection_mut(id)
        .expect("a connection")
        .last_received = Micros(6);
    nodes.retire_silent(id, Micros(since));
    assert_eq!(
        nodes.connection(id).map(|connection| connection.retired),
        Some(retired)
    );
}

#[test]
fn retire_idle_keeps_connections_with_attempts_and_those_of_other_nodes() {
    let (mut nodes, node, id) = connected();
    nodes
        .connection_mut(id)
        .expect("a connection")
        .waiting
        .push_back(Vec::new());
    nodes.retire_idle(node);
    assert_eq!(nodes.usable(node).count(), 1);
    nodes
        .connection_mut(id)
        .expect("a connection")
        .waiting
        .clear();
    nodes.retire_idle(NodeId(node.0 + 1));
    assert_eq!(nodes.usable(node).count(), 1, "another node's connections");
    nodes.retire_idle(node);
    assert_eq!(nodes.usable(node).count(), 0);
}

#[test]
fn retire_longest_idle_retires_idle_connections_only() {
    let (mut nodes, _, id) = connected();
    nodes
        .connection_mut(id)
        .expect("a connection")
        .waiting
        .push_back(Vec::new());
    assert!(!nodes.retire_longest_idle());
    nodes
        .connection_mut(id)
        .expect("a connection")
        .waiting
        .clear();
    assert!(nodes.retire_longest_idle() && !nodes.retire_longest_idle());
}

/// Guards against a connection that carries attempts without end for a node that answers none that were given up.
#[test]
fn a_connection_with_too_many_unanswered_attempts_accepts_no_more() {
    let (mut nodes, node, id) = connected();
    let wire_id = |number: usize| Rc::<str>::from(format!("x.{number}"));
    for number in 0..MAX_UNANSWERED {
        assert_eq!(nodes.usable(node).count(), 1, "after {number}");
        let connection = nodes.connection_mut(id).expect("a connection");
        let key = (ShardRequestId(number as u64), AttemptNo(0));
        connection.attempts.add(wire_id(number), key);
        nodes.end_unanswered(id, &wire_id(number), 0);
    }
    assert_eq!(nodes.usable(node).count(), 0);
    assert!(
        (0..MAX_UNANSWERED).all(|number| nodes.awaiting_answer(node, &wire_id(number)).eq([id]))
    );
    assert_eq!(nodes.awaiting_answer(node, "x.other").count(), 0);
}

#[test_case(Some("x.2"), 2; "the attempt that the input names")]
#[test_case(Some("x.9"), 1; "the oldest attempt for an unknown id")]
#[test_case(None, 1; "the oldest attempt without an id")]
fn bad_input_is_held_against_one_attempt(wire_id: Option<&str>, shard_request: u64) {
    let (mut nodes, _, id) = connected();
    let connection = nodes.connection_mut(id).expect("a connection");
    let key = |shard_request| (ShardRequestId(shard_request), AttemptNo(0));
    for number in [2, 1, 3] {
        connection
            .attempts
            .add(format!("x.{number}").into(), key(number));
    }
    connection.abandon_on_bad_input(wire_id);
    assert_eq!(
        (connection.bad_input_attempt, connection.abandoned),
        (Some(key(shard_request)), true)
    );
}
