//! Nodes by name, and the connections to them.

use std::cell::Cell;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;

use async_io::Async;
use event_listener::Event;
use ternpick::io_errors::Owner;
use ternpick::types::{EndpointState, Micros, NodeId};

use crate::state::descriptors::Permit;
use crate::state::in_flight::CallKey;
use ternpick_wire::ring::Ring;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

/// Late answers and second copies are known for so long, and so many: beyond that they end the connection.
const KNOWN_FOR: Micros = Micros(10_000_000);
const KNOWN: usize = 1024;

pub struct Connection {
    pub node: NodeId,
    pub address: SocketAddr,
    /// For whom its dial waits: the node, or this machine.
    pub dials: Rc<Cell<Owner>>,
    /// Its socket, once it is up.
    pub stream: Option<Rc<Async<TcpStream>>>,
    /// Carries no more calls, and is closed once it carries none.
    pub retired: bool,
    pub out: Ring,
    /// Bytes ever put into `out`, and ever taken off it by the socket.
    pub queued: u64,
    pub written: u64,
    /// Calls out on it, by the id that their answers name.
    pub carries: HashMap<Rc<str>, CallKey>,
    /// Calls that will share a frame each, for when it is up or has room.
    pub waiting: VecDeque<Vec<CallKey>>,
    /// Calls that are over, of which something may still come; emptied by age and by number.
    past: VecDeque<(Micros, Rc<str>)>,
    /// When it last carried something, and when it last brought a frame that could be used.
    pub used: Micros,
    pub heard: Micros,
    /// Ended by the router itself: a frame on it is not to be finished, or it has brought what cannot be used.
    pub abandoned: bool,
    /// The call whose answer came spoilt.
    pub spoilt: Option<CallKey>,
    /// Tells its task that there is something to write, or that it is retired.
    pub stirred: Rc<Event>,
    _permit: Permit,
}

impl Connection {
    /// Whether it has nothing to wait for.
    pub fn idle(&self) -> bool {
        self.carries.is_empty() && self.waiting.is_empty() && self.out.is_empty()
    }

    /// Ends it since its node has sent what cannot be used. What was spoilt is the call that the bytes name, or
    /// the one out longest; of the others it is only known that they may have run.
    pub fn spoil(&mut self, named: Option<&str>) {
        let named = named.and_then(|name| self.carries.get(name));
        self.spoilt = named.or_else(|| self.carries.values().min()).copied();
        self.abandoned = true;
    }

    /// A call that it carried is over.
    pub fn over(&mut self, name: &Rc<str>, now: Micros) {
        let old = |at: Micros, count| now.since(at) > KNOWN_FOR || count >= KNOWN;
        while self
            .past
            .front()
            .is_some_and(|(at, _)| old(*at, self.past.len()))
        {
            self.past.pop_front();
        }
        self.past.push_back((now, Rc::clone(name)));
    }

    pub fn is_over(&self, name: &str) -> bool {
        self.past.iter().any(|(_, known)| **known == *name)
    }

    /// Puts a whole frame into its buffer, or nothing if there is no room.
    pub fn push(&mut self, frame: &[u8], now: Micros) -> bool {
        let pushed = self.out.push(frame);
        if pushed {
            self.queued += frame.len() as u64;
            self.used = now;
            self.stirred.notify(1);
        }
        pushed
    }
}

pub struct Node {
    pub name: String,
    pub address: SocketAddr,
    pub phase: EndpointState,
    connections: Vec<ConnectionId>,
}

#[derive(Default)]
pub struct Nodes {
    next: u64,
    /// Emptied of nodes that are gone and have no connection left.
    nodes: BTreeMap<NodeId, Node>,
    ids: HashMap<String, NodeId>,
    connections: BTreeMap<ConnectionId, Connection>,
    pub opened: u64,
    /// When any node was last heard.
    pub heard: Micros,
}

impl Nodes {
    /// Takes one line of the roster in: the same name is the same node, wherever it listens. Tells its id, and
    /// whether it was not known there.
    pub fn list(
        &mut self,
        name: &str,
        address: SocketAddr,
        phase: EndpointState,
    ) -> (NodeId, bool) {
        let known = self.ids.get(name).copied();
        let id = known.unwrap_or_else(|| {
            self.next += 1;
            self.ids.insert(name.to_owned(), NodeId(self.next));
            NodeId(self.next)
        });
        let node = self.nodes.entry(id).or_insert_with(|| Node {
            name: name.to_owned(),
            address,
            phase,
            connections: Vec::new(),
        });
        let moved = std::mem::replace(&mut node.address, address) != address;
        node.phase = phase;
        if moved || phase == EndpointState::Gone {
            self.retire(id);
        }
        (id, moved || known.is_none())
    }

    /// All nodes with their names and addresses.
    pub fn all(&self) -> impl Iterator<Item = (NodeId, &str, SocketAddr)> {
        self.nodes
            .iter()
            .map(|(id, node)| (*id, node.name.as_str(), node.address))
    }

    /// The number of a name that is listed.
    pub fn number(&self, name: &str) -> Option<NodeId> {
        self.ids.get(name).copied()
    }

    /// Marks all nodes as gone that a whole list did not name.
    pub fn keep_only(&mut self, listed: &[NodeId]) {
        let left: Vec<NodeId> = self
            .nodes
            .keys()
            .filter(|id| !listed.contains(id))
            .copied()
            .collect();
        for id in left {
            self.nodes
                .entry(id)
                .and_modify(|node| node.phase = EndpointState::Gone);
            self.retire(id);
        }
    }

    fn retire(&mut self, id: NodeId) {
        let ids = self
            .nodes
            .get(&id)
            .map(|node| node.connections.clone())
            .unwrap_or_default();
        for id in ids {
            if let Some(connection) = self.connections.get_mut(&id) {
                connection.retired = true;
                connection.stirred.notify(1);
            }
        }
    }

    /// Retires a node's connections that carry nothing.
    pub fn retire_idle(&mut self, node: NodeId) {
        for connection in self
            .connections
            .values_mut()
            .filter(|of| of.node == node && of.idle())
        {
            connection.retired = true;
            connection.stirred.notify(1);
        }
    }

    pub fn forget_gone(&mut self) {
        let Nodes { nodes, ids, .. } = self;
        nodes.retain(|_, node| {
            let kept = node.phase != EndpointState::Gone || !node.connections.is_empty();
            if !kept {
                ids.remove(&node.name);
            }
            kept
        });
    }

    pub fn node(&self, id: NodeId) -> Option<&Node> {
        self.nodes.get(&id)
    }

    pub fn count(&self) -> usize {
        self.nodes.len()
    }

    /// A node's connections that may carry more, those that are up first.
    pub fn usable(&self, id: NodeId) -> impl Iterator<Item = (ConnectionId, &Connection)> {
        let ids = || {
            self.nodes
                .get(&id)
                .into_iter()
                .flat_map(|node| &node.connections)
        };
        let of = move |open: bool| {
            let known = ids().filter_map(|id| Some((*id, self.connections.get(id)?)));
            known.filter(move |(_, of)| of.stream.is_some() == open && !of.retired && !of.abandoned)
        };
        of(true).chain(of(false))
    }

    pub fn connect(
        &mut self,
        node: NodeId,
        now: Micros,
        out_bound: usize,
        permit: Permit,
    ) -> Option<ConnectionId> {
        self.next += 1;
        let (id, of) = (ConnectionId(self.next), self.nodes.get_mut(&node)?);
        of.connections.push(id);
        let connection = Connection {
            node,
            address: of.address,
            dials: Rc::new(Cell::new(Owner::Peer)),
            stream: None,
            retired: false,
            out: Ring::new(out_bound),
            queued: 0,
            written: 0,
            carries: HashMap::new(),
            waiting: VecDeque::new(),
            past: VecDeque::new(),
            used: now,
            heard: Micros(0),
            abandoned: false,
            spoilt: None,
            stirred: Rc::new(Event::new()),
            _permit: permit,
        };
        self.connections.insert(id, connection);
        self.opened += 1;
        Some(id)
    }

    pub fn connection(&self, id: ConnectionId) -> Option<&Connection> {
        self.connections.get(&id)
    }

    pub fn connection_mut(&mut self, id: ConnectionId) -> Option<&mut Connection> {
        self.connections.get_mut(&id)
    }

    /// Takes a call off its connection. A frame that has not left whole may neither be finished, since the call
    /// is over, nor be left half: that connection ends.
    pub fn unload(&mut self, id: ConnectionId, name: &Rc<str>, end: u64, now: Micros) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.carries.remove(name);
            connection.abandoned |= connection.written < end;
            connection.over(name, now);
            connection
                .stirred
                .notify(usize::from(connection.retired || connection.abandoned));
        }
    }

    /// Retires a connection that has brought nothing since.
    pub fn retire_silent(&mut self, id: ConnectionId, since: Micros) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.retired |= connection.heard < since;
        }
    }

    /// Lets a retired connection see whether it still carries something.
    pub fn stir_retired(&self, id: ConnectionId) {
        if let Some(connection) = self
            .connections
            .get(&id)
            .filter(|connection| connection.retired)
        {
            connection.stirred.notify(1);
        }
    }

    /// The one place where a connection is taken off.
    pub fn disconnect(&mut self, id: ConnectionId) -> Option<Connection> {
        let connection = self.connections.remove(&id)?;
        if let Some(node) = self.nodes.get_mut(&connection.node) {
            node.connections.retain(|of| *of != id);
        }
        self.forget_gone();
        Some(connection)
    }

    /// Retires the connection that has stood idle longest; false if none is idle.
    pub fn retire_longest_idle(&mut self) -> bool {
        let idle = self
            .connections
            .values_mut()
            .filter(|c| c.idle() && !c.retired);
        let Some(connection) = idle.min_by_key(|c| c.used) else {
            return false;
        };
        connection.retired = true;
        connection.stirred.notify(1);
        true
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::state::descriptors::{Descriptors, Peer};
    use test_case::test_case;

    fn at(port: u16) -> SocketAddr {
        ([127, 0, 0, 1], port).into()
    }

    fn connected() -> (Nodes, NodeId, ConnectionId) {
        let mut nodes = Nodes::default();
        let (node, _) = nodes.list("a", at(1), EndpointState::Ready);
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
        phase: EndpointState,
        usable: usize,
    ) {
        let (mut nodes, node, _) = connected();
        assert_eq!(nodes.list("a", address, phase), (node, address != at(1)));
        assert_eq!(nodes.usable(node).count(), usable);
    }

    #[test]
    fn a_node_that_a_whole_list_leaves_out_is_forgotten_with_its_last_connection() {
        let (mut nodes, node, id) = connected();
        nodes.keep_only(&[]);
        nodes.forget_gone();
        assert!(nodes.node(node).is_some() && nodes.connection(id).is_some_and(|of| of.retired));
        nodes.disconnect(id);
        assert_eq!(nodes.count(), 0);
        assert_ne!(
            nodes.list("a", at(1), EndpointState::Ready).0,
            node,
            "a name forgotten comes back as another node"
        );
    }

    #[test]
    fn nothing_stays_of_nodes_that_come_and_go() {
        let (mut nodes, _, first) = connected();
        for number in 0..1000 {
            let (node, _) = nodes.list(&format!("n{number}"), at(number), EndpointState::Ready);
            let permit = Descriptors::new(100)
                .take(Peer::Node)
                .expect("a descriptor");
            let id = nodes
                .connect(node, Micros(5), 100, permit)
                .expect("a connection");
            nodes.list(&format!("n{number}"), at(number), EndpointState::Gone);
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
        nodes.connection_mut(id).expect("a connection").heard = Micros(6);
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
        (0..2 * KNOWN).for_each(|number| nodes.unload(id, &name(number), 0, Micros(7)));
        let known = |nodes: &Nodes, number| {
            nodes
                .connection(id)
                .is_some_and(|of| of.is_over(&name(number)))
        };
        assert_eq!(
            [0, KNOWN - 1, KNOWN, 2 * KNOWN - 1].map(|n| known(&nodes, n)),
            [false, false, true, true]
        );
        nodes.unload(id, &name(0), 0, Micros(8) + KNOWN_FOR);
        assert_eq!(nodes.connection(id).map(|of| of.past.len()), Some(1));
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
        connection.carries.extend([
            ("x.2".into(), key(2)),
            ("x.1".into(), key(1)),
            ("x.3".into(), key(3)),
        ]);
        connection.spoil(named);
        assert_eq!(
            (connection.spoilt, connection.abandoned),
            (Some(key(call)), true)
        );
    }
}
