//! Callers whose token has been verified already, by the digest of the token: a bounded index whose least used entry
//! gives way. An entry lasts no longer than its token, and leaves at once with its key or its revocation.

use std::num::NonZeroUsize;
use std::rc::Rc;

use lru::LruCache;
use sha2::{Digest, Sha256};
use ternpick::types::Micros;

use crate::names::{Caller, KeyId, Proof};

pub type TokenDigest = [u8; 32];

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

    /// Keys that have left the ring take their tokens with them.
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

    pub fn len(&self) -> usize {
        self.callers.len()
    }
}
