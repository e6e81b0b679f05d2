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

use crate::keys::{Algorithm, KeyRing, KeySet, MOST_KEYS};
use crate::names::KeyId;

#[derive(Debug, thiserror::Error)]
pub enum KeyManagerError {
    #[error("no key signs now: make one with 'keys new', or wait until it begins")]
    NoSigner,
    #[error("no key is named '{0}'")]
    Unknown(String),
    #[error("a key named '{0}' is there already")]
    Doubled(String),
    #[error("there are {MOST_KEYS} keys already: more are not published")]
    TooMany,
    #[error("'{0}' is the only key that signs; make another first")]
    Last(String),
    #[error("the key table is spoilt: {0}")]
    Spoilt(String),
    #[error("the system gave no random numbers")]
    NoChance,
}

/// One private key. Times in seconds of Unix time, as tokens have them.
#[derive(Clone, Serialize, Deserialize)]
pub struct OwnKey {
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
    pub keys: Vec<OwnKey>,
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

impl OwnKey {
    pub fn stage(&self, now: u64) -> Stage {
        match () {
            () if self.until.is_some_and(|until| until <= now) => Stage::Gone,
            () if self.retired.is_some_and(|retired| retired <= now) => Stage::Retired,
            () if self.signs <= now => Stage::Signing,
            () => Stage::Published,
        }
    }

    fn document(&self) -> Result<Vec<u8>, KeyManagerError> {
        STANDARD
            .decode(&self.secret)
            .map_err(|error| KeyManagerError::Spoilt(error.to_string()))
    }

    /// As it is published (JWK).
    fn public(&self) -> Result<Value, KeyManagerError> {
        let (document, encode) = (self.document()?, |bytes: &[u8]| {
            URL_SAFE_NO_PAD.encode(bytes)
        });
        let spoilt = |error: ring::error::KeyRejected| KeyManagerError::Spoilt(error.to_string());
        let mut key = match Algorithm::named(&self.algorithm) {
            Some(Algorithm::EdDsa) => {
                let pair = Ed25519KeyPair::from_pkcs8(&document).map_err(spoilt)?;
                json!({"kty": "OKP", "crv": "Ed25519", "x": encode(pair.public_key().as_ref())})
            }
            Some(Algorithm::Es256) => {
                let random = ring::rand::SystemRandom::new();
                let of = &ECDSA_P256_SHA256_FIXED_SIGNING;
                let pair = EcdsaKeyPair::from_pkcs8(of, &document, &random).map_err(spoilt)?;
                // 4, x, y: 1 + 32 + 32 bytes.
                let point = pair.public_key().as_ref();
                json!({"kty": "EC", "crv": "P-256", "x": encode(&point[1..33]), "y": encode(&point[33..])})
            }
            None => {
                return Err(KeyManagerError::Spoilt(format!(
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
    ) -> Result<&OwnKey, KeyManagerError> {
        if self.keys.iter().any(|key| key.id == id) {
            return Err(KeyManagerError::Doubled(id.to_owned()));
        }
        self.elapsed(now);
        if self.keys.len() >= MOST_KEYS {
            return Err(KeyManagerError::TooMany);
        }
        let no_chance = |_| KeyManagerError::NoChance;
        let document = match algorithm {
            Algorithm::EdDsa => Ed25519KeyPair::generate_pkcs8(random).map_err(no_chance)?,
            Algorithm::Es256 => {
                EcdsaKeyPair::generate_pkcs8(&ECDSA_P256_SHA256_FIXED_SIGNING, random)
                    .map_err(no_chance)?
            }
        };
        let first = !self.keys.iter().any(|key| key.stage(now) == Stage::Signing);
        self.keys.push(OwnKey {
            id: id.to_owned(),
            algorithm: algorithm.word().to_owned(),
            secret: STANDARD.encode(document.as_ref()),
            made: now,
            // `now` is cut to whole seconds: one more makes the lead no shorter than was asked for.
            signs: if first {
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
        let others = self
            .keys
            .iter()
            .any(|key| key.id != id && key.stage(now) == Stage::Signing);
        let key = self.keys.iter_mut().find(|key| key.id == id);
        let key = key.ok_or_else(|| KeyManagerError::Unknown(id.to_owned()))?;
        if key.stage(now) == Stage::Signing && !others {
            return Err(KeyManagerError::Last(id.to_owned()));
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
    ) -> Result<&OwnKey, KeyManagerError> {
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
    pub fn elapsed(&mut self, now: u64) {
        self.keys.retain(|key| key.stage(now) != Stage::Gone);
    }

    /// The key that signs now: of several the one that began last.
    pub fn signer(&self, now: u64) -> Result<&OwnKey, KeyManagerError> {
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
        let keys: Vec<Value> = live.map(OwnKey::public).collect::<Result<_, _>>()?;
        Ok(json!({"ternpick_serial": self.serial, "keys": keys}))
    }

    /// Signs a token by the key that signs at `now`.
    pub fn mint(&self, claims: &Claims, now: u64) -> Result<String, KeyManagerError> {
        sign(self.signer(now)?, claims)
    }
}

/// Signs by a key whatever its stage; tests make bad tokens so.
pub fn sign(key: &OwnKey, claims: &impl Serialize) -> Result<String, KeyManagerError> {
    let algorithm = Algorithm::named(&key.algorithm);
    let algorithm = algorithm
        .ok_or_else(|| KeyManagerError::Spoilt(format!("algorithm {:?}", key.algorithm)))?;
    let mut header = jsonwebtoken::Header::new(algorithm.of_crate());
    header.kid = Some(key.id.clone());
    let document = key.document()?;
    let secret = match algorithm {
        Algorithm::EdDsa => EncodingKey::from_ed_der(&document),
        Algorithm::Es256 => EncodingKey::from_ec_der(&document),
    };
    let spoilt = |error: jsonwebtoken::errors::Error| KeyManagerError::Spoilt(error.to_string());
    jsonwebtoken::encode(&header, claims, &secret).map_err(spoilt)
}

/// `now` in whole seconds, as this file counts.
pub fn in_seconds(now: Micros) -> u64 {
    now.0 / 1_000_000
}

/// What a token says, unverified.
pub struct Seen {
    pub header: Value,
    pub claims: Value,
}

/// Takes a token apart without believing it.
pub fn inspect(token: &str) -> Result<Seen, KeyManagerError> {
    let spoilt = || KeyManagerError::Spoilt("this is no token".into());
    let parts: Vec<&str> = token.split('.').collect();
    let [header, claims, _] = parts.as_slice() else {
        return Err(spoilt());
    };
    let read = |text: &str| {
        let bytes = URL_SAFE_NO_PAD.decode(text).ok()?;
        serde_json::from_slice(&bytes).ok()
    };
    Ok(Seen {
        header: read(header).ok_or_else(spoilt)?,
        claims: read(claims).ok_or_else(spoilt)?,
    })
}

/// Whether a token's signature is right by a published set; its issuer, audience and times are not looked at.
pub fn verify(token: &str, set: &[u8], now: Micros) -> Result<bool, KeyManagerError> {
    let seen = inspect(token)?;
    let set = KeySet::parse(set).map_err(|fault| KeyManagerError::Spoilt(fault.to_string()))?;
    let mut ring = KeyRing::new(Micros(0));
    let _ = ring.told_of(now, &set);
    let id = KeyId::from(seen.header["kid"].as_str().unwrap_or_default());
    let Ok((key, algorithm)) = ring.find(now, &id) else {
        return Ok(false);
    };
    let (message, signature) = token.rsplit_once('.').unwrap_or_default();
    let right =
        jsonwebtoken::crypto::verify(signature, message.as_bytes(), key, algorithm.of_crate());
    Ok(seen.header["alg"] == algorithm.word() && right.unwrap_or(false))
}
