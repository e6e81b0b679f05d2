//! An extension is a second state machine on the same log: its entries stand beside the policy's, its state goes into the
//! same snapshots, and what every router has to know of it before it may admit queries is sent with leases. Maintenance
//! (`ternpick-maintenance`) is one. What its entries mean is known to the package that implements [`Extension`];
//! [`crate::FleetNode`] calls it.

use std::collections::BTreeMap;

use ternpick::types::Micros;

use crate::ids::{Index, Member};
use crate::state_machine::MemberInfo;

/// What the leader knows of a router.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct MemberContact {
    /// The router.
    pub member: Member,
    /// The latest report of its newest process; none if this leader has not received one.
    pub report: Option<Vec<u8>>,
    /// Its last request is recent enough that it counts as reachable.
    pub is_recent: bool,
    /// Apart from that process none can have a lease, nor could have had one within [`Extension::in_flight_grace`].
    pub only_one_process: bool,
    /// None of its processes can have a lease, nor could have had one within [`Extension::in_flight_grace`].
    pub all_leases_expired: bool,
}

/// A second state machine on the fleet's log.
pub trait Extension {
    /// Applies a committed entry: the same entries in the same order give the same state on every router. Returns a number
    /// for the operator, or why the entry is refused.
    ///
    /// # Errors
    /// The entry is refused, in words for the operator.
    fn apply(&mut self, index: Index, entry: &[u8]) -> Result<u64, String>;
    /// Who belongs to the fleet from this place in the log on.
    fn members_changed(&mut self, members: &BTreeMap<Member, MemberInfo>);
    /// The whole state.
    fn snapshot(&self) -> Vec<u8>;
    /// Replaces the state by one of [`Extension::snapshot`]; an empty one is a new fleet's.
    fn restore(&mut self, image: &[u8]);
    /// What every router has to know before it gets a lease.
    fn machines_out(&self) -> Vec<u8>;
    /// For how long after its lease an unreachable router may still act on queries that it admitted.
    fn in_flight_grace(&self) -> Micros;
    /// Members that were removed and whose processes may still act.
    fn departed_members(&self) -> Vec<Member>;
    /// On the leader: whether a command is to be proposed.
    ///
    /// # Errors
    /// It is refused, in words for the operator.
    fn check_command(&self, now: Micros, entry: &[u8]) -> Result<(), String>;
    /// On the leader of this term: entries to propose next, and lines for the log.
    fn next_entries(
        &mut self,
        now: Micros,
        me: &Member,
        term: u64,
        contacts: &[MemberContact],
    ) -> (Vec<Vec<u8>>, Vec<String>);
    /// The answer to an operator's question, as JSON; none if the question is not the extension's.
    fn inspect(&self, now: Micros, question: &str) -> Option<String>;
}

/// The extension of a fleet that has none.
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
