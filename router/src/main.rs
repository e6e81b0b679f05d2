//! The ternpick query router: the decisions of the `ternpick` library on real sockets.

mod fleet;
mod lifecycle;
mod router;
mod stages;
mod state;

use std::process::ExitCode;

fn main() -> ExitCode {
    lifecycle::cli::run()
}
