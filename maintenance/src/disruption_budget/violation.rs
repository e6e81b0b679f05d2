//! The limit that forbids taking a machine out of service.

/// A limit that would be broken if a machine were taken out. Operators read the texts.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Violation {
    /// Discovery lists no machine with this name.
    #[error("discovery lists no {0}")]
    Unknown(String),
    /// No other available machine holds this set of shards.
    #[error("it is the only sound holder of set {0}: give that another first")]
    LastHolder(u32),
    /// Too few holders of a set of shards would stay.
    #[error("set {set} has {healthy} sound holders and keeps {required}")]
    Holders {
        /// The set's number.
        set: u32,
        /// The number of its available holders now.
        healthy: usize,
        /// The number that has to stay.
        required: usize,
    },
    /// Too few machines of a zone would stay.
    #[error("zone {zone} has {healthy} sound machines and keeps {required}")]
    Zone {
        /// The zone's number.
        zone: u16,
        /// The number of its available machines now.
        healthy: usize,
        /// The number that has to stay.
        required: usize,
    },
    /// The remaining machines could not serve the load with its reserve.
    #[error("{healthy} machines are sound, the load with its reserve needs {required}")]
    Load {
        /// The number of healthy machines now.
        healthy: usize,
        /// The number that has to stay.
        required: usize,
    },
    /// The maximum number of machines is out already.
    #[error("{0} machines are out, no more may be at a time")]
    MaxOut(usize),
}
