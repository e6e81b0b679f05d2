//! Maintenance of machines with real processes: crews take every machine out of service and return it while routers
//! are killed, isolated and suspended. Checked by histories: no attempt is sent to a machine under a permit, no permit
//! is given twice, and each shard set keeps its replicas.

mod crews;
#[path = "../common/fleets.rs"]
mod fleets;
mod operators;
mod small_fleet;
mod voters;
