//! Commands for operators beside the router: keys, tokens, revocations and permissions. They write files atomically,
//! readable by their owner alone. Secrets are never printed but for the token that was asked for.
//!
//! The command line (`lifecycle::cli`) calls [`keys`], [`token`], [`revoke`] and [`rights`]; an error is one line for the
//! operator. No command here speaks to a router.

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

/// The wall clock's seconds since the epoch.
fn wall_clock_seconds() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_secs()
}

/// Seconds since the epoch as the time that the identity module takes.
fn as_micros(seconds: u64) -> Micros {
    Micros(seconds * 1_000_000)
}

/// Seconds since the epoch as people read them (RFC 3339).
fn format_time(seconds: u64) -> String {
    let time = UNIX_EPOCH + Duration::from_secs(seconds);
    humantime::format_rfc3339_seconds(time).to_string()
}
