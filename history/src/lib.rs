//! What processes and clients did, as events; checkers that read them afterwards. Nothing here knows how routers decide:
//! the rules are those that an operator would state. A history is JSON lines; it is read once, in bounded memory, and an
//! operation whose outcome nobody knows counts as both. A verdict that could not be reached is said to be so.
//!
//! ```
//! use ternpick_history::{check, Bounds, Verdict};
//! let lines = r#"{"at":1,"what":"begins","seen":{}}
//! {"at":2,"what":"asked","lookup":"a","router":"n0","index":"whole"}
//! {"at":9,"what":"answered","lookup":"a","status":200,"version":0,"parts":2,"of":2,"whole":true,"least":1.0}
//! "#;
//! assert!(matches!(check(lines.as_bytes(), Bounds::default()), Verdict::Accepted(_)));
//! ```

mod check;
mod event;
pub mod requests;
mod write;

pub use check::{check, Bounds, BrokenRule, Counts, Rule, Verdict};
pub use event::{Event, EventKind, ProposalOutcome, VisiblePolicy};
pub use write::Writer;
