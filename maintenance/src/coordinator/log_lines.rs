//! One line for each entry that an on-call engineer wants to know of. The router that proposes the entry logs it.

use crate::entry::Entry;
use crate::operation::OperationKey;

/// The line for an entry, if it has one.
pub(super) fn log_line(entry: &Entry) -> Option<String> {
    match entry {
        Entry::TakeOut { operations, .. } => {
            Some(format!("works: {} to go out", machine_names(operations)))
        }
        Entry::GrantPermit { operation, .. } => {
            Some(format!("works: {} is quiet", operation.machine))
        }
        Entry::ReturnToService { operation, .. } => {
            Some(format!("works: {} bears load again", operation.machine))
        }
        Entry::KeepOut { operation, .. } => Some(format!(
            "works: {} does not come back in time, kept out",
            operation.machine
        )),
        Entry::AutoPause { reason, .. } => Some(format!("works: held, {reason}")),
        Entry::AutoResume { .. } => Some("works: goes on".into()),
        _ => None,
    }
}

fn machine_names(operations: &[OperationKey]) -> String {
    let names: Vec<&str> = operations.iter().map(|key| key.machine.as_str()).collect();
    names.join(", ")
}
