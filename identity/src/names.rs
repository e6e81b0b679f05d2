//! Ids, acts and callers: types that the modules of this package share.

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
    /// The id of a key (`kid`).
    KeyId,
    /// The id of a token (`jti`).
    TokenId,
    /// The authenticated subject of a caller (`sub`).
    Subject,
    /// The tenant on whose behalf a request is made.
    Tenant,
    /// A role, which holds grants.
    Role,
}

/// What a request does with the content of an index.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Act {
    Read,
    Set,
    Clear,
}

impl Act {
    /// Whether the act modifies the index.
    pub fn changes(self) -> bool {
        self != Act::Read
    }

    /// The name in settings, messages and the audit log.
    pub fn name(self) -> &'static str {
        match self {
            Act::Read => "read",
            Act::Set => "set",
            Act::Clear => "clear",
        }
    }
}

/// The credential by which a caller was authenticated.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Proof {
    Token {
        key: KeyId,
        id: Option<TokenId>,
    },
    /// The fingerprint of a client certificate (SHA-256 in hexadecimal).
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

/// An authenticated caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Caller {
    pub subject: Subject,
    pub tenant: Tenant,
    pub roles: Vec<Role>,
    pub proof: Proof,
    /// When the credential expires, including the permitted clock skew.
    pub until: Micros,
}
