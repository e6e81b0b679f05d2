//! Callers whose token has been verified already, by the digest of the token: a bounded index whose least used entry
//! gives way. An entry lasts no longer than its token, and leaves at once with its key or its revocation.

use std::num::NonZeroUsize;
use std::rc::Rc;

use lru::LruCache;
use sha2::{Digest, Sha256};
use ternpick::types::Micros;

use crate::names::{Caller, KeyId, Proof};

pub type TokenDigest = [u8; 32];

pub struct Known {
    callers: LruCache<TokenDigest, Rc<Caller>>,
}

pub fn digest(token: &str) -> TokenDigest {
    Sha256::digest(token.as_bytes()).into()
}

impl Known {
    pub fn new(most: usize) -> Self {
        Known {
            callers: LruCache::new(NonZeroUsize::new(most).unwrap_or(NonZeroUsize::MIN)),
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

    pub fn learn(&mut self, token: TokenDigest, caller: &Rc<Caller>) {
        self.callers.put(token, Rc::clone(caller));
    }

    pub fn forget(&mut self, token: &TokenDigest) {
        self.callers.pop(token);
    }

    /// Keys that have left the ring take their tokens with them.
    pub fn forget_keys(&mut self, gone: &[KeyId]) {
        let of_gone = |caller: &Caller| matches!(&caller.proof, Proof::Token { key, .. } if gone.contains(key));
        let tokens: Vec<TokenDigest> = self
            .callers
            .iter()
            .filter(|(_, caller)| of_gone(caller))
            .map(|(token, _)| *token)
            .collect();
        tokens.iter().for_each(|token| self.forget(token));
    }

    pub fn count(&self) -> usize {
        self.callers.len()
    }
}
