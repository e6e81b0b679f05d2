//! Why an entry changes nothing when its turn in the log comes.

use crate::entry::{MAX_MACHINES_PER_REQUEST, MAX_OPEN_REQUESTS};
use crate::ids::{Fence, PermitNo, RequestNo};

/// An entry that no longer fits the state, or never did. The sentences reach operators and are kept with the outcome of
/// a command in the replicated state, so that all versions of the program have to word them alike.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Rejection {
    /// The entry's bytes have another form.
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
    /// [`MAX_OPEN_REQUESTS`] are open.
    #[error("{MAX_OPEN_REQUESTS} requests are open: close some first")]
    TooManyRequests,
    /// The request is closed, or never was.
    #[error("there is no open request {0}")]
    UnknownRequest(RequestNo),
    /// Resuming needs a pause.
    #[error("nothing is held")]
    NotPaused,
    /// Another operator works under the permit.
    #[error("{operator} has taken permit {permit}")]
    PermitTaken {
        /// The permit that was to be taken.
        permit: PermitNo,
        /// Who has taken it.
        operator: String,
    },
    /// The permit never was, or is over.
    #[error("there is no permit {0}")]
    UnknownPermit(PermitNo),
    /// The machine is returning to service already.
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
        /// The coordinator's.
        current: Fence,
    },
    /// Machines that were to go out wait no longer, are out for another request, or too many would be out.
    #[error("it was held, cancelled or taken out meanwhile")]
    NotWaiting,
    /// A permit needs a machine that is out.
    #[error("it is not being emptied")]
    NotOut,
    /// Only a machine that is returning returns to service, or is kept out.
    #[error("it is not coming back")]
    NotReturning,
}
