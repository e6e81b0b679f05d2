//! Helpers of the fault tests: a plan made of rules, and cases that run in parallel.

use std::thread;
use std::time::Duration;

use ternpick_fault_injection::{Plan, Rule};

pub(crate) const MS: Duration = Duration::from_millis(1);

pub(crate) fn plan(rules: Vec<Rule>) -> Plan {
    Plan {
        seed: 1,
        rules,
        ..Plan::default()
    }
}

/// Runs cases in parallel. All of them run to their end, even if one fails.
pub(crate) fn run_in_parallel<T: FnOnce() + Send + 'static>(cases: impl IntoIterator<Item = T>) {
    let threads: Vec<_> = cases.into_iter().map(thread::spawn).collect();
    let failed = threads
        .into_iter()
        .map(thread::JoinHandle::join)
        .filter(Result::is_err)
        .count();
    assert_eq!(failed, 0, "number of failed cases");
}
