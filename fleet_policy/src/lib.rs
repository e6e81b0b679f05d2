//! The fleet's policy and how it takes hold, without I/O. A change is in force at all routers or at none, and no router
//! decides under one that the others have left.
//!
//! [`Register`] is what was agreed, replayed from the log alone. [`Keeper`] is a router's own part: the policy it knows and
//! its lease; it alone says whether a lookup may be admitted ([`Keeper::admission`]). [`Chair`] is kept by the router that
//! leads: it gives leases and takes a proposal from step to step. [`Council`] is one router's whole part, with its seat
//! in the agreement: the one way in for a driver. A [`Record`] is a policy's text, read and checked.
//!
//! The rule: a lookup is decided under the policy in force when it was admitted; once one router has admitted under a
//! version, none ever again admits under an earlier one. `docs/design/policy.md` says why it holds.

mod annex;
mod chair;
mod council;
mod figures;
mod heeds;
mod ids;
mod keeper;
mod record;
mod register;
mod say;
mod terms;

#[cfg(test)]
mod model;

pub use annex::{Annex, Attended, Nothing};
pub use chair::{Chair, Order, Seen};
pub use council::{seat_terms, Act, Council, Found, Heard, Level, Wish, TICK};
pub use figures::{platform, put_in_force};
pub use ids::{Epoch, Incarnation, Index, Member, Op, Round, SeatNo, Seq, Version};
pub use keeper::{Admission, Effect, Keeper, Why};
pub use record::{IndexTerms, Platform, PlatformIndex, Record, DEFINITIONS};
pub use register::{
    Entry, Fate, Outcome, Paper, Past, Pending, Register, Seated, Verdict, LONGEST_TEXT,
    LONGEST_WORDS, MOST_MEMBERS,
};
pub use say::{Command, Grant, Heeded, NextView, Renew, Said, Told, View};
pub use terms::Terms;
pub use ternpick_consensus::FleetId;

/// Faults that tests plant and must find; never in a build that serves.
#[cfg(any(test, feature = "planted"))]
pub mod planted {
    pub use crate::chair::Planted as InChair;
    pub use crate::keeper::Planted as InKeeper;
}
