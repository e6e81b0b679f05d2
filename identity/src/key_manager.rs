//! The other side: making keys and tokens. For operators who have no key service of their own, and for tests. A
//! workshop is a small table of private keys, each first published, then signing, then only published, then gone; the
//! times of these steps are decided here, so that no router meets a token whose key it cannot know yet.

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

#[derive(Debug, thiserror::Error)]
pub enum KeyManagerError {
    #[error("no key signs now: make one with 'keys new', or wait until it begins")]
    NoSigner,
    #[error("no key is named '{0}'")]
    UnknownKey(String),
    #[error("a key named '{0}' is there already")]
    DuplicateId(String),
    #[error("there are {MAX_KEYS} keys already: more are not published")]
    TooMany,
    #[error("'{0}' is the only key that signs; make another first")]
    LastSigner(String),
    #[error("the key table is malformed: {0}")]
    Malformed(String),
    #[error("the system gave no random numbers")]
    NoRandomness,
}

/// One private key. Times in seconds of Unix time, as tokens have them.
#[derive(Clone, Serialize, Deserialize)]
pub struct PrivateKey {
    pub id: String,
    pub algorithm: String,
    /// PKCS #8, base64.
    secret: String,
    /// Published from then on.
    pub made: u64,
    /// Signs from then on.
    pub signs: u64,
    /// Signs no more from then on; published until `until`.
    pub retired: Option<u64>,
    pub until: Option<u64>,
}

/// What a key does at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Stage {
    Published,
    Signing,
    Retired,
    Gone,
}

#[derive(Clone, Default, Serialize, Deserialize)]
pub struct KeyManager {
    pub serial: u64,
    pub keys: Vec<PrivateKey>,
}

/// What a token is to say.
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
    pub fn stage(&self, now: u64) -> Stage {
        match () {
            () if self.until.is_some_and(|until| until <= now) => Stage::Gone,
            () if self.retired.is_some_and(|retired| retired <= now) => Stage::Retired,
            () if self.signs <= now => Stage::Signing,
            () => Stage::Published,
        }
    }

    fn pkcs8(&self) -> Result<Vec<u8>, KeyManagerError> {
        STANDARD
            .decode(&self.secret)
            .map_err(|error| KeyManagerError::Malformed(error.to_string()))
    }

    /// As it is published (JWK).
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
                // 4, x, y: 1 + 32 + 32 bytes.
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
    /// Makes a key that signs after `lead` seconds, in which every router hears of it. The first signs at once.
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
            // `now` is cut to whole seconds: one more makes the lead no shorter than was asked for.
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

    /// A key signs no more from now on, and is published for `overlap` seconds: as long as what it signed may last.
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

    /// A new key, and an end for those that sign now, once it does.
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

    /// Takes off what is published no more.
    pub fn remove_expired(&mut self, now: u64) {
        self.keys.retain(|key| key.stage(now) != Stage::Gone);
    }

    /// The key that signs now: of several the one that began last.
    pub fn signer(&self, now: u64) -> Result<&PrivateKey, KeyManagerError> {
        let signing = self
            .keys
            .iter()
            .filter(|key| key.stage(now) == Stage::Signing);
        signing
            .max_by_key(|key| key.signs)
            .ok_or(KeyManagerError::NoSigner)
    }

    /// The set that key services serve (JWKS).
    pub fn public(&self, now: u64) -> Result<Value, KeyManagerError> {
        let live = self.keys.iter().filter(|key| key.stage(now) != Stage::Gone);
        let keys: Vec<Value> = live.map(PrivateKey::public).collect::<Result<_, _>>()?;
        Ok(json!({"ternpick_serial": self.serial, "keys": keys}))
    }

    /// Signs a token by the key that signs at `now`.
    pub fn mint(&self, claims: &Claims, now: u64) -> Result<String, KeyManagerError> {
        sign(self.signer(now)?, claims)
    }
}

/// Signs by a key whatever its stage; tests make bad tokens so.
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

/// `now` in whole seconds, as this file counts.
pub fn in_seconds(now: Micros) -> u64 {
    now.0 / 1_000_000
}

/// What a token says, unverified.
pub struct UnverifiedToken {
    pub header: Value,
    pub claims: Value,
}

/// Takes a token apart without believing it.
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

/// Whether a token's signature is right by a published set; its issuer, audience and times are not looked at.
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
