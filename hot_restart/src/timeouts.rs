//! How long each step of a hot restart may take.

use ternpick::types::Micros;

/// How long each step may take. The restart is abandoned when one takes longer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct StepTimeouts {
    /// From the start of the new process until its hello.
    pub hello: Micros,
    /// Each step without a timeout of its own.
    pub step: Micros,
    /// From the listeners until the new process has loaded the state.
    pub ready: Micros,
    /// While the old process drains: the interval of its pings, and the time that each answer may take.
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
