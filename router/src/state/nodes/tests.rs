use super::*;
use crate::state::connection::{FINISHED_REMEMBERED, FINISHED_REMEMBERED_FOR};
use crate::state::descriptors::{Descriptors, Peer};
use test_case::test_case;

fn at(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

fn connected() -> (Nodes, NodeId, ConnectionId) {
    let mut nodes = Nodes::default();
    let (node, _) = nodes.apply_entry("a", at(1), EndpointState::Ready);
    let permit = Descriptors::new(100)
        .take(Peer::Node)
        .expect("a descriptor");
    let id = nodes
        .connect(node, Micros(5), 100, permit)
        .expect("a connection");
    (nodes, node, id)
}

#[test_case(at(1), EndpointState::Ready, 1; "as it was")]
#[test_case(at(1), EndpointState::Draining, 1; "draining: it finishes what it has")]
#[test_case(at(2), EndpointState::Ready, 0; "listening elsewhere")]
#[test_case(at(1), EndpointState::Gone, 0; "gone")]
fn a_name_is_one_node_wherever_it_listens(
    address: SocketAddr,
    state: EndpointState,
    usable: usize,
) {
    let (mut nodes, node, _) = connected();
    assert_eq!(
        nodes.apply_entry("a", address, state),
        (node, address != at(1))
    );
    assert_eq!(nodes.usable(node).count(), usable);
}

#[test]
fn a_node_that_a_whole_list_leaves_out_is_forgotten_with_its_last_connection() {
    let (mut nodes, node, id) = connected();
    nodes.retire_unlisted(&[]);
    nodes.forget_gone();
    assert!(nodes.node(node).is_some() && nodes.connection(id).is_some_and(|of| of.retired));
    nodes.disconnect(id);
    assert_eq!(nodes.count(), 0);
    assert_ne!(
        nodes.apply_entry("a", at(1), EndpointState::Ready).0,
        node,
        "a name forgotten comes back as another node"
    );
}

#[test]
fn nothing_stays_of_nodes_that_come_and_go() {
    let (mut nodes, _, first) = connected();
    for number in 0..1000 {
        let (node, _) = nodes.apply_entry(&format!("n{number}"), at(number), EndpointState::Ready);
        let permit = Descriptors::new(100)
            .take(Peer::Node)
            .expect("a descriptor");
        let id = nodes
            .connect(node, Micros(5), 100, permit)
            .expect("a connection");
        nodes.apply_entry(&format!("n{number}"), at(number), EndpointState::Gone);
        nodes.disconnect(id);
    }
    nodes.forget_gone();
    assert_eq!(
        (nodes.nodes.len(), nodes.ids.len(), nodes.connections.len()),
        (1, 1, 1)
    );
    assert!(nodes.connection(first).is_some());
}

#[test_case(4, false; "heard from since")]
#[test_case(9, true; "silent since")]
fn a_silent_connection_carries_no_more(since: u64, retired: bool) {
    let (mut nodes, _, id) = connected();
    nodes
        .connection_mut(id)
        .expect("a connection")
        .last_received = Micros(6);
    nodes.retire_silent(id, Micros(since));
    assert_eq!(nodes.connection(id).map(|of| of.retired), Some(retired));
}

#[test]
fn what_carries_something_is_not_let_go() {
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
    assert_eq!(nodes.usable(node).count(), 1, "another node's");
    nodes.retire_idle(node);
    assert_eq!(nodes.usable(node).count(), 0);
}

#[test]
fn only_an_idle_connection_makes_room() {
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

#[test]
fn calls_that_are_over_are_known_for_a_while() {
    let (mut nodes, _, id) = connected();
    let name = |number: usize| Rc::<str>::from(format!("x.{number}"));
    (0..2 * FINISHED_REMEMBERED)
        .for_each(|number| nodes.remove_attempt(id, &name(number), 0, Micros(7)));
    let known = |nodes: &Nodes, number| {
        nodes
            .connection(id)
            .is_some_and(|of| of.is_finished(&name(number)))
    };
    assert_eq!(
        [
            0,
            FINISHED_REMEMBERED - 1,
            FINISHED_REMEMBERED,
            2 * FINISHED_REMEMBERED - 1
        ]
        .map(|n| known(&nodes, n)),
        [false, false, true, true]
    );
    nodes.remove_attempt(id, &name(0), 0, Micros(8) + FINISHED_REMEMBERED_FOR);
    assert_eq!(nodes.connection(id).map(|of| of.finished.len()), Some(1));
}

#[test_case(Some("x.2"), 2; "by its name")]
#[test_case(Some("x.9"), 1; "or the one out longest")]
#[test_case(None, 1; "also when nothing can be read")]
fn what_came_spoilt_is_told_from_the_others(named: Option<&str>, call: u64) {
    let (mut nodes, _, id) = connected();
    let connection = nodes.connection_mut(id).expect("a connection");
    let key = |part| {
        (
            ternpick::types::ShardRequestId(part),
            ternpick::types::AttemptNo(0),
        )
    };
    connection.attempts.extend([
        ("x.2".into(), key(2)),
        ("x.1".into(), key(1)),
        ("x.3".into(), key(3)),
    ]);
    connection.abandon_on_bad_input(named);
    assert_eq!(
        (connection.bad_input_attempt, connection.abandoned),
        (Some(key(call)), true)
    );
}
