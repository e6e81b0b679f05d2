//! The exit statuses of commands to routers.

use std::process::ExitCode;

use serde_json::Value;

/// The exit status of a command. Scripts rely on the numbers. clap uses 2 for wrong arguments.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ExitStatus {
    /// 0: done.
    Done,
    /// 1: refused, or the queried condition does not hold.
    Refused,
    /// 3: the outcome is unknown; the command may have taken effect already, may still do so, or may never do so.
    Unknown,
    /// 4: nothing was run, because it was not the request's turn before the timeout.
    NotYet,
}

impl ExitStatus {
    /// Returns the exit status for a router's answer.
    pub(crate) fn of_answer(answer: &Value) -> ExitStatus {
        if answer["ok"] == true {
            ExitStatus::Done
        } else if answer["unknown"] == true {
            ExitStatus::Unknown
        } else {
            ExitStatus::Refused
        }
    }
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> ExitCode {
        match status {
            ExitStatus::Done => ExitCode::SUCCESS,
            ExitStatus::Refused => ExitCode::FAILURE,
            ExitStatus::Unknown => ExitCode::from(3),
            ExitStatus::NotYet => ExitCode::from(4),
        }
    }
}
