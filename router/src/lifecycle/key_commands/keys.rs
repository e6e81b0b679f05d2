//! `ternpick keys`: makes, lists and ends the keys that sign tokens.

use std::time::Duration;

use clap::{Args, Subcommand, ValueEnum};
use ring::rand::SystemRandom;
use ternpick_identity::key_manager::KeyManager;
use ternpick_identity::Algorithm;

use super::error::KeyCommandError;
use super::key_folder::KeyFolder;
use super::wall_clock_seconds;

/// The algorithm of a new key.
#[derive(Clone, Copy, ValueEnum)]
pub(crate) enum KeyAlgorithm {
    /// Ed25519
    Eddsa,
    /// ECDSA on P-256
    Es256,
}

impl KeyAlgorithm {
    fn algorithm(self) -> Algorithm {
        match self {
            KeyAlgorithm::Eddsa => Algorithm::EdDsa,
            KeyAlgorithm::Es256 => Algorithm::Es256,
        }
    }
}

/// A key that is to be made.
#[derive(Args)]
pub(crate) struct NewKey {
    /// Its id; made from the time if left out
    #[arg(long)]
    id: Option<String>,
    #[arg(long, value_enum, default_value = "eddsa")]
    kind: KeyAlgorithm,
    /// How long it is published before it signs, so that every router knows it
    #[arg(long, default_value = "30s", value_parser = humantime::parse_duration)]
    lead: Duration,
}

impl NewKey {
    fn id(&self, keys: &KeyManager, now: u64) -> String {
        self.id
            .clone()
            .unwrap_or_else(|| format!("k{now}-{}", keys.serial + 1))
    }
}

/// Commands `ternpick keys ...`.
#[derive(Subcommand)]
pub(crate) enum Keys {
    /// Makes a key; the first signs at once, any further after the lead
    New {
        #[command(flatten)]
        folder: KeyFolder,
        #[command(flatten)]
        key: NewKey,
    },
    /// Lists the keys and what each does now
    List {
        #[command(flatten)]
        folder: KeyFolder,
    },
    /// Ends a key's signing; it stays published for the overlap
    Retire {
        #[command(flatten)]
        folder: KeyFolder,
        id: String,
        /// As long as what it signed may last
        #[arg(long, default_value = "1h", value_parser = humantime::parse_duration)]
        overlap: Duration,
    },
    /// Makes a new key and ends those that sign now, once it does
    Rotate {
        #[command(flatten)]
        folder: KeyFolder,
        #[command(flatten)]
        key: NewKey,
        #[arg(long, default_value = "1h", value_parser = humantime::parse_duration)]
        overlap: Duration,
    },
}

/// Runs a command `ternpick keys ...`.
pub(crate) fn keys(command: Keys) -> Result<(), String> {
    run(command).map_err(|error| error.to_string())
}

fn run(command: Keys) -> Result<(), KeyCommandError> {
    let now = wall_clock_seconds();
    match command {
        Keys::List { folder } => {
            folder.print(&folder.load()?, now);
            Ok(())
        }
        Keys::New { folder, key } => change(&folder, now, |keys| {
            let id = key.id(keys, now);
            let algorithm = key.kind.algorithm();
            let random = SystemRandom::new();
            keys.new_key(&id, algorithm, now, key.lead.as_secs(), &random)?;
            Ok(())
        }),
        Keys::Retire {
            folder,
            id,
            overlap,
        } => change(&folder, now, |keys| {
            keys.retire(&id, now, overlap.as_secs())?;
            Ok(())
        }),
        Keys::Rotate {
            folder,
            key,
            overlap,
        } => change(&folder, now, |keys| {
            let id = key.id(keys, now);
            let algorithm = key.kind.algorithm();
            let lead = key.lead.as_secs();
            let random = SystemRandom::new();
            keys.rotate(&id, algorithm, now, lead, overlap.as_secs(), &random)?;
            Ok(())
        }),
    }
}

/// Changes the keys in a folder, and prints them as they are then stored.
fn change(
    folder: &KeyFolder,
    now: u64,
    edit: impl FnOnce(&mut KeyManager) -> Result<(), KeyCommandError>,
) -> Result<(), KeyCommandError> {
    let mut keys = folder.load()?;
    edit(&mut keys)?;
    folder.save(&keys, now)?;
    folder.print(&folder.load()?, now);
    if !folder.json {
        println!("published in {}", folder.published_file().display());
    }
    Ok(())
}
