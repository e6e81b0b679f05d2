//! The key ring: which keys verify tokens, each with the one algorithm that it is for and the times of its use. Sets
//! of keys (JWKS, RFC 7517) come from a key service that may be late, split in two, or serve half of what it should.

use std::collections::BTreeMap;

use jsonwebtoken::DecodingKey;
use serde::Deserialize;
use ternpick::types::Micros;

use crate::names::KeyId;

/// The most keys of a ring; a set with more is refused.
pub const MAX_KEYS: usize = 64;
/// The longest set, in bytes.
pub const MAX_KEY_SET_BYTES: usize = 64 * 1024;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Algorithm {
    EdDsa,
    Es256,
}

impl Algorithm {
    pub fn name(self) -> &'static str {
        match self {
            Algorithm::EdDsa => "EdDSA",
            Algorithm::Es256 => "ES256",
        }
    }

    pub fn from_name(name: &str) -> Option<Self> {
        [Algorithm::EdDsa, Algorithm::Es256]
            .into_iter()
            .find(|algorithm| algorithm.name() == name)
    }

    pub(crate) fn to_jsonwebtoken(self) -> jsonwebtoken::Algorithm {
        match self {
            Algorithm::EdDsa => jsonwebtoken::Algorithm::EdDSA,
            Algorithm::Es256 => jsonwebtoken::Algorithm::ES256,
        }
    }
}

/// One key of a set, as it is published.
#[derive(Clone)]
pub struct PublishedKey {
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
    pub keys: Vec<PublishedKey>,
    /// Counts up with each change, where the service says it (`ternpick_serial`).
    pub serial: Option<u64>,
    /// Keys that were passed over, and why.
    pub skipped: Vec<String>,
}

#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum KeySetError {
    #[error("the key set is no JSON object with 'keys'")]
    Malformed,
    #[error("the key set has no usable key ({0})")]
    Empty(String),
    #[error("the key set has more than {MAX_KEYS} keys")]
    TooMany,
    #[error("the key set is older than the one in use: serial {received}, {current} is known")]
    Older { received: u64, current: u64 },
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

pub(crate) fn seconds(count: u64) -> Micros {
    Micros(count.saturating_mul(1_000_000))
}

impl KeySet {
    pub fn parse(text: &[u8]) -> Result<KeySet, KeySetError> {
        let read: Jwks = serde_json::from_slice(text).map_err(|_| KeySetError::Malformed)?;
        if read.keys.len() > MAX_KEYS {
            return Err(KeySetError::TooMany);
        }
        let mut set = KeySet {
            serial: read.ternpick_serial,
            ..KeySet::default()
        };
        for (position, value) in read.keys.into_iter().enumerate() {
            let name = value["kid"]
                .as_str()
                .map_or_else(|| format!("key {position}"), |kid| format!("key {kid:?}"));
            match Self::key(value) {
                Ok(key) if set.keys.iter().any(|known| known.id == key.id) => {
                    set.skipped.push(format!("{name} stands twice"));
                }
                Ok(key) => set.keys.push(key),
                Err(reason) => set.skipped.push(format!("{name} {reason}")),
            }
        }
        if set.keys.is_empty() {
            return Err(KeySetError::Empty(set.skipped.join(", ")));
        }
        Ok(set)
    }

    fn key(value: serde_json::Value) -> Result<PublishedKey, &'static str> {
        let key: Jwk = serde_json::from_value(value).map_err(|_| "is malformed")?;
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
        if key.alg.is_some_and(|alg| alg != algorithm.name()) {
            return Err("is for another algorithm than its kind");
        }
        let decoding = decoding.map_err(|_| "has malformed coordinates")?;
        let (from, until) = (
            seconds(key.ternpick_from.unwrap_or(0)),
            key.ternpick_until.map(seconds),
        );
        Ok(PublishedKey {
            id: id.as_str().into(),
            algorithm,
            material,
            decoding,
            from,
            until,
        })
    }
}

struct RingKey {
    key: PublishedKey,
    /// Since when the sets served have lacked it.
    missing_since: Option<Micros>,
}

/// Why a key is not to be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyError {
    Unknown,
    NotYet,
    Retired,
}

/// What a set has changed.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct KeyChanges {
    pub added: Vec<KeyId>,
    pub missing: Vec<KeyId>,
    /// Passed over: the same id with other coordinates.
    pub conflicting: Vec<KeyId>,
}

/// All keys by id. A key leaves when its time is over, or when no set has had it for the time it lingers; a set
/// brings [`MAX_KEYS`] at most, and beyond twice that the longest missed go first.
pub struct KeyRing {
    keys: BTreeMap<KeyId, RingKey>,
    serial: Option<u64>,
    /// How long a key that is no longer served goes on verifying: what it signed just before is still under way, and
    /// two key services that serve different sets by turns must not refuse half of the callers.
    retention: Micros,
}

impl KeyRing {
    pub fn new(retention: Micros) -> Self {
        KeyRing {
            keys: BTreeMap::new(),
            serial: None,
            retention,
        }
    }

    pub fn ids(&self) -> impl Iterator<Item = &KeyId> {
        self.keys.keys()
    }

    pub fn serial(&self) -> Option<u64> {
        self.serial
    }

    /// Takes a set that was served. An older one than the last is refused whole: it would bring retired keys back.
    pub fn update(&mut self, now: Micros, set: &KeySet) -> Result<KeyChanges, KeySetError> {
        if let (Some(received), Some(current)) = (set.serial, self.serial) {
            if received < current {
                return Err(KeySetError::Older { received, current });
            }
        }
        self.serial = set.serial.or(self.serial);
        let mut change = KeyChanges::default();
        for key in &set.keys {
            match self.keys.get_mut(&key.id) {
                Some(ring_key) if ring_key.key.material == key.material => {
                    // Times may be shortened by a later set, and a set that lacks an end does not take one back.
                    let until = key.until.or(ring_key.key.until);
                    *ring_key = RingKey {
                        key: PublishedKey {
                            until,
                            ..key.clone()
                        },
                        missing_since: None,
                    };
                }
                Some(_) => change.conflicting.push(key.id.clone()),
                None => {
                    self.keys.insert(
                        key.id.clone(),
                        RingKey {
                            key: key.clone(),
                            missing_since: None,
                        },
                    );
                    change.added.push(key.id.clone());
                }
            }
        }
        for (id, ring_key) in &mut self.keys {
            if ring_key.missing_since.is_none() && !set.keys.iter().any(|key| key.id == *id) {
                ring_key.missing_since = Some(now);
                change.missing.push(id.clone());
            }
        }
        while self.keys.len() > 2 * MAX_KEYS {
            let longest_missing = self
                .keys
                .iter()
                .filter_map(|(id, ring_key)| Some((ring_key.missing_since?, id)))
                .min();
            let Some(id) = longest_missing.map(|(_, id)| id.clone()) else {
                break;
            };
            self.keys.remove(&id);
        }
        Ok(change)
    }

    /// Takes keys off whose time is over; tells which.
    pub fn remove_expired(&mut self, now: Micros) -> Vec<KeyId> {
        let expired = |ring_key: &RingKey| {
            ring_key.key.until.is_some_and(|until| until <= now)
                || ring_key
                    .missing_since
                    .is_some_and(|since| now.since(since) >= self.retention)
        };
        let removed: Vec<KeyId> = self
            .keys
            .iter()
            .filter(|(_, ring_key)| expired(ring_key))
            .map(|(id, _)| id.clone())
            .collect();
        removed.iter().for_each(|id| drop(self.keys.remove(id)));
        removed
    }

    /// The key of an id, if it verifies at this time.
    pub fn find(&self, now: Micros, id: &KeyId) -> Result<(&DecodingKey, Algorithm), KeyError> {
        let ring_key = self.keys.get(id).ok_or(KeyError::Unknown)?;
        if now < ring_key.key.from {
            return Err(KeyError::NotYet);
        }
        let retired = ring_key.key.until.is_some_and(|until| until <= now)
            || ring_key
                .missing_since
                .is_some_and(|since| now.since(since) >= self.retention);
        if retired {
            return Err(KeyError::Retired);
        }
        Ok((&ring_key.key.decoding, ring_key.key.algorithm))
    }
}
