//! How long each step of a hot restart may take.

use ternpick::types::Micros;

/// The maximum duration of each step. The restart is abandoned when a step takes longer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct StepTimeouts {
    /// The time from the start of the new process until its hello.
    pub hello: Micros,
    /// The duration of each step that has no timeout of its own.
    pub step: Micros,
    /// The time from passing the listeners until the new process has loaded the state.
    pub ready: Micros,
    /// The interval of the old process's pings while it drains, and the time that the answer to each may take.
    pub silence: Micros,
}

impl Default for StepTimeouts {
    fn default() -> Self {
        let seconds = |count: u64| Micros(count * 1_000_000);
        StepTimeouts {
            hello: seconds(10),
            step: seconds(3),
            ready: seconds(10),
            silence: seconds(3),
        }
    }
}
