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
}
