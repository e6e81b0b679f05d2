//! Work on machines with real processes: crews take every machine out and back while routers are ended, cut off and
//! stopped. Judged by histories: no part is begun under a permit, no permit comes twice, each set keeps its holders.

mod crews;
#[path = "../common/fleets.rs"]
mod fleets;
mod operators;
mod small;
mod voters;
