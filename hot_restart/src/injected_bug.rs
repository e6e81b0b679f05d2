//! Bugs that the model's tests inject into [`crate::OldProcess`], to see that the model detects them. No other build can
//! enable one.

/// A bug in the old process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum InjectedBug {
    /// Does not accept again when the new process ends while this one drains.
    StaysDrained,
    /// Stops accepting with the commit, before the new process has confirmed that it accepts.
    StopsAcceptingEarly,
    /// Grants a lease to the new process and continues to use all of it.
    KeepsWholeLease,
}
