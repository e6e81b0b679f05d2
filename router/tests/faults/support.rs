//! What the tests of faults share: a plan by its rules, cases beside each other.

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

/// Cases beside each other; all of them are played, whatever one shows.
pub(crate) fn together<T: FnOnce() + Send + 'static>(cases: impl IntoIterator<Item = T>) {
    let played: Vec<_> = cases.into_iter().map(thread::spawn).collect();
    let failed = played
        .into_iter()
        .map(thread::JoinHandle::join)
        .filter(Result::is_err)
        .count();
    assert_eq!(failed, 0, "cases that failed");
}
