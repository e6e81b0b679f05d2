//! The commands `ternpick status`, `turns`, `upgrade` and `drain`.

use std::path::PathBuf;
use std::process::{Command, ExitCode};
use std::time::Duration;

use clap::Subcommand;
use serde_json::{json, Value};

use super::client::{request, ControlError, Socket};
use crate::fleet::cli::ExitStatus;

/// Commands to one router.
#[derive(Subcommand)]
pub(crate) enum ControlCommand {
    /// Prints a router's version, its queries in flight, its counters and the state of its nodes
    Status {
        #[command(flatten)]
        socket: Socket,
        /// Prints the status again at this interval (default 1s) until interrupted
        #[arg(long, value_name = "EVERY", num_args = 0..=1, default_missing_value = "1s", value_parser = humantime::parse_duration)]
        watch: Option<Duration>,
    },
    /// Prints as JSON how long tasks ran without yielding, by stage, and how late timers were
    Turns {
        #[command(flatten)]
        socket: Socket,
    },
    /// Replaces the router's process by a new one; exits with 0 once that serves, with 1 if the old process keeps
    /// serving
    Upgrade {
        #[command(flatten)]
        socket: Socket,
        /// The program of the new process; the one that is running if left out
        #[arg(long)]
        program: Option<PathBuf>,
        /// The configuration file of the new process; the current one if left out
        #[arg(long)]
        config: Option<PathBuf>,
        /// The settings file of the new process; the current one if left out
        #[arg(long)]
        settings: Option<PathBuf>,
        /// Only runs the new program's check of the given files
        #[arg(long)]
        dry_run: bool,
    },
    /// Stops a router gracefully: it answers the queries in flight, then exits
    Drain {
        #[command(flatten)]
        socket: Socket,
    },
}

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
enum CommandError {
    #[error(transparent)]
    Control(#[from] ControlError),
    #[error("{path}: {source}")]
    Path {
        path: PathBuf,
        source: std::io::Error,
    },
    #[error("cannot determine the path of this program: {0}")]
    CurrentProgram(std::io::Error),
    #[error("{program} rejects these files")]
    FilesRejected { program: PathBuf },
    /// The router refused the request; this is the line of its answer.
    #[error("{0}")]
    Refused(String),
}

/// The program and files of the new process; for each that is left out, those of the running router are used.
struct LaunchOptions {
    program: Option<PathBuf>,
    config: Option<PathBuf>,
    settings: Option<PathBuf>,
}

/// Runs a command. The error is one line for the operator.
pub(crate) fn run(command: ControlCommand) -> Result<ExitCode, String> {
    let status = match command {
        ControlCommand::Status { socket, watch } => show_status(&socket, watch),
        ControlCommand::Turns { socket } => show_turns(&socket),
        ControlCommand::Drain { socket } => drain(&socket),
        ControlCommand::Upgrade {
            socket,
            program,
            config,
            settings,
            dry_run,
        } => {
            let options = LaunchOptions {
                program,
                config,
                settings,
            };
            upgrade(&socket, options, dry_run)
        }
    };
    status
        .map(ExitCode::from)
        .map_err(|error| error.to_string())
}

fn show_status(socket: &Socket, watch: Option<Duration>) -> Result<ExitStatus, CommandError> {
    loop {
        let answer = request(&socket.socket, &json!({"do": "status"}), &mut |_| ())?;
        if socket.json {
            println!("{}", answer["status"]);
        } else {
            print_status(&answer["status"]);
        }
        match watch {
            Some(interval) => std::thread::sleep(interval),
            None => return Ok(ExitStatus::Done),
        }
    }
}

fn show_turns(socket: &Socket) -> Result<ExitStatus, CommandError> {
    let answer = request(&socket.socket, &json!({"do": "turns"}), &mut |_| ())?;
    println!("{}", answer["turns"]);
    Ok(ExitStatus::Done)
}

fn drain(socket: &Socket) -> Result<ExitStatus, CommandError> {
    let answer = request(&socket.socket, &json!({"do": "drain"}), &mut |_| ())?;
    finish(socket, &answer)
}

fn upgrade(
    socket: &Socket,
    options: LaunchOptions,
    dry_run: bool,
) -> Result<ExitStatus, CommandError> {
    let options = LaunchOptions {
        program: absolute(options.program)?,
        config: absolute(options.config)?,
        settings: absolute(options.settings)?,
    };
    if dry_run {
        return check_files(options);
    }
    let message = json!({"do": "upgrade", "program": options.program, "config": options.config, "settings": options.settings});
    let answer = request(&socket.socket, &message, &mut |step| {
        print_step(socket, step);
    })?;
    finish(socket, &answer)
}

fn print_step(socket: &Socket, step: &Value) {
    if socket.json {
        println!("{step}");
        return;
    }
    let line = step["line"].as_str().unwrap_or_default();
    println!("{:>6} ms  {line}", step["after_ms"]);
}

fn finish(socket: &Socket, answer: &Value) -> Result<ExitStatus, CommandError> {
    let is_done = answer["ok"] == true;
    if socket.json {
        println!("{answer}");
        return Ok(if is_done {
            ExitStatus::Done
        } else {
            ExitStatus::Refused
        });
    }
    let line = answer["line"].as_str().unwrap_or_default();
    if !is_done {
        return Err(CommandError::Refused(line.to_owned()));
    }
    println!("{line}");
    Ok(ExitStatus::Done)
}

fn print_status(status: &Value) {
    let field = |key: &str| text(&status[key]);
    println!(
        "{} {}, process {}, {}",
        field("name"),
        field("version"),
        field("process"),
        field("step")
    );
    println!(
        "queries {} in flight, {} admitted, {} satisfied, {} rejected, {} failed; clients {}, descriptors {} of {}",
        field("lookups"),
        field("taken"),
        field("satisfied"),
        field("nacked"),
        field("aborted"),
        field("clients"),
        field("descriptors"),
        field("descriptors_may")
    );
    println!("endpoint list version {}", field("roster_version"));
    for node in status["nodes"].as_array().into_iter().flatten() {
        print_node(node);
    }
    if let Some(keys) = status["identity"]["keys"].as_array() {
        println!(
            "identity: {} keys, revocations up to {}",
            keys.len(),
            status["identity"]["revocations"]
        );
    }
}

fn print_node(node: &Value) {
    let field = |key: &str| text(&node[key]);
    let suspected = node["doubted"]
        .as_str()
        .map_or_else(String::new, |index| format!(", suspected for {index}"));
    println!(
        "  {:<4} {:<20} {:<22} {:<9} {} ms, {} in flight{suspected}",
        field("node"),
        field("name"),
        field("address"),
        field("phase"),
        field("latency_ms"),
        field("parts_out")
    );
}

/// Formats a string without quotes and any other value as JSON.
fn text(value: &Value) -> String {
    value
        .as_str()
        .map_or_else(|| value.to_string(), str::to_owned)
}

fn absolute(path: Option<PathBuf>) -> Result<Option<PathBuf>, CommandError> {
    let canonical = |path: PathBuf| match std::fs::canonicalize(&path) {
        Ok(absolute) => Ok(absolute),
        Err(source) => Err(CommandError::Path { path, source }),
    };
    path.map(canonical).transpose()
}

/// Runs the new program's check of the files that it would be started with.
fn check_files(options: LaunchOptions) -> Result<ExitStatus, CommandError> {
    let program = match options.program {
        Some(program) => program,
        None => std::env::current_exe().map_err(CommandError::CurrentProgram)?,
    };
    let mut command = Command::new(&program);
    command.arg("check");
    for (flag, path) in [
        ("--config", options.config),
        ("--settings", options.settings),
    ] {
        if let Some(path) = path {
            command.arg(flag).arg(path);
        }
    }
    match command.status() {
        Ok(status) if status.success() => Ok(ExitStatus::Done),
        Ok(_) => Err(CommandError::FilesRejected { program }),
        Err(source) => Err(CommandError::Path {
            path: program,
            source,
        }),
    }
}
