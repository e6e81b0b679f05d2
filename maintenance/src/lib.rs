//! Machines are taken out for work in an order that the routers of a fleet settle among themselves, without I/O.
//!
//! [`Books`] is what was agreed, replayed from the log alone: requests, which machine is out, which permit stands.
//! [`Room`] says what is never given up: holders of each set of shards, of each zone, room for the load. [`plan`] puts
//! machines into rounds. [`Carrier`] is one router's part and the one way in: it plays the log, and while its router
//! leads it takes machines out one step after the other, each step with its fencing number.
//!
//! The rule: a permit exists only once every router has said that it goes by the machine's being out and has nothing
//! there, or can surely act no more on anything it admitted before. `docs/design/works.md` says why that holds.

mod books;
mod carrier;
mod ids;
mod order;
mod room;
mod routers;
mod word;

#[cfg(test)]
mod model;

pub use books::{Books, Entry, Hold, Job, Past, Request, Stage, MOST_MACHINES, MOST_REQUESTS};
#[cfg(any(test, feature = "planted"))]
pub use carrier::Planted;
pub use carrier::{Carrier, Terms};
pub use ids::{Fence, PermitNo, RequestNo};
pub use order::{exact_rounds, lower_bound, plan, Item, Plan, Round};
pub use room::{Binds, Limits, Node, Room, World};
pub use routers::{router_of, Routers, Stays};
pub use word::Word;
