//! Room for a further matter that the same routers agree on: its entries stand in the same log, its state goes into the same
//! snapshots, and what every router has to know of it before it may send anything goes with the leases. What it means is
//! known to the package that implements [`Extension`].

use std::collections::BTreeMap;

use ternpick::types::Micros;

use crate::ids::{Index, Member};
use crate::state_machine::MemberInfo;

/// What the router that leads knows of another.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct MemberContact {
    pub member: Member,
    /// What its newest process said last; not of one that has not been heard since this one leads.
    pub report: Option<Vec<u8>>,
    /// It has been heard so lately that it is there.
    pub is_recent: bool,
    /// No process of it but that one can have a lease, nor had one for as long as was asked.
    pub only_one_process: bool,
    /// None of its processes can have a lease, nor had one for as long as was asked.
    pub all_leases_expired: bool,
}

pub trait Extension {
    /// Plays an agreed entry: the same entries in the same order give the same state on every router. For who asked:
    /// a number, or why it is refused.
    fn apply(&mut self, index: Index, entry: &[u8]) -> Result<u64, String>;
    /// Who belongs to the fleet from this place on.
    fn members_changed(&mut self, members: &BTreeMap<Member, MemberInfo>);
    /// The whole state, and one read again; an empty one is a new fleet's.
    fn snapshot(&self) -> Vec<u8>;
    fn restore(&mut self, image: &[u8]);
    /// What every router has to know before it gets a lease.
    fn machines_out(&self) -> Vec<u8>;
    /// For how long past its lease a router that is silent may still act on what it admitted.
    fn in_flight_grace(&self) -> Micros;
    /// Members that left, and whose processes may still act.
    fn departed_members(&self) -> Vec<Member>;
    /// This router leads: whether a command is worth an entry.
    fn check_command(&self, now: Micros, entry: &[u8]) -> Result<(), String>;
    /// This router leads in this term: entries to be put next, and lines for the people on call.
    fn next_entries(
        &mut self,
        now: Micros,
        me: &Member,
        term: u64,
        attended: &[MemberContact],
    ) -> (Vec<Vec<u8>>, Vec<String>);
    /// The answer to an operator's question, as JSON; none: it is no question of this matter.
    fn inspect(&self, now: Micros, what: &str) -> Option<String>;
}

/// No further matter.
pub struct NoExtension;

impl Extension for NoExtension {
    fn apply(&mut self, _: Index, _: &[u8]) -> Result<u64, String> {
        Err("this router's settings have no such matter".into())
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
        Err("this router's settings have no such matter".into())
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
