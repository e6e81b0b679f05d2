//! The key ring: which keys verify tokens, each with the one algorithm that it is for and the times of its use. Sets
//! of keys (JWKS, RFC 7517) come from a key service that may be late, split in two, or serve half of what it should.

use std::collections::BTreeMap;

use jsonwebtoken::DecodingKey;
use serde::Deserialize;
use ternpick::types::Micros;

use crate::names::KeyId;

/// The most keys of a ring; a set with more is refused.
pub const MOST_KEYS: usize = 64;
/// The longest set, in bytes.
pub const SET_BOUND: usize = 64 * 1024;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Algorithm {
    EdDsa,
    Es256,
}

impl Algorithm {
    pub fn word(self) -> &'static str {
        match self {
            Algorithm::EdDsa => "EdDSA",
            Algorithm::Es256 => "ES256",
        }
    }

    pub fn named(word: &str) -> Option<Self> {
        [Algorithm::EdDsa, Algorithm::Es256]
            .into_iter()
            .find(|of| of.word() == word)
    }

    pub(crate) fn of_crate(self) -> jsonwebtoken::Algorithm {
        match self {
            Algorithm::EdDsa => jsonwebtoken::Algorithm::EdDSA,
            Algorithm::Es256 => jsonwebtoken::Algorithm::ES256,
        }
    }
}

/// One key of a set, as it is published.
#[derive(Clone)]
pub struct Published {
    pub id: KeyId,
    pub algorithm: Algorithm,
    /// The public coordinates: the same id with others is another key.
    material: String,
    decoding: DecodingKey,
    pub from: Micros,
    pub until: Option<Micros>,
}

/// A set of keys as it was served.
#[derive(Clone, Default)]
pub struct KeySet {
    pub keys: Vec<Published>,
    /// Counts up with each change, where the service says it (`ternpick_serial`).
    pub serial: Option<u64>,
    /// Keys that were passed over, and why.
    pub skipped: Vec<String>,
}

#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum SetFault {
    #[error("the key set is no JSON object with 'keys'")]
    Malformed,
    #[error("the key set has no usable key ({0})")]
    Empty(String),
    #[error("the key set has more than {MOST_KEYS} keys")]
    TooMany,
    #[error("the key set is older than the one in use: serial {got}, {have} is known")]
    Older { got: u64, have: u64 },
}

#[derive(Deserialize)]
struct Jwks {
    keys: Vec<serde_json::Value>,
    ternpick_serial: Option<u64>,
}

#[derive(Deserialize)]
struct Jwk {
    kty: String,
    crv: Option<String>,
    kid: Option<String>,
    alg: Option<String>,
    #[serde(rename = "use")]
    used_for: Option<String>,
    x: Option<String>,
    y: Option<String>,
    d: Option<serde_json::Value>,
    /// Seconds of Unix time.
    ternpick_from: Option<u64>,
    ternpick_until: Option<u64>,
}

pub(crate) fn seconds(of: u64) -> Micros {
    Micros(of.saturating_mul(1_000_000))
}

impl KeySet {
    pub fn parse(text: &[u8]) -> Result<KeySet, SetFault> {
        let read: Jwks = serde_json::from_slice(text).map_err(|_| SetFault::Malformed)?;
        if read.keys.len() > MOST_KEYS {
            return Err(SetFault::TooMany);
        }
        let mut set = KeySet {
            serial: read.ternpick_serial,
            ..KeySet::default()
        };
        for (at, row) in read.keys.into_iter().enumerate() {
            let name = row["kid"]
                .as_str()
                .map_or_else(|| format!("key {at}"), |kid| format!("key {kid:?}"));
            match Self::key(row) {
                Ok(key) if set.keys.iter().any(|known| known.id == key.id) => {
                    set.skipped.push(format!("{name} stands twice"));
                }
                Ok(key) => set.keys.push(key),
                Err(what) => set.skipped.push(format!("{name} {what}")),
            }
        }
        if set.keys.is_empty() {
            return Err(SetFault::Empty(set.skipped.join(", ")));
        }
        Ok(set)
    }

    fn key(row: serde_json::Value) -> Result<Published, &'static str> {
        let key: Jwk = serde_json::from_value(row).map_err(|_| "is malformed")?;
        if key.d.is_some() {
            return Err("is a private one: it must not be published, revoke it");
        }
        let id = key
            .kid
            .filter(|kid| (1..=128).contains(&kid.len()))
            .ok_or("has no id")?;
        if key.used_for.is_some_and(|of| of != "sig") {
            return Err("is not for signatures");
        }
        let x = key.x.ok_or("has no coordinate")?;
        let (algorithm, decoding, material) = match (key.kty.as_str(), key.crv.as_deref()) {
            ("OKP", Some("Ed25519")) => (Algorithm::EdDsa, DecodingKey::from_ed_components(&x), x),
            ("EC", Some("P-256")) => {
                let y = key.y.ok_or("has no second coordinate")?;
                (
                    Algorithm::Es256,
                    DecodingKey::from_ec_components(&x, &y),
                    format!("{x}.{y}"),
                )
            }
            _ => return Err("is of a kind that is not used here (Ed25519 and P-256 are)"),
        };
        if key.alg.is_some_and(|alg| alg != algorithm.word()) {
            return Err("is for another algorithm than its kind");
        }
        let decoding = decoding.map_err(|_| "has malformed coordinates")?;
        let (from, until) = (
            seconds(key.ternpick_from.unwrap_or(0)),
            key.ternpick_until.map(seconds),
        );
        Ok(Published {
            id: id.as_str().into(),
            algorithm,
            material,
            decoding,
            from,
            until,
        })
    }
}

struct Held {
    key: Published,
    /// Since when the sets served have lacked it.
    missed: Option<Micros>,
}

/// Why a key is not to be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyFault {
    Unknown,
    NotYet,
    Retired,
}

/// What a set has changed.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Change {
    pub came: Vec<KeyId>,
    pub missed: Vec<KeyId>,
    /// Passed over: the same id with other coordinates.
    pub clashed: Vec<KeyId>,
}

/// All keys by id. A key leaves when its time is over, or when no set has had it for the time it lingers; a set
/// brings [`MOST_KEYS`] at most, and beyond twice that the longest missed go first.
pub struct KeyRing {
    held: BTreeMap<KeyId, Held>,
    serial: Option<u64>,
    /// How long a key that is no longer served goes on verifying: what it signed just before is still under way, and
    /// two key services that serve different sets by turns must not refuse half of the callers.
    lingers: Micros,
}

impl KeyRing {
    pub fn new(lingers: Micros) -> Self {
        KeyRing {
            held: BTreeMap::new(),
            serial: None,
            lingers,
        }
    }

    pub fn ids(&self) -> impl Iterator<Item = &KeyId> {
        self.held.keys()
    }

    pub fn serial(&self) -> Option<u64> {
        self.serial
    }

    /// Takes a set that was served. An older one than the last is refused whole: it would bring retired keys back.
    pub fn told_of(&mut self, now: Micros, set: &KeySet) -> Result<Change, SetFault> {
        if let (Some(got), Some(have)) = (set.serial, self.serial) {
            if got < have {
                return Err(SetFault::Older { got, have });
            }
        }
        self.serial = set.serial.or(self.serial);
        let mut change = Change::default();
        for key in &set.keys {
            match self.held.get_mut(&key.id) {
                Some(held) if held.key.material == key.material => {
                    // Times may be shortened by a later set, and a set that lacks an end does not take one back.
                    let until = key.until.or(held.key.until);
                    *held = Held {
                        key: Published {
                            until,
                            ..key.clone()
                        },
                        missed: None,
                    };
                }
                Some(_) => change.clashed.push(key.id.clone()),
                None => {
                    self.held.insert(
                        key.id.clone(),
                        Held {
                            key: key.clone(),
                            missed: None,
                        },
                    );
                    change.came.push(key.id.clone());
                }
            }
        }
        for (id, held) in &mut self.held {
            if held.missed.is_none() && !set.keys.iter().any(|key| key.id == *id) {
                held.missed = Some(now);
                change.missed.push(id.clone());
            }
        }
        while self.held.len() > 2 * MOST_KEYS {
            let longest = self
                .held
                .iter()
                .filter_map(|(id, held)| Some((held.missed?, id)))
                .min();
            let Some(id) = longest.map(|(_, id)| id.clone()) else {
                break;
            };
            self.held.remove(&id);
        }
        Ok(change)
    }

    /// Takes keys off whose time is over; tells which.
    pub fn elapsed(&mut self, now: Micros) -> Vec<KeyId> {
        let over = |held: &Held| {
            held.key.until.is_some_and(|until| until <= now)
                || held
                    .missed
                    .is_some_and(|since| now.since(since) >= self.lingers)
        };
        let gone: Vec<KeyId> = self
            .held
            .iter()
            .filter(|(_, held)| over(held))
            .map(|(id, _)| id.clone())
            .collect();
        gone.iter().for_each(|id| drop(self.held.remove(id)));
        gone
    }

    /// The key of an id, if it verifies at this time.
    pub fn find(&self, now: Micros, id: &KeyId) -> Result<(&DecodingKey, Algorithm), KeyFault> {
        let held = self.held.get(id).ok_or(KeyFault::Unknown)?;
        if now < held.key.from {
            return Err(KeyFault::NotYet);
        }
        let retired = held.key.until.is_some_and(|until| until <= now)
            || held
                .missed
                .is_some_and(|since| now.since(since) >= self.lingers);
        if retired {
            return Err(KeyFault::Retired);
        }
        Ok((&held.key.decoding, held.key.algorithm))
    }
}
