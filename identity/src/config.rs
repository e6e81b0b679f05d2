//! The settings of authentication and authorization. `identity.cue` defines their format.

use std::collections::BTreeMap;

use serde::Deserialize;
use ternpick::types::Micros;

use crate::names::{Act, Role, Subject, Tenant};

/// The definitions of the settings in the record `#Identity`.
pub const DEFINITIONS: &str = include_str!("identity.cue");

/// The settings of authentication and authorization. All durations are in microseconds.
#[derive(Clone, Debug, Deserialize)]
pub struct IdentityConfig {
    pub issuer: String,
    pub audience: String,
    /// The permitted difference between the clocks of the issuer and this machine.
    pub skew: u64,
    /// The maximum time between a token's issue and its expiry.
    #[serde(rename = "longest")]
    pub max_token_lifetime: u64,
    /// The maximum number of cached tokens.
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

/// A source of documents: a file that is read regularly, or an HTTP service.
#[derive(Clone, Debug, Deserialize)]
pub struct SourceConfig {
    pub file: Option<String>,
    pub address: Option<String>,
    pub path: String,
    /// The regular time between two polls.
    #[serde(rename = "every")]
    pub poll_interval: u64,
    /// The minimum time between two polls.
    #[serde(rename = "apart")]
    pub min_poll_interval: u64,
    /// The maximum duration of one request.
    #[serde(rename = "patience")]
    pub timeout: u64,
    /// The file in which the last usable document is stored.
    #[serde(rename = "kept")]
    pub stored_copy: Option<String>,
}

/// The settings of the keys that verify tokens.
#[derive(Clone, Debug, Deserialize)]
pub struct KeyConfig {
    pub from: SourceConfig,
    /// How long a key that is no longer published still verifies.
    #[serde(rename = "lingers")]
    pub retention: u64,
}

/// The settings of the revocation feed.
#[derive(Clone, Debug, Deserialize)]
pub struct FeedConfig {
    pub from: SourceConfig,
    /// How long after the last page requests that read are allowed.
    #[serde(rename = "reads_go_on")]
    pub reads_grace: u64,
    /// How long after the last page requests that set or clear are allowed.
    #[serde(rename = "changes_go_on")]
    pub changes_grace: u64,
}

/// Maps a name in client certificates to a caller.
#[derive(Clone, Debug, Deserialize)]
pub struct CertificateConfig {
    pub name: String,
    pub subject: Subject,
    pub tenant: Tenant,
    pub roles: Vec<Role>,
}

/// A tenant, and the roles that its callers may have; without them, any.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct TenantConfig {
    pub roles: Option<Vec<Role>>,
}

/// A role with its grants.
#[derive(Clone, Debug, Deserialize)]
pub struct RoleConfig {
    pub grants: Vec<GrantConfig>,
}

/// Grants, or denies, acts on an index.
#[derive(Clone, Debug, Deserialize)]
pub struct GrantConfig {
    pub index: String,
    pub acts: Vec<Act>,
    pub deny: bool,
}

/// Permits a subject to act on behalf of a tenant until a time (RFC 3339).
#[derive(Clone, Debug, Deserialize)]
pub struct DelegationConfig {
    pub subject: Subject,
    pub tenant: Tenant,
    pub roles: Vec<Role>,
    pub until: String,
}

/// A regular expression for statements of an index, and the acts of the statements that match.
#[derive(Clone, Debug, Deserialize)]
pub struct ActConfig {
    pub index: String,
    pub acts: Vec<Act>,
    pub statement: String,
}

/// Settings that match the format, but are invalid or contradict each other.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConfigError {
    #[error("'{text}' is not a time such as 2027-01-31T12:00:00Z")]
    Time { text: String },
    #[error("acts[{position}].statement is not a valid regular expression, or too large")]
    Pattern { position: usize },
    #[error("there is no tenant with the name '{name}'")]
    UnknownTenant { name: String },
    #[error("there is no role with the name '{name}'")]
    UnknownRole { name: String },
    #[error("there are more than 65,535 tenants")]
    TooManyTenants,
    #[error("{setting}: exactly one of 'file' and 'address' is required")]
    Source { setting: &'static str },
    #[error("'{text}' is not an IP address and port")]
    Address { text: String },
    #[error("neither 'keys' nor 'certificates' are configured: no caller could be authenticated")]
    NoAuthentication,
    #[error("'changes_go_on' is longer than 'reads_go_on': requests that change something must be refused first")]
    GracePeriodsReversed,
}

/// Reads a time in RFC 3339, in UTC.
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
    /// Checks the rules that the definitions in `identity.cue` cannot express.
    pub fn check(&self) -> Result<(), ConfigError> {
        if self.keys.is_none() && self.certificates.is_empty() {
            return Err(ConfigError::NoAuthentication);
        }
        let keys = self.keys.iter().map(|keys| ("keys.from", &keys.from));
        let feeds = self
            .revocations
            .iter()
            .map(|feed| ("revocations.from", &feed.from));
        for (setting, source) in keys.chain(feeds) {
            if source.file.is_some() == source.address.is_some() {
                return Err(ConfigError::Source { setting });
            }
            if let Some(text) = &source.address {
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
        for certificate in &self.certificates {
            if !self.tenants.contains_key(&*certificate.tenant.0) {
                return Err(ConfigError::UnknownTenant {
                    name: certificate.tenant.to_string(),
                });
            }
        }
        Ok(())
    }
}
