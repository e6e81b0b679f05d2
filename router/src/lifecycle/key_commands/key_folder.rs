//! A key folder: the private keys, and the key set that is published for routers.

use std::path::PathBuf;

use clap::Args;
use serde_json::{json, Value};
use ternpick_identity::key_manager::{KeyManager, PrivateKey, Stage};

use super::error::KeyCommandError;
use super::format_time;

/// The content kind in the header of the private keys' file. Stored files contain it.
const PRIVATE_KEYS_KIND: &str = "private-keys";
/// The name of the file of private keys.
const PRIVATE_KEYS_FILE: &str = "private.keys";
/// The name of the published key set's file.
const PUBLISHED_FILE: &str = "jwks.json";

/// The key folder of a command, and its output format.
#[derive(Args)]
pub(crate) struct KeyFolder {
    /// The folder that holds private.keys and the published jwks.json
    #[arg(long, env = "TERNPICK_KEYS")]
    keys: PathBuf,
    /// Prints the keys as JSON, for scripts
    #[arg(long)]
    pub(super) json: bool,
}

impl KeyFolder {
    /// Loads the private keys; there are none if the file does not exist yet. A file that cannot be read is an error,
    /// so that it is never overwritten.
    pub(super) fn load(&self) -> Result<KeyManager, KeyCommandError> {
        match ternpick_store::load(&self.keys.join(PRIVATE_KEYS_FILE), PRIVATE_KEYS_KIND) {
            Ok(stored) => Ok(serde_json::from_slice(&stored.bytes)?),
            Err(error) if error.is_missing() => Ok(KeyManager::default()),
            Err(error) => Err(error.into()),
        }
    }

    /// Writes the keys as of `now` (seconds). The private keys are written first: the published file can be rebuilt
    /// from them.
    pub(super) fn save(&self, keys: &KeyManager, now: u64) -> Result<(), KeyCommandError> {
        std::fs::create_dir_all(&self.keys).map_err(KeyCommandError::at(&self.keys))?;
        let private = serde_json::to_vec(keys)?;
        ternpick_store::save(
            &self.keys.join(PRIVATE_KEYS_FILE),
            PRIVATE_KEYS_KIND,
            keys.serial,
            now * 1_000_000,
            &private,
        )?;
        let published = serde_json::to_vec_pretty(&keys.public(now)?)?;
        ternpick_store::replace_file(&self.published_file(), &published)?;
        Ok(())
    }

    /// Returns the path of the file that is published for routers.
    pub(super) fn published_file(&self) -> PathBuf {
        self.keys.join(PUBLISHED_FILE)
    }

    /// Prints each key and its stage at `now` (seconds).
    pub(super) fn print(&self, keys: &KeyManager, now: u64) {
        if self.json {
            let rows: Vec<Value> = keys.keys.iter().map(|key| json_row(key, now)).collect();
            println!("{}", json!({"serial": keys.serial, "keys": rows}));
            return;
        }
        for key in &keys.keys {
            let stage = describe_stage(key, now);
            println!("{:<24} {:<6} {stage}", key.id, key.algorithm);
        }
    }
}

fn json_row(key: &PrivateKey, now: u64) -> Value {
    json!({
        "id": key.id,
        "algorithm": key.algorithm,
        "stage": key.stage(now),
        "made": key.made,
        "signs": key.signs,
        "retired": key.retired,
        "until": key.until,
    })
}

fn describe_stage(key: &PrivateKey, now: u64) -> String {
    match key.stage(now) {
        Stage::Published => format!("published, signs from {}", format_time(key.signs)),
        Stage::Signing => "signing".into(),
        Stage::Retired => {
            let until = key.until.map_or_else(|| "-".into(), format_time);
            format!("retired, published until {until}")
        }
        Stage::Gone => "gone".into(),
    }
}
