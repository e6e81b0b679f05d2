//! The earlier name of `ternpick-sim`, kept for scripts: runs that program from the same folder with the same arguments.

use std::os::unix::process::CommandExt;
use std::process::{Command, ExitCode};

fn main() -> ExitCode {
    let program = match std::env::current_exe() {
        Ok(path) => path.with_file_name("ternpick-sim"),
        Err(error) => {
            eprintln!("ternpick-lab: cannot find the folder of this program: {error}");
            return ExitCode::FAILURE;
        }
    };
    let error = Command::new(&program)
        .args(std::env::args_os().skip(1))
        .exec();
    eprintln!("ternpick-lab: cannot start {}: {error}", program.display());
    ExitCode::FAILURE
}
