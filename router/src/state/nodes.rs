//! The known nodes by name, and the connections to them.
//!
//! The watch of the endpoint list adds and removes nodes. The upstream writer opens connections and picks one for an
//! attempt. The routing engine chooses the node of an attempt.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;

use ternpick::types::{EndpointState, Micros, NodeId};

pub(crate) use crate::state::connection::Connection;
use crate::state::descriptors::DescriptorPermit;
pub(crate) use crate::state::ids::ConnectionId;
use crate::state::recent_pause::RecentPause;

/// A node of the endpoint list, or a node that is gone from the list and still has connections.
pub(crate) struct Node {
    /// Its name in the endpoint list.
    pub(crate) name: String,
    /// The address at which it listens.
    pub(crate) address: SocketAddr,
    /// Its state in the endpoint list.
    pub(crate) state: EndpointState,
    /// The longest pause that it has recently made within a frame.
    pub(crate) recent_pause: RecentPause,
    connections: Vec<ConnectionId>,
}

/// All nodes and all connections to them.
#[derive(Default)]
pub(crate) struct Nodes {
    /// The last number given to a node or a connection.
    last_number: u64,
    /// Nodes that are gone are removed once they have no connection left.
    nodes: BTreeMap<NodeId, Node>,
    ids: HashMap<String, NodeId>,
    connections: BTreeMap<ConnectionId, Connection>,
    /// The total number of connections ever opened.
    pub(crate) opened: u64,
    /// When any node last sent a frame or accepted a connection.
    pub(crate) last_received: Micros,
}

impl Nodes {
    /// Applies one entry of the endpoint list. An entry with a known name is the same node even at another address.
    /// Returns the node's id, and whether the node is new or at a new address.
    pub(crate) fn apply_entry(
        &mut self,
        name: &str,
        address: SocketAddr,
        state: EndpointState,
    ) -> (NodeId, bool) {
        let known = self.ids.get(name).copied();
        let id = known.unwrap_or_else(|| self.add_name(name));
        let node = self.nodes.entry(id).or_insert_with(|| Node {
            name: name.to_owned(),
            address,
            state,
            recent_pause: RecentPause::default(),
            connections: Vec::new(),
        });
        let moved = node.address != address;
        node.address = address;
        node.state = state;
        if moved || state == EndpointState::Gone {
            self.retire_all(id);
        }
        (id, moved || known.is_none())
    }

    fn add_name(&mut self, name: &str) -> NodeId {
        self.last_number += 1;
        let id = NodeId(self.last_number);
        self.ids.insert(name.to_owned(), id);
        id
    }

    /// All nodes with their ids, names and addresses.
    pub(crate) fn all(&self) -> impl Iterator<Item = (NodeId, &str, SocketAddr)> {
        self.nodes
            .iter()
            .map(|(id, node)| (*id, node.name.as_str(), node.address))
    }

    /// The id of the node with this name.
    pub(crate) fn id_of(&self, name: &str) -> Option<NodeId> {
        self.ids.get(name).copied()
    }

    /// Marks the nodes that are missing from a complete endpoint list as gone and retires their connections.
    pub(crate) fn retire_unlisted(&mut self, listed: &[NodeId]) {
        let unlisted: Vec<NodeId> = self
            .nodes
            .keys()
            .filter(|id| !listed.contains(id))
            .copied()
            .collect();
        for id in unlisted {
            if let Some(node) = self.nodes.get_mut(&id) {
                node.state = EndpointState::Gone;
            }
            self.retire_all(id);
        }
    }

    fn retire_all(&mut self, id: NodeId) {
        let Some(node) = self.nodes.get(&id) else {
            return;
        };
        for connection in &node.connections {
            if let Some(connection) = self.connections.get_mut(connection) {
                connection.retire();
            }
        }
    }

    /// Retires the idle connections of a node.
    pub(crate) fn retire_idle(&mut self, node: NodeId) {
        self.connections
            .values_mut()
            .filter(|connection| connection.node == node && connection.is_idle())
            .for_each(Connection::retire);
    }

    /// Removes nodes that are gone and have no connection left.
    pub(crate) fn forget_gone(&mut self) {
        let Nodes { nodes, ids, .. } = self;
        nodes.retain(|_, node| {
            let kept = node.state != EndpointState::Gone || !node.connections.is_empty();
            if !kept {
                ids.remove(&node.name);
            }
            kept
        });
    }

    /// The node with this id.
    pub(crate) fn node(&self, id: NodeId) -> Option<&Node> {
        self.nodes.get(&id)
    }

    /// The node with this id, for changes.
    pub(crate) fn node_mut(&mut self, id: NodeId) -> Option<&mut Node> {
        self.nodes.get_mut(&id)
    }

    /// How many nodes are known.
    pub(crate) fn count(&self) -> usize {
        self.nodes.len()
    }

    /// A node's connections that accept more attempts; connected ones come before those that are being dialled.
    pub(crate) fn usable(&self, id: NodeId) -> impl Iterator<Item = (ConnectionId, &Connection)> {
        let usable = move |is_connected: bool| {
            self.connections_of(id).filter(move |(_, connection)| {
                connection.is_usable() && connection.stream.is_some() == is_connected
            })
        };
        usable(true).chain(usable(false))
    }

    /// A node's connections on which an answer under this id may still arrive.
    pub(crate) fn awaiting_answer<'a>(
        &'a self,
        node: NodeId,
        wire_id: &'a str,
    ) -> impl Iterator<Item = ConnectionId> + 'a {
        self.connections_of(node)
            .filter(move |(_, connection)| connection.attempts.awaits_answer(wire_id))
            .map(|(id, _)| id)
    }

    fn connections_of(&self, id: NodeId) -> impl Iterator<Item = (ConnectionId, &Connection)> {
        let ids = self
            .nodes
            .get(&id)
            .into_iter()
            .flat_map(|node| &node.connections);
        ids.filter_map(|id| Some((*id, self.connections.get(id)?)))
    }

    /// Adds a connection to a node, which the connection's task has to dial. Returns `None` if the node is not known.
    pub(crate) fn connect(
        &mut self,
        node: NodeId,
        now: Micros,
        max_output_bytes: usize,
        permit: DescriptorPermit,
    ) -> Option<ConnectionId> {
        self.last_number += 1;
        let id = ConnectionId(self.last_number);
        let target = self.nodes.get_mut(&node)?;
        target.connections.push(id);
        let connection = Connection::new(node, target.address, now, max_output_bytes, permit);
        self.connections.insert(id, connection);
        self.opened += 1;
        Some(id)
    }

    /// The connection with this id.
    pub(crate) fn connection(&self, id: ConnectionId) -> Option<&Connection> {
        self.connections.get(&id)
    }

    /// The connection with this id, for changes.
    pub(crate) fn connection_mut(&mut self, id: ConnectionId) -> Option<&mut Connection> {
        self.connections.get_mut(&id)
    }

    /// Ends an attempt without an answer on its connection. `frame_end` is the connection's byte count at the end of the
    /// attempt's frame. If the frame is not written completely, the connection is abandoned: the rest of the frame
    /// must not be sent, since the attempt is finished, and an incomplete frame would make the following ones
    /// unreadable.
    pub(crate) fn end_unanswered(&mut self, id: ConnectionId, wire_id: &Rc<str>, frame_end: u64) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        connection.end_unanswered(wire_id);
        connection.abandoned |= connection.written_bytes < frame_end;
        if !connection.is_usable() {
            connection.wake.notify(1);
        }
    }

    /// Retires a connection on which no valid frame has been received since `since`.
    pub(crate) fn retire_silent(&mut self, id: ConnectionId, since: Micros) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.retired |= connection.last_received < since;
        }
    }

    /// Wakes the task of a retired connection, which closes the connection if it is idle.
    pub(crate) fn wake_retired(&self, id: ConnectionId) {
        let connection = self.connections.get(&id);
        if let Some(connection) = connection.filter(|connection| connection.retired) {
            connection.wake.notify(1);
        }
    }

    /// Removes a connection. Nothing else removes connections.
    pub(crate) fn disconnect(&mut self, id: ConnectionId) -> Option<Connection> {
        let connection = self.connections.remove(&id)?;
        if let Some(node) = self.nodes.get_mut(&connection.node) {
            node.connections.retain(|connection| *connection != id);
        }
        self.forget_gone();
        Some(connection)
    }

    /// Retires the connection that has been idle longest. Returns false if none is idle.
    pub(crate) fn retire_longest_idle(&mut self) -> bool {
        let idle = self
            .connections
            .values_mut()
            .filter(|connection| connection.is_idle() && !connection.retired);
        let Some(connection) = idle.min_by_key(|connection| connection.last_used) else {
            return false;
        };
        connection.retire();
        true
    }
}

#[cfg(test)]
mod tests;
