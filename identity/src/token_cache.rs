//! The cache of callers whose token has been verified, by the digest of the token. When it is full, the least recently
//! used entry is evicted. An entry expires with its token, and is removed together with the key of its token. Revocations
//! do not change the cache: they are checked with each request.

use std::num::NonZeroUsize;
use std::rc::Rc;

use lru::LruCache;
use sha2::{Digest, Sha256};
use ternpick::types::Micros;

use crate::names::{Caller, KeyId, Proof};

/// The SHA-256 of a whole token.
pub type TokenDigest = [u8; 32];

/// A bounded cache of verified tokens.
pub struct TokenCache {
    callers: LruCache<TokenDigest, Rc<Caller>>,
}

pub fn digest(token: &str) -> TokenDigest {
    Sha256::digest(token.as_bytes()).into()
}

impl TokenCache {
    pub fn new(capacity: usize) -> Self {
        TokenCache {
            callers: LruCache::new(NonZeroUsize::new(capacity).unwrap_or(NonZeroUsize::MIN)),
        }
    }

    /// Returns the caller of a cached token that has not expired.
    pub fn get(&mut self, now: Micros, token: &TokenDigest) -> Option<Rc<Caller>> {
        let caller = self.callers.get(token)?;
        if caller.until > now {
            return Some(Rc::clone(caller));
        }
        self.callers.pop(token);
        None
    }

    pub fn insert(&mut self, token: TokenDigest, caller: &Rc<Caller>) {
        self.callers.put(token, Rc::clone(caller));
    }

    pub fn remove(&mut self, token: &TokenDigest) {
        self.callers.pop(token);
    }

    /// Removes the tokens signed by keys that are no longer in the key ring.
    pub fn remove_keys(&mut self, removed: &[KeyId]) {
        let signed_by_removed_key = |caller: &Caller| matches!(&caller.proof, Proof::Token { key, .. } if removed.contains(key));
        let tokens: Vec<TokenDigest> = self
            .callers
            .iter()
            .filter(|(_, caller)| signed_by_removed_key(caller))
            .map(|(token, _)| *token)
            .collect();
        tokens.iter().for_each(|token| self.remove(token));
    }

    pub fn count(&self) -> usize {
        self.callers.len()
    }
}
