//! The reasons why an entry of the log is rejected and changes nothing.

use crate::entry::{MAX_MACHINES_PER_REQUEST, MAX_OPEN_REQUESTS};
use crate::ids::{Fence, PermitNo, RequestNo};

/// Why an entry is not valid in the state to which it is applied. Operators read the texts, and the replicated state
/// contains them in the outcomes of commands, so all versions of the program must word them alike.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Rejection {
    /// The entry's bytes cannot be decoded.
    #[error("it cannot be read: {0}")]
    Unreadable(#[from] postcard::Error),
    /// A request names no machine, or more than [`MAX_MACHINES_PER_REQUEST`].
    #[error("a request names 1 to {MAX_MACHINES_PER_REQUEST} machines")]
    MachineCount,
    /// A request names a machine more than once.
    #[error("it names a machine twice")]
    DuplicateMachine,
    /// A machine's name is empty, or a name or reason is longer than the state keeps.
    #[error("its words are longer than any are")]
    TextLength,
    /// [`MAX_OPEN_REQUESTS`] requests are open already.
    #[error("{MAX_OPEN_REQUESTS} requests are open: close some first")]
    TooManyRequests,
    /// The request is closed, or never existed.
    #[error("there is no open request {0}")]
    UnknownRequest(RequestNo),
    /// Maintenance cannot be resumed because it is not paused.
    #[error("nothing is held")]
    NotPaused,
    /// Another operator works under the permit.
    #[error("{operator} has taken permit {permit}")]
    PermitTaken {
        /// The permit that the entry names.
        permit: PermitNo,
        /// The operator who has taken the permit.
        operator: String,
    },
    /// The permit never existed, or has ended.
    #[error("there is no permit {0}")]
    UnknownPermit(PermitNo),
    /// The permit has been given back already: the machine is returning to service.
    #[error("permit {0} was given back before")]
    AlreadyReturned(PermitNo),
    /// A machine that is kept out cannot be given back as unfit.
    #[error("permit {0} cannot be given back now")]
    NotReturnable(PermitNo),
    /// A coordinator of this term or a later one is known.
    #[error("another carries the work on by now")]
    StaleTerm,
    /// Another coordinator has taken over since the entry was proposed.
    #[error("its number {found} is old, the work is carried on under {current}")]
    StaleFence {
        /// The entry's fencing number.
        found: Fence,
        /// The current coordinator's fencing number.
        current: Fence,
    },
    /// Maintenance is paused, a machine to be taken out is no longer waiting or is out for another request, or too many
    /// machines would be out.
    #[error("it was held, cancelled or taken out meanwhile")]
    NotWaiting,
    /// A permit can be granted only for a machine that is out and has no permit.
    #[error("it is not being emptied")]
    NotOut,
    /// Only a machine that is returning can return to service or be kept out.
    #[error("it is not coming back")]
    NotReturning,
}
