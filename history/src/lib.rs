//! Histories of events of processes and clients, and checkers that read them afterwards. The checkers don't know how
//! routers decide; the rules are those that an operator would state. A history is a file of JSON lines. It is read once,
//! in bounded memory. An operation with an unknown outcome may have happened or not, and the checker allows both. If it
//! can't reach a verdict, it returns [`Verdict::Inconclusive`].
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
pub mod values;
mod write;

pub use check::{check, Bounds, BrokenRule, Counts, Rule, Verdict};
pub use event::{Event, EventKind, ProposalOutcome, VisiblePolicy};
pub use write::Writer;
