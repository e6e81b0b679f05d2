//! Creation of keys and tokens, for operators without a key service of their own, and for tests.
//!
//! A [`KeyManager`] is a small table of private keys. Each key is first only published, then signs, is then published
//! without signing (retired), and is finally removed. The key manager sets the times of these stages so that no router
//! receives a token whose key it cannot know yet.

use base64::engine::general_purpose::{STANDARD, URL_SAFE_NO_PAD};
use base64::Engine;
use jsonwebtoken::EncodingKey;
use ring::rand::SecureRandom;
use ring::signature::{EcdsaKeyPair, Ed25519KeyPair, KeyPair, ECDSA_P256_SHA256_FIXED_SIGNING};
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};
use ternpick::types::Micros;

use crate::keys::{Algorithm, KeyRing, KeySet, MAX_KEYS};
use crate::names::KeyId;

/// Why the key manager cannot do what an operator asks for.
#[derive(Debug, thiserror::Error)]
pub enum KeyManagerError {
    #[error(
        "no key signs now: make one with 'keys new', or wait until a published key starts to sign"
    )]
    NoSigner,
    #[error("there is no key with the id '{0}'")]
    UnknownKey(String),
    #[error("there is already a key with the id '{0}'")]
    DuplicateId(String),
    #[error("there are already {MAX_KEYS} keys, the maximum of a key set")]
    TooMany,
    #[error("'{0}' is the only key that signs: make another first")]
    LastSigner(String),
    #[error("the key table is malformed: {0}")]
    Malformed(String),
    #[error("the system's random number generator failed")]
    NoRandomness,
}

/// One private key. All times are in seconds of Unix time, as in tokens.
#[derive(Clone, Serialize, Deserialize)]
pub struct PrivateKey {
    pub id: String,
    pub algorithm: String,
    /// The key in PKCS #8, in base64.
    secret: String,
    /// The time from which the key is published.
    pub made: u64,
    /// The time from which the key signs.
    pub signs: u64,
    /// The time from which the key does not sign any more; it stays published until `until`.
    pub retired: Option<u64>,
    pub until: Option<u64>,
}

/// The stage of a key at a given time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Stage {
    Published,
    Signing,
    Retired,
    Gone,
}

/// The table of private keys.
#[derive(Clone, Default, Serialize, Deserialize)]
pub struct KeyManager {
    /// Increases with each change; published as `ternpick_serial`.
    pub serial: u64,
    pub keys: Vec<PrivateKey>,
}

/// The claims of a token to be signed.
#[derive(Clone, Debug, Serialize)]
pub struct Claims {
    pub iss: String,
    pub aud: String,
    pub sub: String,
    pub tenant: String,
    pub roles: Vec<String>,
    pub jti: String,
    pub iat: u64,
    pub nbf: u64,
    pub exp: u64,
}

impl PrivateKey {
    /// Returns the stage of the key at `now`.
    pub fn stage(&self, now: u64) -> Stage {
        match () {
            () if self.until.is_some_and(|until| until <= now) => Stage::Gone,
            () if self.retired.is_some_and(|retired| retired <= now) => Stage::Retired,
            () if self.signs <= now => Stage::Signing,
            () => Stage::Published,
        }
    }

    /// Decodes the private key.
    fn pkcs8(&self) -> Result<Vec<u8>, KeyManagerError> {
        STANDARD
            .decode(&self.secret)
            .map_err(|error| KeyManagerError::Malformed(error.to_string()))
    }

    /// Returns the public key as published (JWK).
    fn public(&self) -> Result<Value, KeyManagerError> {
        let (pkcs8, encode) = (self.pkcs8()?, |bytes: &[u8]| URL_SAFE_NO_PAD.encode(bytes));
        let malformed =
            |error: ring::error::KeyRejected| KeyManagerError::Malformed(error.to_string());
        let mut key = match Algorithm::from_name(&self.algorithm) {
            Some(Algorithm::EdDsa) => {
                let pair = Ed25519KeyPair::from_pkcs8(&pkcs8).map_err(malformed)?;
                json!({"kty": "OKP", "crv": "Ed25519", "x": encode(pair.public_key().as_ref())})
            }
            Some(Algorithm::Es256) => {
                let random = ring::rand::SystemRandom::new();
                let algorithm = &ECDSA_P256_SHA256_FIXED_SIGNING;
                let pair =
                    EcdsaKeyPair::from_pkcs8(algorithm, &pkcs8, &random).map_err(malformed)?;
                // An uncompressed point: the byte 4, then x and y with 32 bytes each.
                let point = pair.public_key().as_ref();
                json!({"kty": "EC", "crv": "P-256", "x": encode(&point[1..33]), "y": encode(&point[33..])})
            }
            None => {
                return Err(KeyManagerError::Malformed(format!(
                    "algorithm {:?}",
                    self.algorithm
                )))
            }
        };
        key["kid"] = self.id.as_str().into();
        key["alg"] = self.algorithm.as_str().into();
        key["use"] = "sig".into();
        if let Some(until) = self.until {
            key["ternpick_until"] = until.into();
        }
        Ok(key)
    }
}

impl KeyManager {
    /// Creates a key that signs after `lead` seconds, so that every router receives it before. If no key signs now, the
    /// new one signs at once.
    pub fn new_key(
        &mut self,
        id: &str,
        algorithm: Algorithm,
        now: u64,
        lead: u64,
        random: &dyn SecureRandom,
    ) -> Result<&PrivateKey, KeyManagerError> {
        if self.keys.iter().any(|key| key.id == id) {
            return Err(KeyManagerError::DuplicateId(id.to_owned()));
        }
        self.remove_expired(now);
        if self.keys.len() >= MAX_KEYS {
            return Err(KeyManagerError::TooMany);
        }
        let no_randomness = |_| KeyManagerError::NoRandomness;
        let pkcs8 = match algorithm {
            Algorithm::EdDsa => Ed25519KeyPair::generate_pkcs8(random).map_err(no_randomness)?,
            Algorithm::Es256 => {
                EcdsaKeyPair::generate_pkcs8(&ECDSA_P256_SHA256_FIXED_SIGNING, random)
                    .map_err(no_randomness)?
            }
        };
        let signs_at_once = !self.keys.iter().any(|key| key.stage(now) == Stage::Signing);
        self.keys.push(PrivateKey {
            id: id.to_owned(),
            algorithm: algorithm.name().to_owned(),
            secret: STANDARD.encode(pkcs8.as_ref()),
            made: now,
            // `now` is rounded down to whole seconds; the additional second keeps the lead from being shorter than
            // requested.
            signs: if signs_at_once {
                now
            } else {
                now + lead + u64::from(lead > 0)
            },
            retired: None,
            until: None,
        });
        self.serial += 1;
        Ok(&self.keys[self.keys.len() - 1])
    }

    /// Ends the signing of a key now. It stays published for `overlap` seconds, which should be as long as its tokens may
    /// be valid. The only key that signs cannot be retired.
    pub fn retire(&mut self, id: &str, now: u64, overlap: u64) -> Result<(), KeyManagerError> {
        let another_signs = self
            .keys
            .iter()
            .any(|key| key.id != id && key.stage(now) == Stage::Signing);
        let key = self.keys.iter_mut().find(|key| key.id == id);
        let key = key.ok_or_else(|| KeyManagerError::UnknownKey(id.to_owned()))?;
        if key.stage(now) == Stage::Signing && !another_signs {
            return Err(KeyManagerError::LastSigner(id.to_owned()));
        }
        key.retired = Some(key.retired.unwrap_or(now).min(now));
        key.until = Some(key.until.unwrap_or(u64::MAX).min(now + overlap));
        self.serial += 1;
        Ok(())
    }

    /// Creates a key, and ends the signing of all other keys when the new one starts to sign.
    pub fn rotate(
        &mut self,
        id: &str,
        algorithm: Algorithm,
        now: u64,
        lead: u64,
        overlap: u64,
        random: &dyn SecureRandom,
    ) -> Result<&PrivateKey, KeyManagerError> {
        let signs = self.new_key(id, algorithm, now, lead, random)?.signs;
        for key in self
            .keys
            .iter_mut()
            .filter(|key| key.id != id && key.retired.is_none())
        {
            (key.retired, key.until) = (
                Some(signs.max(key.signs)),
                Some(signs.max(key.signs) + overlap),
            );
        }
        Ok(&self.keys[self.keys.len() - 1])
    }

    /// Removes the keys that are not published any more.
    pub fn remove_expired(&mut self, now: u64) {
        self.keys.retain(|key| key.stage(now) != Stage::Gone);
    }

    /// Returns the key that signs now: if several do, the one that started last.
    pub fn signer(&self, now: u64) -> Result<&PrivateKey, KeyManagerError> {
        let signing = self
            .keys
            .iter()
            .filter(|key| key.stage(now) == Stage::Signing);
        signing
            .max_by_key(|key| key.signs)
            .ok_or(KeyManagerError::NoSigner)
    }

    /// Returns the public key set that key services publish (JWKS).
    pub fn public(&self, now: u64) -> Result<Value, KeyManagerError> {
        let live = self.keys.iter().filter(|key| key.stage(now) != Stage::Gone);
        let keys: Vec<Value> = live.map(PrivateKey::public).collect::<Result<_, _>>()?;
        Ok(json!({"ternpick_serial": self.serial, "keys": keys}))
    }

    /// Signs a token with the key that signs at `now`.
    pub fn mint(&self, claims: &Claims, now: u64) -> Result<String, KeyManagerError> {
        sign(self.signer(now)?, claims)
    }
}

/// Signs claims with a key, whatever its stage. Tests use it to make invalid tokens.
pub fn sign(key: &PrivateKey, claims: &impl Serialize) -> Result<String, KeyManagerError> {
    let algorithm = Algorithm::from_name(&key.algorithm);
    let algorithm = algorithm
        .ok_or_else(|| KeyManagerError::Malformed(format!("algorithm {:?}", key.algorithm)))?;
    let mut header = jsonwebtoken::Header::new(algorithm.to_jsonwebtoken());
    header.kid = Some(key.id.clone());
    let pkcs8 = key.pkcs8()?;
    let secret = match algorithm {
        Algorithm::EdDsa => EncodingKey::from_ed_der(&pkcs8),
        Algorithm::Es256 => EncodingKey::from_ec_der(&pkcs8),
    };
    let malformed =
        |error: jsonwebtoken::errors::Error| KeyManagerError::Malformed(error.to_string());
    jsonwebtoken::encode(&header, claims, &secret).map_err(malformed)
}

/// Converts `now` to whole seconds, the unit of this module.
pub fn in_seconds(now: Micros) -> u64 {
    now.0 / 1_000_000
}

/// The content of a token whose signature has not been verified.
pub struct UnverifiedToken {
    pub header: Value,
    pub claims: Value,
}

/// Decodes a token without verifying it.
pub fn inspect(token: &str) -> Result<UnverifiedToken, KeyManagerError> {
    let malformed = || KeyManagerError::Malformed("this is no token".into());
    let parts: Vec<&str> = token.split('.').collect();
    let [header, claims, _] = parts.as_slice() else {
        return Err(malformed());
    };
    let read = |text: &str| {
        let bytes = URL_SAFE_NO_PAD.decode(text).ok()?;
        serde_json::from_slice(&bytes).ok()
    };
    Ok(UnverifiedToken {
        header: read(header).ok_or_else(malformed)?,
        claims: read(claims).ok_or_else(malformed)?,
    })
}

/// Whether a token's signature is valid by a published key set. The issuer, audience and times are not checked.
pub fn verify(token: &str, set: &[u8], now: Micros) -> Result<bool, KeyManagerError> {
    let unverified = inspect(token)?;
    let set = KeySet::parse(set).map_err(|fault| KeyManagerError::Malformed(fault.to_string()))?;
    let mut ring = KeyRing::new(Micros(0));
    let _ = ring.update(now, &set);
    let id = KeyId::from(unverified.header["kid"].as_str().unwrap_or_default());
    let Ok((key, algorithm)) = ring.find(now, &id) else {
        return Ok(false);
    };
    let (message, signature) = token.rsplit_once('.').unwrap_or_default();
    let verified = jsonwebtoken::crypto::verify(
        signature,
        message.as_bytes(),
        key,
        algorithm.to_jsonwebtoken(),
    );
    Ok(unverified.header["alg"] == algorithm.name() && verified.unwrap_or(false))
}
