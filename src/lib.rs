//! The decisions of ternpick, the root node of a sharded search service, free of any protocol.
//!
//! [`brain::Brain`] is told what the router sees and acts through [`interface::Actions`].

pub mod brain;
pub mod interface;
pub mod types;
