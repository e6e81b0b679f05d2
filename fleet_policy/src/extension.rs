//! An extension is a second state machine on the fleet's log: its entries are in the same log as the policy's, its state
//! is part of the same snapshots, and the part of its state that every router must know before it may admit queries is
//! sent with lease replies. Maintenance (`ternpick-maintenance`) is an extension. Only the package that implements
//! [`Extension`] interprets its entries; [`crate::FleetNode`] calls it.

use std::collections::BTreeMap;

use ternpick::types::Micros;

use crate::ids::{Index, Member};
use crate::state_machine::MemberInfo;

/// What the leader knows about a router.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct MemberContact {
    /// The router.
    pub member: Member,
    /// The latest report of its newest process; `None` if this leader has not received one.
    pub report: Option<Vec<u8>>,
    /// Whether its last request is recent enough that the router counts as reachable.
    pub is_recent: bool,
    /// Whether no process other than the reporting one can have a lease now or have had one within the last
    /// [`Extension::in_flight_grace`].
    pub only_one_process: bool,
    /// Whether none of its processes can have a lease now or have had one within the last [`Extension::in_flight_grace`].
    pub all_leases_expired: bool,
}

/// A second state machine on the fleet's log.
pub trait Extension {
    /// Applies a committed entry. The same entries in the same order must give the same state on every router. Returns a
    /// number for the operator.
    ///
    /// # Errors
    /// Returns why the entry is refused, as a message for the operator.
    fn apply(&mut self, index: Index, entry: &[u8]) -> Result<u64, String>;
    /// Notifies the extension of the members of the fleet as of this position in the log.
    fn members_changed(&mut self, members: &BTreeMap<Member, MemberInfo>);
    /// Encodes the whole state.
    fn snapshot(&self) -> Vec<u8>;
    /// Replaces the state by a snapshot that [`Extension::snapshot`] returned; an empty one stands for a new fleet's
    /// state.
    fn restore(&mut self, image: &[u8]);
    /// The part of the state that every router must know before it gets a lease.
    fn machines_out(&self) -> Vec<u8>;
    /// How long after the end of its lease an unreachable router may still be processing queries that it admitted.
    fn in_flight_grace(&self) -> Micros;
    /// Members that were removed and whose processes may still be processing queries.
    fn departed_members(&self) -> Vec<Member>;
    /// Called on the leader: checks whether a command may be proposed.
    ///
    /// # Errors
    /// Returns why the command is refused, as a message for the operator.
    fn check_command(&self, now: Micros, entry: &[u8]) -> Result<(), String>;
    /// Called on the leader of this term: returns the entries to propose next, and lines for the router's log.
    fn next_entries(
        &mut self,
        now: Micros,
        me: &Member,
        term: u64,
        contacts: &[MemberContact],
    ) -> (Vec<Vec<u8>>, Vec<String>);
    /// The answer to an operator's question as JSON; `None` if the question does not concern the extension.
    fn inspect(&self, now: Micros, question: &str) -> Option<String>;
}

/// The extension of a fleet without one: it refuses every entry.
pub struct NoExtension;

const NOT_CONFIGURED: &str = "this router's settings have no such matter";

impl Extension for NoExtension {
    fn apply(&mut self, _: Index, _: &[u8]) -> Result<u64, String> {
        Err(NOT_CONFIGURED.into())
    }

    fn members_changed(&mut self, _: &BTreeMap<Member, MemberInfo>) {}

    fn snapshot(&self) -> Vec<u8> {
        Vec::new()
    }

    fn restore(&mut self, _: &[u8]) {}

    fn machines_out(&self) -> Vec<u8> {
        Vec::new()
    }

    fn in_flight_grace(&self) -> Micros {
        Micros(0)
    }

    fn departed_members(&self) -> Vec<Member> {
        Vec::new()
    }

    fn check_command(&self, _: Micros, _: &[u8]) -> Result<(), String> {
        Err(NOT_CONFIGURED.into())
    }

    fn next_entries(
        &mut self,
        _: Micros,
        _: &Member,
        _: u64,
        _: &[MemberContact],
    ) -> (Vec<Vec<u8>>, Vec<String>) {
        (Vec::new(), Vec::new())
    }

    fn inspect(&self, _: Micros, _: &str) -> Option<String> {
        None
    }
}
