//! Plays the decision module on the bench's wire: frames on standard input, one reply frame each on standard output.

mod frame;
mod host;

use std::io::{self, BufReader, Write};
use std::process::ExitCode;

fn run() -> Result<(), frame::BadFrame> {
    let mut input = BufReader::new(io::stdin().lock());
    let mut output = io::stdout().lock();
    let mut host = host::Host::default();
    while let Some(batch) = frame::read(&mut input)? {
        let reply = host.play(&batch)?;
        output
            .write_all(&reply)
            .and_then(|()| output.flush())
            .map_err(|e| format!("cannot write a reply: {e}"))?;
    }
    Ok(())
}

fn main() -> ExitCode {
    // The text of a panic goes out on the wire.
    std::panic::set_hook(Box::new(|_| {}));
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(what) => {
            eprintln!("ternpick-adapter: {what}");
            ExitCode::FAILURE
        }
    }
}
