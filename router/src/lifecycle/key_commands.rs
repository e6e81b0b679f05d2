//! Operator commands that need no running router: keys, tokens, revocations and permissions. They write files
//! atomically and readable by their owner only. They never print secrets, except for a token that the operator
//! requests.
//!
//! The command line (`lifecycle::cli`) calls [`keys`], [`token`], [`revoke`] and [`rights`]. An error is one line for
//! the operator. No command of this module connects to a router.

mod error;
mod key_folder;
mod keys;
mod revoke;
mod rights;
mod token;

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use ternpick::types::Micros;

pub(crate) use keys::{keys, Keys};
pub(crate) use revoke::{revoke, Revoke};
pub(crate) use rights::{rights, RightsCommand};
pub(crate) use token::{token, Token};

/// Returns the wall clock time in seconds since the Unix epoch.
fn wall_clock_seconds() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_secs()
}

/// Converts seconds since the epoch to microseconds, the unit of the identity module.
fn as_micros(seconds: u64) -> Micros {
    Micros(seconds * 1_000_000)
}

/// Formats seconds since the epoch as an RFC 3339 time.
fn format_time(seconds: u64) -> String {
    let time = UNIX_EPOCH + Duration::from_secs(seconds);
    humantime::format_rfc3339_seconds(time).to_string()
}
