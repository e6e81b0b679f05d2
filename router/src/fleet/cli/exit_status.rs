//! The exit statuses of commands to routers.

use std::process::ExitCode;

use serde_json::Value;

/// How a command has ended. Scripts rely on the numbers. 2 is clap's, for wrong arguments.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ExitStatus {
    /// 0: done.
    Done,
    /// 1: refused, or not so.
    Refused,
    /// 3: the outcome is unknown: it may be done, may have been done, or may never be.
    Unknown,
    /// 4: nothing was run, because the turn of the request has not come.
    NotYet,
}

impl ExitStatus {
    /// The exit status that a router's answer calls for.
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
