//! The ternpick query router: runs the routing engine of the `ternpick` library on real sockets.

mod fleet;
mod lifecycle;
mod router;
mod stages;
mod state;

#[cfg(test)]
#[path = "../../tests/common/recorded.rs"]
mod recorded;

use std::process::ExitCode;

fn main() -> ExitCode {
    lifecycle::cli::run()
}
