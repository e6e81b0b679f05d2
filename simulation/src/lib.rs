//! The project's own place to ask "what if": fleets of nodes, routers and clients in virtual time, the decisions as they
//! are inside, and what comes of it as figures that can be compared. [`sim::Sim::play`] plays one day of one world; a
//! plan ([`plan::Plan`]) names many, and [`experiment`] plays them. Nothing uses this package.
//!
//! All figures from here are simulated.

pub mod check;
pub mod compare;
pub mod experiment;
pub mod fleet;
pub mod hunt;
pub mod load;
pub mod measure;
pub mod node;
pub mod plan;
pub mod policy;
pub mod process;
pub mod report;
pub mod sim;
pub mod standins;
