//! Log lines for the entries that matter to an on-call engineer. The router that proposes an entry logs its line.

use crate::entry::Entry;
use crate::operation::OperationKey;

/// The log line for an entry, if it has one.
pub(super) fn log_line(entry: &Entry) -> Option<String> {
    match entry {
        Entry::TakeOut { operations, .. } => {
            let machines = machine_names(operations);
            Some(format!("maintenance: taking {machines} out of service"))
        }
        Entry::GrantPermit { operation, .. } => Some(format!(
            "maintenance: {} is drained, granting its permit",
            operation.machine
        )),
        Entry::ReturnToService { operation, .. } => Some(format!(
            "maintenance: {} serves load again",
            operation.machine
        )),
        Entry::KeepOut { operation, .. } => Some(format!(
            "maintenance: {} did not return to service in time, kept out",
            operation.machine
        )),
        Entry::AutoPause { reason, .. } => Some(format!("maintenance: paused, {reason}")),
        Entry::AutoResume { .. } => Some("maintenance: resumed".into()),
        _ => None,
    }
}

fn machine_names(operations: &[OperationKey]) -> String {
    let names: Vec<&str> = operations.iter().map(|key| key.machine.as_str()).collect();
    names.join(", ")
}
