//! Runs routing engines for the bench: reads frames of events on standard input, and writes one reply frame of actions
//! for each on standard output. The adapter makes no routing decisions of its own. `deploy/balancer.toml` names it as
//! the program that the bench runs.

mod error;
mod fields;
mod frame;
mod host;
mod protocol;
mod reply;
mod reply_actions;
mod request;

use std::io::{self, BufReader, Write};
use std::process::ExitCode;

use error::AdapterError;

fn run() -> Result<(), AdapterError> {
    let mut input = BufReader::new(io::stdin().lock());
    let mut output = io::stdout().lock();
    let mut host = host::Host::default();
    while let Some(frame) = frame::read(&mut input)? {
        let reply = host.handle_frame(&frame)?;
        output
            .write_all(&reply)
            .and_then(|()| output.flush())
            .map_err(AdapterError::WriteReply)?;
    }
    Ok(())
}

fn main() -> ExitCode {
    // A panic's message goes into the reply frame, so the default hook need not print it on standard error.
    std::panic::set_hook(Box::new(|_| {}));
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("ternpick-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}
