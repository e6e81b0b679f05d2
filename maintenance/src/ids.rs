//! Numbers that the maintenance log gives out. Each is the log index of the entry that created it, so none is given twice.

ternpick_fleet_policy::id_types! {
    /// A maintenance request: the log index of its [`crate::Entry::OpenRequest`].
    RequestNo,
    /// A permit to work on one machine: the log index of its [`crate::Entry::GrantPermit`].
    PermitNo,
    /// Fencing number of a coordinator: the log index at which it took over. Entries with another one are rejected.
    Fence,
}
