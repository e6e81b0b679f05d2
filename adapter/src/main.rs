//! Plays the decision module on the bench's wire: frames on standard input, one reply frame for each on standard
//! output. It decides nothing. `deploy/balancer.toml` names it as the program that the bench runs.

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
    while let Some(batch) = frame::read(&mut input)? {
        let reply = host.play(&batch)?;
        output
            .write_all(&reply)
            .and_then(|()| output.flush())
            .map_err(AdapterError::WriteReply)?;
    }
    Ok(())
}

fn main() -> ExitCode {
    // The text of a panic goes out on the wire.
    std::panic::set_hook(Box::new(|_| {}));
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("ternpick-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}
