//! Bugs that the model's tests inject into [`crate::OldProcess`] to verify that the model detects them. Only test
//! builds can enable one.

/// A bug in the old process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum InjectedBug {
    /// Does not accept clients again when the new process ends while the old one drains.
    StaysDrained,
    /// Stops accepting clients with the commit, before the new process has confirmed that it accepts them.
    StopsAcceptingEarly,
    /// Grants a lease to the new process and continues to use the whole capacity.
    KeepsWholeLease,
    /// Accepts clients again when the new process has stopped because the router stops.
    ServesBehindStop,
}

/// A bug in how one process passes requests to the other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[cfg(test)]
pub(crate) enum RequestBug {
    /// Acts on a stop and does not tell the other process.
    KeepsStops,
    /// Acts on a reload and does not tell the other process.
    KeepsReloads,
}
