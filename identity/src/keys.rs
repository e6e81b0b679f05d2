//! The key ring: the keys that verify tokens, each with its only algorithm and its period of use. Key sets (JWKS,
//! RFC 7517) come from a key service that may be late, may consist of instances that serve different sets, or may serve
//! incomplete sets.

use std::collections::BTreeMap;

use jsonwebtoken::DecodingKey;
use serde::Deserialize;
use ternpick::types::Micros;

use crate::names::KeyId;

/// The maximum number of keys in a key set; a larger set is refused.
pub const MAX_KEYS: usize = 64;
/// The maximum size of the document of a key set.
pub const MAX_KEY_SET_BYTES: usize = 64 * 1024;

/// A signature algorithm of tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Algorithm {
    EdDsa,
    Es256,
}

impl Algorithm {
    /// Returns the name in tokens and key sets (`alg`).
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

/// One key of a published key set.
#[derive(Clone)]
pub struct PublishedKey {
    pub id: KeyId,
    pub algorithm: Algorithm,
    /// The public coordinates. A key with the same id and other coordinates is a different key.
    material: String,
    decoding: DecodingKey,
    pub from: Micros,
    pub until: Option<Micros>,
}

/// A key set as received from its source.
#[derive(Clone, Default)]
pub struct KeySet {
    pub keys: Vec<PublishedKey>,
    /// A number that increases with each change of the set, if the service publishes it (`ternpick_serial`).
    pub serial: Option<u64>,
    /// Which published keys are not used, each with the reason.
    pub skipped: Vec<String>,
}

/// Why a key set is not applied.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum KeySetError {
    #[error("the key set is not a JSON object with a list 'keys'")]
    Malformed,
    #[error("the key set has no usable key ({0})")]
    Empty(String),
    #[error("the key set has more than {MAX_KEYS} keys")]
    TooMany,
    #[error("the key set is older than the one in use: it has serial {received}, the one in use has {current}")]
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
    /// The first time at which the key verifies, in seconds of Unix time.
    ternpick_from: Option<u64>,
    /// The time from which the key does not verify any more, in seconds of Unix time.
    ternpick_until: Option<u64>,
}

/// Converts whole seconds.
pub(crate) fn seconds(count: u64) -> Micros {
    Micros(count.saturating_mul(1_000_000))
}

impl KeySet {
    /// Reads a document (JWKS). Unusable keys are skipped; a set without any usable key is an error.
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
                    set.skipped.push(format!("{name} appears more than once"));
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
            return Err("is a private key: it must not be published, revoke it");
        }
        let id = key
            .kid
            .filter(|kid| (1..=128).contains(&kid.len()))
            .ok_or("has no id")?;
        if key.used_for.is_some_and(|usage| usage != "sig") {
            return Err("is not for signatures");
        }
        let x = key.x.ok_or("has no coordinate x")?;
        let (algorithm, decoding, material) = match (key.kty.as_str(), key.crv.as_deref()) {
            ("OKP", Some("Ed25519")) => (Algorithm::EdDsa, DecodingKey::from_ed_components(&x), x),
            ("EC", Some("P-256")) => {
                let y = key.y.ok_or("has no coordinate y")?;
                (
                    Algorithm::Es256,
                    DecodingKey::from_ec_components(&x, &y),
                    format!("{x}.{y}"),
                )
            }
            _ => return Err("has an unsupported type (supported are Ed25519 and P-256)"),
        };
        if key.alg.is_some_and(|alg| alg != algorithm.name()) {
            return Err("has an algorithm that does not match its type");
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

/// A key in the ring.
struct RingKey {
    key: PublishedKey,
    /// Since when the received key sets have not contained the key; none if the last one contained it.
    missing_since: Option<Micros>,
}

/// Why a key cannot verify a token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyError {
    Unknown,
    NotYet,
    Retired,
}

/// The changes of the key ring by a received key set.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct KeyChanges {
    pub added: Vec<KeyId>,
    /// Keys that the set does not contain any more.
    pub missing: Vec<KeyId>,
    /// Keys that were ignored because the ring has a key with the same id and other coordinates.
    pub conflicting: Vec<KeyId>,
}

/// The keys by id. A key is removed when it expires, or when no key set has contained it for the retention time. A key
/// set has at most [`MAX_KEYS`] keys; if the ring holds more than twice as many, those missing for longest are removed.
pub struct KeyRing {
    keys: BTreeMap<KeyId, RingKey>,
    serial: Option<u64>,
    /// How long a key that is no longer published still verifies. Tokens that it signed shortly before are still in use,
    /// and two key services that serve different sets in turn must not cause refusals of half of the callers.
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

    /// Returns the ids of all keys.
    pub fn ids(&self) -> impl Iterator<Item = &KeyId> {
        self.keys.keys()
    }

    /// Returns the serial of the last key set that had one.
    pub fn serial(&self) -> Option<u64> {
        self.serial
    }

    /// Applies a received key set. A set with a smaller serial than the current one is refused as a whole, because it
    /// would reinstate retired keys.
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
                    // A later set may change the time at which the key expires; a set without that time does not
                    // remove it.
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

    /// Removes expired keys and those missing for the retention time; returns their ids.
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

    /// Returns the key with this id, if it may verify tokens at `now`.
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
