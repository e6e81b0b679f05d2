//! The terms on which callers are let in, as settings give them; `identity.cue` is their definition.

use std::collections::BTreeMap;

use serde::Deserialize;
use ternpick::types::Micros;

use crate::names::{Act, Role, Subject, Tenant};

/// The definitions of the settings' record `#Identity`.
pub const DEFINITIONS: &str = include_str!("identity.cue");

#[derive(Clone, Debug, Deserialize)]
pub struct Terms {
    pub issuer: String,
    pub audience: String,
    /// Microseconds, as all times here.
    pub skew: u64,
    pub longest: u64,
    pub known: usize,
    pub keys: Option<KeyTerms>,
    pub revocations: Option<FeedTerms>,
    #[serde(default)]
    pub certificates: Vec<CertificateTerms>,
    #[serde(default)]
    pub tenants: BTreeMap<String, TenantTerms>,
    #[serde(default)]
    pub roles: BTreeMap<String, RoleTerms>,
    #[serde(default)]
    pub delegations: Vec<DelegationTerms>,
    #[serde(default)]
    pub acts: Vec<ActTerms>,
}

/// Where something is had from: a file that is looked at again and again, or a service on HTTP.
#[derive(Clone, Debug, Deserialize)]
pub struct Source {
    pub file: Option<String>,
    pub address: Option<String>,
    pub path: String,
    pub every: u64,
    pub apart: u64,
    pub patience: u64,
    /// Where the last good answer is kept.
    pub kept: Option<String>,
}

#[derive(Clone, Debug, Deserialize)]
pub struct KeyTerms {
    pub from: Source,
    pub lingers: u64,
}

#[derive(Clone, Debug, Deserialize)]
pub struct FeedTerms {
    pub from: Source,
    pub reads_go_on: u64,
    pub changes_go_on: u64,
}

#[derive(Clone, Debug, Deserialize)]
pub struct CertificateTerms {
    pub name: String,
    pub subject: Subject,
    pub tenant: Tenant,
    pub roles: Vec<Role>,
}

#[derive(Clone, Debug, Default, Deserialize)]
pub struct TenantTerms {
    pub roles: Option<Vec<Role>>,
}

#[derive(Clone, Debug, Deserialize)]
pub struct RoleTerms {
    pub grants: Vec<GrantTerms>,
}

#[derive(Clone, Debug, Deserialize)]
pub struct GrantTerms {
    pub index: String,
    pub acts: Vec<Act>,
    pub deny: bool,
}

#[derive(Clone, Debug, Deserialize)]
pub struct DelegationTerms {
    pub subject: Subject,
    pub tenant: Tenant,
    pub roles: Vec<Role>,
    pub until: String,
}

#[derive(Clone, Debug, Deserialize)]
pub struct ActTerms {
    pub index: String,
    pub acts: Vec<Act>,
    pub statement: String,
}

/// Terms that read well but make no sense together.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TermsFault {
    #[error("'{text}' is no time such as 2027-01-31T12:00:00Z")]
    Time { text: String },
    #[error("acts[{at}].statement is no pattern, or one too large")]
    Pattern { at: usize },
    #[error("no tenant is named '{name}'")]
    UnknownTenant { name: String },
    #[error("no role is named '{name}'")]
    UnknownRole { name: String },
    #[error("there are more tenants than can be told apart (65,535)")]
    TooManyTenants,
    #[error("{what}: exactly one of 'file' and 'address' is wanted")]
    Source { what: &'static str },
    #[error("'{text}' is no address and port")]
    Address { text: String },
    #[error("neither 'keys' nor 'certificates' say how a caller may prove who he is")]
    NoProof,
    #[error("'changes_go_on' is longer than 'reads_go_on': setting a tag is to stop first")]
    Graces,
}

/// A time in RFC 3339, UTC.
pub fn time(text: &str) -> Result<Micros, TermsFault> {
    let fault = || TermsFault::Time {
        text: text.to_owned(),
    };
    let at = humantime::parse_rfc3339(text).map_err(|_| fault())?;
    let since = at
        .duration_since(std::time::UNIX_EPOCH)
        .map_err(|_| fault())?;
    Ok(Micros(
        u64::try_from(since.as_micros()).map_err(|_| fault())?,
    ))
}

impl Terms {
    /// What the form cannot say.
    pub fn check(&self) -> Result<(), TermsFault> {
        if self.keys.is_none() && self.certificates.is_empty() {
            return Err(TermsFault::NoProof);
        }
        let keys = self.keys.iter().map(|of| ("keys.from", &of.from));
        let feeds = self
            .revocations
            .iter()
            .map(|of| ("revocations.from", &of.from));
        for (what, of) in keys.chain(feeds) {
            if of.file.is_some() == of.address.is_some() {
                return Err(TermsFault::Source { what });
            }
            if let Some(text) = &of.address {
                let address = text.parse::<std::net::SocketAddr>();
                address.map_err(|_| TermsFault::Address { text: text.clone() })?;
            }
        }
        if self
            .revocations
            .as_ref()
            .is_some_and(|of| of.changes_go_on > of.reads_go_on)
        {
            return Err(TermsFault::Graces);
        }
        for of in &self.certificates {
            if !self.tenants.contains_key(&*of.tenant.0) {
                return Err(TermsFault::UnknownTenant {
                    name: of.tenant.to_string(),
                });
            }
        }
        Ok(())
    }
}
