//! The client side of the control socket: sends one request and reads its answer. The commands interpret the answer.

use std::io::{BufRead, BufReader, ErrorKind, Write};
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::time::Duration;

use clap::Args;
use serde_json::{json, Value};

/// The router to which a command is sent, and the output format.
#[derive(Args, Clone)]
pub(crate) struct Socket {
    /// The path of the router's control socket (`control.socket` in its settings)
    #[arg(long, env = "TERNPICK_SOCKET")]
    pub(crate) socket: PathBuf,
    /// Prints the answer as JSON, for scripts
    #[arg(long)]
    pub(crate) json: bool,
}

/// Why the control socket could not be bound, or a request could not be answered.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ControlError {
    /// The socket could not be bound, connected to, written or read.
    #[error("control socket {path}: {source}")]
    Socket {
        path: PathBuf,
        source: std::io::Error,
    },
    /// The file with the process id could not be written.
    #[error("{0}")]
    PidFile(#[from] ternpick_store::StoreError),
    /// A line of the answer is not JSON.
    #[error("the router's answer is not JSON: {0}")]
    Answer(#[from] serde_json::Error),
    /// The connection was closed before the last line of the answer.
    #[error("the router closed the connection before the last line of its answer")]
    Closed,
}

impl ControlError {
    /// Returns a function that adds the socket's path to an I/O error.
    pub(super) fn at(path: &Path) -> impl Fn(std::io::Error) -> ControlError + Copy + '_ {
        |source| ControlError::Socket {
            path: path.to_owned(),
            source,
        }
    }
}

impl From<ControlError> for String {
    fn from(error: ControlError) -> String {
        error.to_string()
    }
}

/// Sends a request without a timeout and returns the last line of the answer; `on_progress` gets each line before it.
pub(super) fn request(
    socket: &Path,
    request: &Value,
    on_progress: &mut dyn FnMut(&Value),
) -> Result<Value, ControlError> {
    request_with_timeout(socket, request, None, on_progress)
}

/// Sends a request and returns the last line of its answer; `on_progress` gets each line before it. If the router sends
/// nothing for `timeout`, the outcome of the request is not known, and the returned line has `unknown`.
pub(crate) fn request_with_timeout(
    socket: &Path,
    request: &Value,
    timeout: Option<Duration>,
    on_progress: &mut dyn FnMut(&Value),
) -> Result<Value, ControlError> {
    let at_socket = ControlError::at(socket);
    let mut stream = UnixStream::connect(socket).map_err(at_socket)?;
    stream.set_read_timeout(timeout).map_err(at_socket)?;
    stream
        .write_all(format!("{request}\n").as_bytes())
        .map_err(at_socket)?;
    for line in BufReader::new(stream).lines() {
        if line.as_ref().is_err_and(is_timeout) {
            let line = format!("the router at {} does not answer", socket.display());
            return Ok(json!({"done": true, "ok": false, "unknown": true, "line": line}));
        }
        let answer: Value = serde_json::from_str(&line.map_err(at_socket)?)?;
        if answer["done"] == true {
            return Ok(answer);
        }
        on_progress(&answer);
    }
    Err(ControlError::Closed)
}

fn is_timeout(error: &std::io::Error) -> bool {
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut)
}
