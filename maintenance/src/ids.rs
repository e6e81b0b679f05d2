//! Identifiers created by log entries. Each is the log index of the entry that created it, so no number is used twice.

ternpick_fleet_policy::id_types! {
    /// A maintenance request: the log index of its [`crate::Entry::OpenRequest`].
    RequestNo,
    /// A permit to work on one machine: the log index of its [`crate::Entry::GrantPermit`].
    PermitNo,
    /// The fencing number of a coordinator: the log index at which it took over. The state rejects entries that carry
    /// another fencing number.
    Fence,
}
