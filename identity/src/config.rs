//! The terms on which callers are let in, as settings give them; `identity.cue` is their definition.

use std::collections::BTreeMap;

use serde::Deserialize;
use ternpick::types::Micros;

use crate::names::{Act, Role, Subject, Tenant};

/// The definitions of the settings' record `#Identity`.
pub const DEFINITIONS: &str = include_str!("identity.cue");

#[derive(Clone, Debug, Deserialize)]
pub struct IdentityConfig {
    pub issuer: String,
    pub audience: String,
    /// Microseconds, as all times here.
    pub skew: u64,
    #[serde(rename = "longest")]
    pub max_token_lifetime: u64,
    #[serde(rename = "known")]
    pub token_cache_size: usize,
    pub keys: Option<KeyConfig>,
    pub revocations: Option<FeedConfig>,
    #[serde(default)]
    pub certificates: Vec<CertificateConfig>,
    #[serde(default)]
    pub tenants: BTreeMap<String, TenantConfig>,
    #[serde(default)]
    pub roles: BTreeMap<String, RoleConfig>,
    #[serde(default)]
    pub delegations: Vec<DelegationConfig>,
    #[serde(default)]
    pub acts: Vec<ActConfig>,
}

/// Where something is had from: a file that is looked at again and again, or a service on HTTP.
#[derive(Clone, Debug, Deserialize)]
pub struct SourceConfig {
    pub file: Option<String>,
    pub address: Option<String>,
    pub path: String,
    #[serde(rename = "every")]
    pub poll_interval: u64,
    #[serde(rename = "apart")]
    pub min_poll_interval: u64,
    #[serde(rename = "patience")]
    pub timeout: u64,
    /// Where the last good answer is kept.
    #[serde(rename = "kept")]
    pub stored_copy: Option<String>,
}

#[derive(Clone, Debug, Deserialize)]
pub struct KeyConfig {
    pub from: SourceConfig,
    #[serde(rename = "lingers")]
    pub retention: u64,
}

#[derive(Clone, Debug, Deserialize)]
pub struct FeedConfig {
    pub from: SourceConfig,
    #[serde(rename = "reads_go_on")]
    pub reads_grace: u64,
    #[serde(rename = "changes_go_on")]
    pub changes_grace: u64,
}

#[derive(Clone, Debug, Deserialize)]
pub struct CertificateConfig {
    pub name: String,
    pub subject: Subject,
    pub tenant: Tenant,
    pub roles: Vec<Role>,
}

#[derive(Clone, Debug, Default, Deserialize)]
pub struct TenantConfig {
    pub roles: Option<Vec<Role>>,
}

#[derive(Clone, Debug, Deserialize)]
pub struct RoleConfig {
    pub grants: Vec<GrantConfig>,
}

#[derive(Clone, Debug, Deserialize)]
pub struct GrantConfig {
    pub index: String,
    pub acts: Vec<Act>,
    pub deny: bool,
}

#[derive(Clone, Debug, Deserialize)]
pub struct DelegationConfig {
    pub subject: Subject,
    pub tenant: Tenant,
    pub roles: Vec<Role>,
    pub until: String,
}

#[derive(Clone, Debug, Deserialize)]
pub struct ActConfig {
    pub index: String,
    pub acts: Vec<Act>,
    pub statement: String,
}

/// Terms that read well but make no sense together.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConfigError {
    #[error("'{text}' is no time such as 2027-01-31T12:00:00Z")]
    Time { text: String },
    #[error("acts[{position}].statement is no pattern, or one too large")]
    Pattern { position: usize },
    #[error("no tenant is named '{name}'")]
    UnknownTenant { name: String },
    #[error("no role is named '{name}'")]
    UnknownRole { name: String },
    #[error("there are more tenants than can be told apart (65,535)")]
    TooManyTenants,
    #[error("{setting}: exactly one of 'file' and 'address' is wanted")]
    Source { setting: &'static str },
    #[error("'{text}' is no address and port")]
    Address { text: String },
    #[error("neither 'keys' nor 'certificates' say how a caller may prove who he is")]
    NoAuthentication,
    #[error("'changes_go_on' is longer than 'reads_go_on': setting a tag is to stop first")]
    GracePeriodsReversed,
}

/// A time in RFC 3339, UTC.
pub fn time(text: &str) -> Result<Micros, ConfigError> {
    let fault = || ConfigError::Time {
        text: text.to_owned(),
    };
    let time = humantime::parse_rfc3339(text).map_err(|_| fault())?;
    let since_epoch = time
        .duration_since(std::time::UNIX_EPOCH)
        .map_err(|_| fault())?;
    Ok(Micros(
        u64::try_from(since_epoch.as_micros()).map_err(|_| fault())?,
    ))
}

impl IdentityConfig {
    /// What the form cannot say.
    pub fn check(&self) -> Result<(), ConfigError> {
        if self.keys.is_none() && self.certificates.is_empty() {
            return Err(ConfigError::NoAuthentication);
        }
        let keys = self.keys.iter().map(|of| ("keys.from", &of.from));
        let feeds = self
            .revocations
            .iter()
            .map(|of| ("revocations.from", &of.from));
        for (setting, of) in keys.chain(feeds) {
            if of.file.is_some() == of.address.is_some() {
                return Err(ConfigError::Source { setting });
            }
            if let Some(text) = &of.address {
                let address = text.parse::<std::net::SocketAddr>();
                address.map_err(|_| ConfigError::Address { text: text.clone() })?;
            }
        }
        if self
            .revocations
            .as_ref()
            .is_some_and(|feed| feed.changes_grace > feed.reads_grace)
        {
            return Err(ConfigError::GracePeriodsReversed);
        }
        for of in &self.certificates {
            if !self.tenants.contains_key(&*of.tenant.0) {
                return Err(ConfigError::UnknownTenant {
                    name: of.tenant.to_string(),
                });
            }
        }
        Ok(())
    }
}
