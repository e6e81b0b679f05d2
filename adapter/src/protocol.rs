//! The codes and sizes of the binary protocol between the bench and the adapter.

/// Codes of events, which the bench sends.
pub(crate) mod event {
    pub(crate) const HEALTH_CHECK_FINISHED: u8 = 16;
    /// A message from one router to another. The adapter skips it.
    pub(crate) const PEER_MESSAGE: u8 = 17;
    /// A query, or one of its shard requests.
    pub(crate) const REQUEST: u8 = 18;
    pub(crate) const CLIENT_LEFT: u8 = 19;
    pub(crate) const ENDPOINTS_CHANGED: u8 = 20;
    /// A router instance starts, with its settings.
    pub(crate) const INSTANCE_BEGINS: u8 = 21;
    /// An endpoint list, which later events refer to by its number.
    pub(crate) const CATALOG: u8 = 22;
    /// Progress of an attempt at a streamed index. The adapter skips it.
    pub(crate) const ATTEMPT_UNDER_WAY: u8 = 23;
    pub(crate) const ATTEMPT_FINISHED: u8 = 24;
    pub(crate) const INSTANCE_ENDS: u8 = 25;
    pub(crate) const TIMER_FIRED: u8 = 26;
}

/// Codes of actions, which the adapter sends.
pub(crate) mod action {
    pub(crate) const REJECT: u8 = 16;
    pub(crate) const FAIL: u8 = 18;
    pub(crate) const CHECK_HEALTH: u8 = 19;
    pub(crate) const LOG: u8 = 20;
    pub(crate) const SEND_ATTEMPT: u8 = 21;
    pub(crate) const WATCH_ENDPOINTS: u8 = 22;
    pub(crate) const CLOSE_IDLE_CONNECTIONS: u8 = 23;
    pub(crate) const ANSWER: u8 = 24;
    /// The routing engine panicked; the record has the message.
    pub(crate) const BUG: u8 = 25;
    pub(crate) const CANCEL_ATTEMPT: u8 = 26;
    pub(crate) const SET_TIMER: u8 = 28;
}

/// The size of one entry of a catalog.
pub(crate) const CATALOG_ENTRY_BYTES: usize = 24;
/// The number of catalogs that a process may hold.
pub(crate) const MAX_CATALOGS: usize = 16;
/// The size of an [`event::ATTEMPT_UNDER_WAY`] after its instance: request, attempt, node and progress.
pub(crate) const UNDER_WAY_BYTES: usize = 8 + 1 + 6 + 4;
