//! Which limit keeps a machine in service.

/// A limit that a machine's going out would break. The sentences reach operators.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Violation {
    /// No machine of that name is known.
    #[error("discovery lists no {0}")]
    Unknown(String),
    /// No other machine holds this set of shards.
    #[error("it is the only sound holder of set {0}: give that another first")]
    LastHolder(u32),
    /// Too few holders of a set of shards would stay.
    #[error("set {set} has {healthy} sound holders and keeps {required}")]
    Holders {
        /// The set's number.
        set: u32,
        /// Its healthy holders now.
        healthy: usize,
        /// Those that have to stay.
        required: usize,
    },
    /// Too few machines of a zone would stay.
    #[error("zone {zone} has {healthy} sound machines and keeps {required}")]
    Zone {
        /// The zone's number.
        zone: u16,
        /// Its healthy machines now.
        healthy: usize,
        /// Those that have to stay.
        required: usize,
    },
    /// The rest could not serve the load with its reserve.
    #[error("{healthy} machines are sound, the load with its reserve needs {required}")]
    Load {
        /// Healthy machines now.
        healthy: usize,
        /// Those that have to stay.
        required: usize,
    },
    /// As many machines are out as may be at a time.
    #[error("{0} machines are out, no more may be at a time")]
    MaxOut(usize),
}
