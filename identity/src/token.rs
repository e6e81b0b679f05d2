//! Verification of signed tokens (JWT, RFC 7519) by the best current practices (RFC 8725): the key determines the
//! algorithm, not the token; no header field can name a source of keys; no claim may appear twice; and a valid signature
//! does not replace the checks of times, issuer and audience.

use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use base64::Engine;
use serde::Deserialize;
use ternpick::types::Micros;

use crate::keys::{KeyError, KeyRing};
use crate::names::{Caller, KeyId, Proof, Role, Tenant, TokenId};
use crate::validity::{accepted_until, is_early};

/// The maximum size of a token. A header line may be twice as long; no valid caller has a longer token.
pub const MAX_TOKEN_BYTES: usize = 8 * 1024;
/// The maximum number of roles in a token.
pub const MAX_ROLES: usize = 64;
/// The maximum size of a name in a token.
const MAX_NAME_BYTES: usize = 256;

/// The requirements on the claims of tokens.
#[derive(Clone, Debug)]
pub struct TokenRequirements {
    pub issuer: String,
    pub audience: String,
    /// The permitted difference between the clocks of the issuer and this machine.
    pub skew: Micros,
    /// The maximum time between a token's issue and its expiry.
    pub max_lifetime: Micros,
}

/// Why a token is refused. The texts are sent to clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TokenError {
    #[error("the token is longer than any is")]
    TooLong,
    #[error("the token is malformed")]
    Malformed,
    #[error("the token's header asks for what is not done here")]
    Header,
    #[error("the token names no key")]
    NoKey,
    #[error("the token's key is not known")]
    UnknownKey,
    #[error("the token's key is not in use yet")]
    KeyNotYet,
    #[error("the token's key is no longer in use")]
    KeyRetired,
    #[error("the token's algorithm is not its key's")]
    Algorithm,
    #[error("the token's signature is wrong")]
    Signature,
    #[error("the token is of another issuer")]
    Issuer,
    #[error("the token is for another audience")]
    Audience,
    #[error("the token has expired")]
    Expired,
    #[error("the token is not valid yet")]
    NotYet,
    #[error("the token is made for longer than is allowed")]
    TooLongLived,
}

/// The header fields that are examined. Tokens that use the fields for another key or for an extension are refused.
#[derive(Deserialize)]
struct Header {
    alg: String,
    kid: Option<String>,
    typ: Option<String>,
    crit: Option<serde_json::Value>,
    jku: Option<serde_json::Value>,
    jwk: Option<serde_json::Value>,
    x5u: Option<serde_json::Value>,
    x5c: Option<serde_json::Value>,
    b64: Option<serde_json::Value>,
    zip: Option<serde_json::Value>,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum OneOrMore {
    One(String),
    More(Vec<String>),
}

#[derive(Deserialize)]
struct Claims {
    iss: String,
    sub: String,
    aud: OneOrMore,
    exp: f64,
    nbf: Option<f64>,
    iat: f64,
    jti: Option<String>,
    tenant: String,
    #[serde(default)]
    roles: Vec<String>,
}

fn decode_part<T: serde::de::DeserializeOwned>(text: &str) -> Result<T, TokenError> {
    let bytes = URL_SAFE_NO_PAD
        .decode(text)
        .map_err(|_| TokenError::Malformed)?;
    // The JSON reader refuses a claim that appears twice.
    serde_json::from_slice(&bytes).map_err(|_| TokenError::Malformed)
}

/// Converts a time in a token (seconds, possibly with a fraction), if it is within the range of plausible times.
fn time(seconds: f64) -> Result<Micros, TokenError> {
    (seconds.is_finite() && (0.0..1e11).contains(&seconds))
        .then_some(Micros((seconds * 1e6) as u64))
        .ok_or(TokenError::Malformed)
}

/// Decodes and verifies a token; returns the caller that it authenticates.
pub fn verify(
    token: &str,
    ring: &KeyRing,
    requirements: &TokenRequirements,
    now: Micros,
) -> Result<Caller, TokenError> {
    if token.len() > MAX_TOKEN_BYTES {
        return Err(TokenError::TooLong);
    }
    let (message, signature) = token.rsplit_once('.').ok_or(TokenError::Malformed)?;
    let (head, claims) = message.split_once('.').ok_or(TokenError::Malformed)?;
    let header: Header = decode_part(head)?;
    let unsupported = [
        &header.crit,
        &header.jku,
        &header.jwk,
        &header.x5u,
        &header.x5c,
        &header.b64,
        &header.zip,
    ];
    let type_allowed = header.typ.as_deref().is_none_or(|typ| {
        let typ = typ.to_ascii_lowercase();
        matches!(typ.trim_start_matches("application/"), "jwt" | "at+jwt")
    });
    if unsupported.iter().any(|field| field.is_some()) || !type_allowed {
        return Err(TokenError::Header);
    }
    let id = KeyId::from(header.kid.as_deref().ok_or(TokenError::NoKey)?);
    let (key, algorithm) = ring.find(now, &id).map_err(|fault| match fault {
        KeyError::Unknown => TokenError::UnknownKey,
        KeyError::NotYet => TokenError::KeyNotYet,
        KeyError::Retired => TokenError::KeyRetired,
    })?;
    if header.alg != algorithm.name() {
        return Err(TokenError::Algorithm);
    }
    let verified = jsonwebtoken::crypto::verify(
        signature,
        message.as_bytes(),
        key,
        algorithm.to_jsonwebtoken(),
    );
    if !verified.unwrap_or(false) {
        return Err(TokenError::Signature);
    }
    check_claims(decode_part(claims)?, id, requirements, now)
}

/// Checks the claims of a token whose signature is valid; returns the caller.
fn check_claims(
    claims: Claims,
    key: KeyId,
    requirements: &TokenRequirements,
    now: Micros,
) -> Result<Caller, TokenError> {
    let (expires, issued) = (time(claims.exp)?, time(claims.iat)?);
    let from = claims.nbf.map_or(Ok(issued), time)?;
    let audience_matches = match &claims.aud {
        OneOrMore::One(audience) => *audience == requirements.audience,
        OneOrMore::More(all) => all.contains(&requirements.audience),
    };
    let is_valid_name = |name: &str| {
        (1..=MAX_NAME_BYTES).contains(&name.len()) && name.chars().all(|c| !c.is_control())
    };
    let names = claims
        .roles
        .iter()
        .chain([&claims.sub, &claims.tenant])
        .chain(&claims.jti);
    let until = accepted_until(expires, requirements.skew);
    let checks = [
        (claims.iss != requirements.issuer, TokenError::Issuer),
        (!audience_matches, TokenError::Audience),
        (
            !names.into_iter().all(|name| is_valid_name(name)) || claims.roles.len() > MAX_ROLES,
            TokenError::Malformed,
        ),
        (until <= now, TokenError::Expired),
        (
            is_early(from.max(issued), now, requirements.skew),
            TokenError::NotYet,
        ),
        (
            expires.since(issued) > requirements.max_lifetime,
            TokenError::TooLongLived,
        ),
    ];
    if let Some((_, fault)) = checks.iter().find(|(fails, _)| *fails) {
        return Err(*fault);
    }
    Ok(Caller {
        subject: claims.sub.as_str().into(),
        tenant: Tenant::from(claims.tenant.as_str()),
        roles: claims
            .roles
            .iter()
            .map(|role| Role::from(role.as_str()))
            .collect(),
        proof: Proof::Token {
            key,
            id: claims.jti.as_deref().map(TokenId::from),
        },
        until,
    })
}
