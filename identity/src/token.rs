//! Signed tokens (JWT, RFC 7519), by their best current practice (RFC 8725): the algorithm is the key's and not the
//! token's word, nothing in a token names where a key is to be had, every claim stands once, and times, issuer and
//! audience are checked whatever the signature says.

use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use base64::Engine;
use serde::Deserialize;
use ternpick::types::Micros;

use crate::keys::{KeyFault, KeyRing};
use crate::names::{Caller, KeyId, Proof, Role, Tenant, TokenId};

/// The longest token, in bytes. A header line may be twice as long; what is longer is no caller of ours.
pub const TOKEN_BOUND: usize = 8 * 1024;
/// The most roles of a token.
pub const MOST_ROLES: usize = 64;
/// The longest name in a token, in bytes.
const NAME_BOUND: usize = 256;

/// What tokens must say, and how exactly.
#[derive(Clone, Debug)]
pub struct Wanted {
    pub issuer: String,
    pub audience: String,
    /// So far may the issuer's clock be off.
    pub skew: Micros,
    /// The longest time that a token may be made for.
    pub longest: Micros,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TokenFault {
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

/// Everything in a header that this reader knows of; what asks for another key, or for an extension, is refused.
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

fn part<T: serde::de::DeserializeOwned>(text: &str) -> Result<T, TokenFault> {
    let bytes = URL_SAFE_NO_PAD
        .decode(text)
        .map_err(|_| TokenFault::Malformed)?;
    // A claim that stands twice is an error of the reader's already.
    serde_json::from_slice(&bytes).map_err(|_| TokenFault::Malformed)
}

/// Seconds with a fraction, as tokens word times, within what a clock can show.
fn time(seconds: f64) -> Result<Micros, TokenFault> {
    (seconds.is_finite() && (0.0..1e11).contains(&seconds))
        .then_some(Micros((seconds * 1e6) as u64))
        .ok_or(TokenFault::Malformed)
}

/// Reads a token and verifies it; the caller that it proves comes back.
pub fn open(
    token: &str,
    ring: &KeyRing,
    wanted: &Wanted,
    now: Micros,
) -> Result<Caller, TokenFault> {
    if token.len() > TOKEN_BOUND {
        return Err(TokenFault::TooLong);
    }
    let (message, signature) = token.rsplit_once('.').ok_or(TokenFault::Malformed)?;
    let (head, claims) = message.split_once('.').ok_or(TokenFault::Malformed)?;
    let header: Header = part(head)?;
    let asks = [
        &header.crit,
        &header.jku,
        &header.jwk,
        &header.x5u,
        &header.x5c,
        &header.b64,
        &header.zip,
    ];
    let typed = header.typ.as_deref().is_none_or(|typ| {
        let typ = typ.to_ascii_lowercase();
        matches!(typ.trim_start_matches("application/"), "jwt" | "at+jwt")
    });
    if asks.iter().any(|asked| asked.is_some()) || !typed {
        return Err(TokenFault::Header);
    }
    let id = KeyId::from(header.kid.as_deref().ok_or(TokenFault::NoKey)?);
    let (key, algorithm) = ring.find(now, &id).map_err(|fault| match fault {
        KeyFault::Unknown => TokenFault::UnknownKey,
        KeyFault::NotYet => TokenFault::KeyNotYet,
        KeyFault::Retired => TokenFault::KeyRetired,
    })?;
    if header.alg != algorithm.word() {
        return Err(TokenFault::Algorithm);
    }
    let holds =
        jsonwebtoken::crypto::verify(signature, message.as_bytes(), key, algorithm.of_crate());
    if !holds.unwrap_or(false) {
        return Err(TokenFault::Signature);
    }
    judge(part(claims)?, id, wanted, now)
}

/// What a token says, its signature being right.
fn judge(claims: Claims, key: KeyId, wanted: &Wanted, now: Micros) -> Result<Caller, TokenFault> {
    let (expires, issued) = (time(claims.exp)?, time(claims.iat)?);
    let from = claims.nbf.map_or(Ok(issued), time)?;
    let ours = match &claims.aud {
        OneOrMore::One(audience) => *audience == wanted.audience,
        OneOrMore::More(all) => all.contains(&wanted.audience),
    };
    let named = |name: &str| {
        (1..=NAME_BOUND).contains(&name.len()) && name.chars().all(|c| !c.is_control())
    };
    let names = claims
        .roles
        .iter()
        .chain([&claims.sub, &claims.tenant])
        .chain(&claims.jti);
    let until = expires + wanted.skew;
    let wrong = [
        (claims.iss != wanted.issuer, TokenFault::Issuer),
        (!ours, TokenFault::Audience),
        (
            !names.into_iter().all(|name| named(name)) || claims.roles.len() > MOST_ROLES,
            TokenFault::Malformed,
        ),
        (until <= now, TokenFault::Expired),
        (from.max(issued) > now + wanted.skew, TokenFault::NotYet),
        (
            expires.since(issued) > wanted.longest,
            TokenFault::TooLongLived,
        ),
    ];
    if let Some((_, fault)) = wrong.iter().find(|(wrong, _)| *wrong) {
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
