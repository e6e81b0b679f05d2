//! Numbers of the works; each is a place in the agreed log, so that none is ever given twice.

ternpick_fleet_policy::numbers! {
    /// A request for machines.
    RequestNo,
    /// A permit to work on one machine.
    PermitNo,
    /// Who carries the work on, from which place of the log: steps with an earlier one count for nothing.
    Fence,
}
