//! The router's own settings: typed records of a CUE file beside what the platform hands over. Without a file everything
//! here is off.
//!
//! Read at the start, at each reload and by `ternpick check`. Field names follow the keys of the file where other modules use
//! them. Durations are in microseconds.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use serde::Deserialize;
use serde_json::Value;
use ternpick_identity::IdentityConfig;
use ternpick_settings::{LoadedSettings, ReadError, Schema};
use ternpick_tenant_limits::{SharedLimitConfig, TenantConfig as TenantLimitConfig};

const SCHEMA: Schema = Schema::new(
    &[
        ("settings.cue", include_str!("settings.cue")),
        ("identity.cue", ternpick_identity::DEFINITIONS),
    ],
    "#Settings",
);

/// The most voting members that a fleet may have.
const MAX_VOTERS: usize = 9;

/// How lines of the log are written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum LogFormat {
    /// For people.
    Text,
    /// For machines: an object a line.
    Json,
}

/// The log.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct LogSettings {
    /// How lines are written.
    #[serde(rename = "form")]
    pub(crate) format: LogFormat,
    /// What is logged, in the syntax of `RUST_LOG`.
    pub(crate) level: String,
}

/// The TLS listener.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct TlsSettings {
    /// Address and port.
    pub(crate) listen: String,
    /// File of the certificate chain.
    pub(crate) certificate: String,
    /// File of the private key.
    pub(crate) key: String,
    /// File of the authorities that sign clients' certificates; without it none is asked for.
    pub(crate) authorities: Option<String>,
    /// Files of certificate revocation lists.
    #[serde(rename = "lists")]
    pub(crate) revocation_lists: Vec<String>,
    /// Whether a client without a certificate is rejected.
    #[serde(rename = "required")]
    pub(crate) client_certificate_required: bool,
    /// How often the files are checked for changes.
    #[serde(rename = "every")]
    pub(crate) check_interval: u64,
}

/// The control socket, and upgrades over it.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct ControlConfig {
    /// Path of the socket.
    pub(crate) socket: String,
    /// Whether upgrades are allowed.
    pub(crate) upgrade: bool,
    /// File that names the process that serves.
    pub(crate) pid_file: Option<String>,
    /// Whether a process that has handed over stays as the parent of the new one.
    #[serde(rename = "stays")]
    pub(crate) stays_as_parent: bool,
    /// How long the new process may take to start.
    #[serde(rename = "hello")]
    pub(crate) hello_timeout: u64,
    /// How long each step of an upgrade may take.
    #[serde(rename = "step")]
    pub(crate) step_timeout: u64,
    /// How long the new process may take to apply the snapshot.
    #[serde(rename = "ready")]
    pub(crate) ready_timeout: u64,
    /// How long the new process may be silent while the old one drains.
    #[serde(rename = "silence")]
    pub(crate) silence_timeout: u64,
}

/// A founding member of a fleet.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct MemberConfig {
    /// Address and port for other members.
    pub(crate) address: String,
    /// Its zone.
    pub(crate) zone: String,
    /// Whether it is a voter.
    #[serde(rename = "vote")]
    pub(crate) is_voter: bool,
}

/// The fleet that a router belongs to.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct FleetConfig {
    /// The fleet's name.
    pub(crate) name: String,
    /// The founding members, by name.
    pub(crate) members: BTreeMap<String, MemberConfig>,
    /// Where this router listens for other members, if not at its member's address.
    pub(crate) listen: Option<String>,
    /// Folder of the stored state.
    pub(crate) folder: String,
    /// How long a router may admit on its own, from when it asked for the lease.
    #[serde(rename = "lease")]
    pub(crate) lease_duration: u64,
    /// Interval between renewals of a lease.
    #[serde(rename = "renew")]
    pub(crate) renew_interval: u64,
    /// The largest difference between the rates of two clocks, in parts per million.
    pub(crate) drift_ppm: u64,
    /// How long queries wait while a change takes effect, before they are rejected; without it as long as their own
    /// deadlines allow.
    #[serde(rename = "hold")]
    pub(crate) max_admission_wait: Option<u64>,
    /// How long a change that takes effect waits for all routers to have stopped.
    #[serde(rename = "patience")]
    pub(crate) barrier_timeout: u64,
    /// What a router without a lease does: `refuse` or `serve-and-mark`.
    pub(crate) without_lease: String,
    /// Whether a change needs a second operator's confirmation.
    #[serde(rename = "confirm")]
    pub(crate) confirmation_required: bool,
    /// Election timeout; up to as much more is added at random.
    #[serde(rename = "election")]
    pub(crate) election_timeout: u64,
    /// Maintenance of machines; off without it.
    #[serde(rename = "works")]
    pub(crate) maintenance: Option<ternpick_maintenance::MaintenanceConfig>,
}

/// Why a settings file cannot be used.
#[derive(Debug, thiserror::Error)]
pub(crate) enum SettingsError {
    /// The file cannot be read, or does not meet the schema; each mistake is marked in the text.
    #[error("{0}")]
    Refused(#[from] ReadError),
    /// A value that the schema cannot rule out.
    #[error("{}: {source}", path.display())]
    Invalid {
        path: PathBuf,
        source: InvalidSettings,
    },
}

/// What is wrong with a value that meets the schema.
#[derive(Debug, thiserror::Error)]
pub(crate) enum InvalidSettings {
    /// A value under `identity` that is not of its type.
    #[error("{0}")]
    Type(#[from] serde_json::Error),
    /// Identity contradicts itself.
    #[error("identity: {0}")]
    Identity(String),
    /// The TLS listener's address.
    #[error("tls.listen is no address")]
    TlsListen,
    /// A member's address.
    #[error("fleet.members.{member}.address is no address and port")]
    MemberAddress { member: String },
    /// The fleet listener's address.
    #[error("fleet.listen is no address and port")]
    FleetListen,
    /// No voter, or too many.
    #[error("fleet.members: {found} vote, there have to be 1 to {MAX_VOTERS}, best 3, 5 or 7")]
    Voters { found: usize },
    /// Renewals too far apart.
    #[error("fleet.renew is over half of fleet.lease: a lease would end between two requests")]
    RenewInterval,
}

/// For callers whose errors are still text.
impl From<SettingsError> for String {
    fn from(error: SettingsError) -> Self {
        error.to_string()
    }
}

impl FleetConfig {
    /// Checks what the schema cannot express.
    fn check(&self) -> Result<(), InvalidSettings> {
        for (member, settings) in &self.members {
            if !is_address(&settings.address) {
                let member = member.clone();
                return Err(InvalidSettings::MemberAddress { member });
            }
        }
        if self
            .listen
            .as_deref()
            .is_some_and(|address| !is_address(address))
        {
            return Err(InvalidSettings::FleetListen);
        }
        let found = self
            .members
            .values()
            .filter(|member| member.is_voter)
            .count();
        if !(1..=MAX_VOTERS).contains(&found) {
            return Err(InvalidSettings::Voters { found });
        }
        if self.renew_interval * 2 > self.lease_duration {
            return Err(InvalidSettings::RenewInterval);
        }
        Ok(())
    }
}

fn is_address(text: &str) -> bool {
    text.parse::<SocketAddr>().is_ok()
}

/// The file as the schema has it.
#[derive(Debug, Deserialize)]
struct SettingsFile {
    log: LogSettings,
    control: Option<ControlConfig>,
    identity: Option<Value>,
    tls: Option<TlsSettings>,
    fleet: Option<FleetConfig>,
}

/// Identity's settings, and the limits of its tenants.
pub(crate) struct IdentitySettings {
    /// Who may do what.
    pub(crate) terms: IdentityConfig,
    /// Limits of tenants, by name.
    pub(crate) limits: Vec<(String, TenantLimitConfig)>,
    /// The limit on all tenants together.
    pub(crate) shared_limit: SharedLimitConfig,
}

/// All settings of a router.
pub(crate) struct Settings {
    /// The log.
    pub(crate) log: LogSettings,
    /// The control socket; off without it.
    pub(crate) control: Option<ControlConfig>,
    /// Identity and limits of tenants; off without it.
    pub(crate) identity: Option<IdentitySettings>,
    /// The TLS listener; off without it.
    pub(crate) tls: Option<TlsSettings>,
    /// The fleet; off without it.
    pub(crate) fleet: Option<FleetConfig>,
    /// Every value used, a line each with its origin.
    pub(crate) used: Vec<String>,
}

impl Default for Settings {
    fn default() -> Self {
        let log = LogSettings {
            format: LogFormat::Text,
            level: "info".into(),
        };
        Settings {
            log,
            control: None,
            identity: None,
            tls: None,
            fleet: None,
            used: Vec::new(),
        }
    }
}

impl Settings {
    /// Replaces `{name}` in paths by the router's name: several routers of one machine may share a file.
    pub(crate) fn for_router(mut self, name: &str) -> Settings {
        let expand = |path: &mut String| *path = path.replace("{name}", name);
        if let Some(control) = &mut self.control {
            expand(&mut control.socket);
            control.pid_file.iter_mut().for_each(expand);
        }
        if let Some(fleet) = &mut self.fleet {
            expand(&mut fleet.folder);
        }
        self
    }
}

/// The limits of a tenant, beside what identity reads of it.
#[derive(Deserialize)]
struct TenantLimits {
    limits: TenantLimitConfig,
}

fn identity(value: Value) -> Result<IdentitySettings, InvalidSettings> {
    let shared_limit = serde_json::from_value(value["whole"].clone())?;
    let mut limits = Vec::new();
    for (name, tenant) in value["tenants"].as_object().into_iter().flatten() {
        let tenant: TenantLimits = serde_json::from_value(tenant.clone())?;
        limits.push((name.clone(), tenant.limits));
    }
    let terms: IdentityConfig = serde_json::from_value(value)?;
    terms
        .check()
        .map_err(|error| InvalidSettings::Identity(error.to_string()))?;
    Ok(IdentitySettings {
        terms,
        limits,
        shared_limit,
    })
}

/// Reads a settings file. All that is wrong with it under the schema comes back at once, each mistake marked in the text.
pub(crate) fn read(path: &Path) -> Result<Settings, SettingsError> {
    let LoadedSettings { value: file, used } = SCHEMA.read_file::<SettingsFile>(path)?;
    let invalid = |source| SettingsError::Invalid {
        path: path.to_owned(),
        source,
    };
    let identity = file.identity.map(identity).transpose().map_err(invalid)?;
    if file
        .tls
        .as_ref()
        .is_some_and(|tls| !is_address(&tls.listen))
    {
        return Err(invalid(InvalidSettings::TlsListen));
    }
    if let Some(fleet) = &file.fleet {
        fleet.check().map_err(invalid)?;
    }
    Ok(Settings {
        log: file.log,
        control: file.control,
        identity,
        tls: file.tls,
        fleet: file.fleet,
        used: used.iter().map(ToString::to_string).collect(),
    })
}
