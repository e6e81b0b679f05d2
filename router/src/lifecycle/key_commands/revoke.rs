//! `ternpick revoke`: adds an entry to the revocation feed that routers read.

use std::io::ErrorKind;
use std::path::{Path, PathBuf};
use std::time::Duration;

use clap::Args;
use serde_json::{json, Value};
use ternpick::types::Micros;
use ternpick_identity::{revocation_kept_until, MAX_SKEW};

use super::error::KeyCommandError;
use super::wall_clock_seconds;

/// The options that name what is revoked; exactly one is given.
#[derive(Args)]
#[group(id = "revoked", required = true, multiple = false)]
pub(crate) struct RevocationOptions {
    /// A token, by its id (jti)
    #[arg(long)]
    token: Option<String>,
    /// All tokens and certificates of a subject
    #[arg(long)]
    subject: Option<String>,
    /// All tokens that a key has signed
    #[arg(long)]
    key: Option<String>,
    /// A certificate, by its SHA-256 fingerprint in hexadecimal
    #[arg(long)]
    certificate: Option<String>,
}

/// The command `ternpick revoke`.
#[derive(Args)]
pub(crate) struct Revoke {
    /// The feed file that routers read
    #[arg(long, env = "TERNPICK_REVOCATIONS")]
    feed: PathBuf,
    #[command(flatten)]
    options: RevocationOptions,
    /// How long the revocation is kept: at least the lifetime of the longest token. It is permanent if left out
    #[arg(long, value_parser = humantime::parse_duration)]
    matters: Option<Duration>,
    /// Lifts the revocation
    #[arg(long)]
    lift: bool,
    /// Prints the new entry as JSON, for scripts
    #[arg(long)]
    json: bool,
}

/// What an entry of the feed revokes.
struct RevocationTarget {
    /// The key of the entry: `token`, `subject`, `key` or `certificate`.
    kind: &'static str,
    name: String,
}

impl RevocationOptions {
    /// Returns what the options name; none if they name nothing.
    fn target(self) -> Option<RevocationTarget> {
        let target = |kind| move |name| RevocationTarget { kind, name };
        let fingerprint = self
            .certificate
            .map(|fingerprint| fingerprint.replace(':', "").to_ascii_lowercase());
        self.token
            .map(target("token"))
            .or(self.subject.map(target("subject")))
            .or(self.key.map(target("key")))
            .or(fingerprint.map(target("certificate")))
    }
}

/// Runs the command `ternpick revoke`.
pub(crate) fn revoke(command: Revoke) -> Result<(), String> {
    run(command).map_err(|error| error.to_string())
}

fn run(command: Revoke) -> Result<(), KeyCommandError> {
    let mut feed = load_feed(&command.feed)?;
    let not_a_feed = || KeyCommandError::NotAFeed {
        path: command.feed.clone(),
    };
    let now = wall_clock_seconds();
    let number = feed["to"].as_u64().ok_or_else(not_a_feed)? + 1;
    let RevocationTarget { kind, name } = command
        .options
        .target()
        .ok_or(KeyCommandError::NothingToRevoke)?;
    let mut entry = json!({"number": number, kind: name});
    if command.lift {
        entry["lifted"] = true.into();
    }
    if let Some(matters) = command.matters {
        entry["until"] = (now + matters.as_secs()).into();
    }
    let entries = feed["entries"].as_array_mut().ok_or_else(not_a_feed)?;
    entries.retain(|entry| has_effect(entry, now));
    entries.push(entry.clone());
    feed["to"] = number.into();
    feed["whole"] = true.into();
    save_feed(&command.feed, &feed)?;
    if command.json {
        println!("{entry}");
        return Ok(());
    }
    let action = if command.lift { "lifted" } else { "revoked" };
    println!("{kind} {name} is {action}, as number {number}");
    Ok(())
}

/// Whether a router may still need an entry at `now`, in seconds of Unix time. The skew in the settings of the routers is
/// not known here.
fn has_effect(entry: &Value, now: u64) -> bool {
    let Some(until) = entry["until"].as_u64() else {
        return true;
    };
    let until = Micros(until.saturating_mul(1_000_000));
    revocation_kept_until(until, MAX_SKEW) > Micros(now.saturating_mul(1_000_000))
}

/// Loads the feed from a file; it is empty if the file does not exist.
fn load_feed(path: &Path) -> Result<Value, KeyCommandError> {
    match std::fs::read(path) {
        Ok(text) => serde_json::from_slice(&text).map_err(|source| KeyCommandError::FileContent {
            path: path.to_owned(),
            source,
        }),
        Err(e) if e.kind() == ErrorKind::NotFound => {
            Ok(json!({"to": 0, "whole": true, "entries": []}))
        }
        Err(e) => Err(KeyCommandError::at(path)(e)),
    }
}

/// Replaces the feed's file. A feed that routers would reject is not written.
fn save_feed(path: &Path, feed: &Value) -> Result<(), KeyCommandError> {
    let text = serde_json::to_vec_pretty(feed)?;
    ternpick_identity::Page::parse(&text)?;
    ternpick_store::replace_file(path, &text)?;
    Ok(())
}
