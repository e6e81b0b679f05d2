//! `ternpick keys`: creates, lists, rotates and retires the keys that sign tokens.

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

/// The options of a new key.
#[derive(Args)]
pub(crate) struct NewKey {
    /// The key's id; generated from the time if left out
    #[arg(long)]
    id: Option<String>,
    /// The signature algorithm
    #[arg(long, value_enum, default_value = "eddsa")]
    kind: KeyAlgorithm,
    /// How long the key is published before it signs, so that every router has read it
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
    /// Creates a key; the first one signs at once, any other after the lead time
    New {
        #[command(flatten)]
        folder: KeyFolder,
        #[command(flatten)]
        key: NewKey,
    },
    /// Lists the keys and their current stages
    List {
        #[command(flatten)]
        folder: KeyFolder,
    },
    /// Stops a key from signing; it stays published for the overlap
    Retire {
        #[command(flatten)]
        folder: KeyFolder,
        /// The key's id
        id: String,
        /// How long the key stays published: at least the lifetime of the tokens that it has signed
        #[arg(long, default_value = "1h", value_parser = humantime::parse_duration)]
        overlap: Duration,
    },
    /// Creates a key, and retires the keys that sign now once the new one signs
    Rotate {
        #[command(flatten)]
        folder: KeyFolder,
        #[command(flatten)]
        key: NewKey,
        /// How long the old keys stay published: at least the lifetime of the tokens that they have signed
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

/// Changes the keys in a folder, and prints the stored result.
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
