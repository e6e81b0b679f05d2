//! Ids and small words that the files of this package share.

use std::fmt;
use std::rc::Rc;

use serde::Deserialize;
use ternpick::types::Micros;

macro_rules! name {
    ($($(#[$doc:meta])* $name:ident),* $(,)?) => {$(
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Deserialize)]
        pub struct $name(pub Rc<str>);

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                $name(text.into())
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    )*};
}

name! {
    /// A key's id (`kid`).
    KeyId,
    /// A token's id (`jti`).
    TokenId,
    /// Who asks (`sub`).
    Subject,
    /// On whose account.
    Tenant,
    Role,
}

/// What a request does with what an index holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Act {
    Read,
    Set,
    Clear,
}

impl Act {
    pub fn changes(self) -> bool {
        self != Act::Read
    }

    pub fn name(self) -> &'static str {
        match self {
            Act::Read => "read",
            Act::Set => "set",
            Act::Clear => "clear",
        }
    }
}

/// By what a caller proved who he is.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Proof {
    Token {
        key: KeyId,
        id: Option<TokenId>,
    },
    /// A client certificate, by its fingerprint (SHA-256, hexadecimal).
    Certificate(Rc<str>),
}

impl fmt::Display for Proof {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Proof::Token { key, id: Some(id) } => write!(f, "token {id} by key {key}"),
            Proof::Token { key, id: None } => write!(f, "a token by key {key}"),
            Proof::Certificate(fingerprint) => write!(f, "certificate {fingerprint}"),
        }
    }
}

/// Somebody who has proved who he is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Caller {
    pub subject: Subject,
    pub tenant: Tenant,
    pub roles: Vec<Role>,
    pub proof: Proof,
    /// From then on the proof proves nothing, skew included.
    pub until: Micros,
}
