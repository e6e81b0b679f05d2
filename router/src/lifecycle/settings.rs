//! The router's settings file: typed records of a CUE file, in addition to the platform's configuration file. Without a
//! settings file, all features configured here are off.
//!
//! The file is read at the start, at each reload and by `ternpick check`. Durations are in microseconds.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use serde::Deserialize;
use serde_json::Value;
use ternpick::types::Micros;
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

/// The maximum number of voters of a fleet.
const MAX_VOTERS: usize = 9;

/// The format of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum LogFormat {
    /// Text for people.
    Text,
    /// JSON for programs: one object per line.
    Json,
}

/// The settings of the log.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct LogSettings {
    /// The format of log lines.
    #[serde(rename = "form")]
    pub(crate) format: LogFormat,
    /// The filter of log events, in the syntax of `RUST_LOG`.
    pub(crate) level: String,
}

/// The settings of the TLS listener.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct TlsSettings {
    /// The address and port of the listener.
    pub(crate) listen: String,
    /// The path of the certificate chain (PEM).
    pub(crate) certificate: String,
    /// The path of the private key (PEM).
    pub(crate) key: String,
    /// The path of the authorities that sign clients' certificates; without it, clients are not asked for certificates.
    pub(crate) authorities: Option<String>,
    /// The paths of certificate revocation lists.
    #[serde(rename = "lists")]
    pub(crate) revocation_lists: Vec<String>,
    /// Whether a client without a certificate is rejected.
    #[serde(rename = "required")]
    pub(crate) client_certificate_required: bool,
    /// How often the files are checked for changes.
    #[serde(rename = "every")]
    pub(crate) check_interval: u64,
}

/// The settings of the control socket, and of upgrades over it.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct ControlConfig {
    /// The path of the socket.
    pub(crate) socket: String,
    /// Whether upgrades are allowed.
    pub(crate) upgrade: bool,
    /// The path of the file that contains the id of the serving process.
    pub(crate) pid_file: Option<String>,
    /// Whether the old process of an upgrade stays as the parent of the new one.
    #[serde(rename = "stays")]
    pub(crate) stays_as_parent: bool,
    /// The timeout for the start of the new process, up to its first message.
    #[serde(rename = "hello")]
    pub(crate) hello_timeout: u64,
    /// The timeout of each step of an upgrade.
    #[serde(rename = "step")]
    pub(crate) step_timeout: u64,
    /// The timeout for applying the snapshot in the new process.
    #[serde(rename = "ready")]
    pub(crate) ready_timeout: u64,
    /// How long the new process may send nothing while the old one drains.
    #[serde(rename = "silence")]
    pub(crate) silence_timeout: u64,
}

/// A founding member of a fleet.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct MemberConfig {
    /// The address and port at which other members reach it.
    pub(crate) address: String,
    /// The zone of the member.
    pub(crate) zone: String,
    /// Whether the member is a voter.
    #[serde(rename = "vote")]
    pub(crate) is_voter: bool,
}

/// The settings of the fleet that a router belongs to.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct FleetConfig {
    /// The fleet's name.
    pub(crate) name: String,
    /// The founding members, by name.
    pub(crate) members: BTreeMap<String, MemberConfig>,
    /// The address at which this router listens for other members, if it differs from the member's address.
    pub(crate) listen: Option<String>,
    /// The folder of the stored state.
    pub(crate) folder: String,
    /// The duration of a lease, from when the router requested it.
    #[serde(rename = "lease")]
    pub(crate) lease_duration: u64,
    /// The interval between renewals of a lease.
    #[serde(rename = "renew")]
    pub(crate) renew_interval: u64,
    /// The largest difference between the rates of two clocks, in parts per million.
    pub(crate) drift_ppm: u64,
    /// How long queries wait for admission while a change takes effect before they are rejected. Without it they wait
    /// as long as their deadlines allow.
    #[serde(rename = "hold")]
    pub(crate) max_admission_wait: Option<u64>,
    /// How long a change that takes effect waits until all routers have stopped admitting under the old version.
    #[serde(rename = "patience")]
    pub(crate) barrier_timeout: u64,
    /// What a router without a lease does: `refuse` or `serve-and-mark`.
    pub(crate) without_lease: String,
    /// Whether a change needs the confirmation of a second operator.
    #[serde(rename = "confirm")]
    pub(crate) confirmation_required: bool,
    /// The election timeout. A random duration of up to the same length is added.
    #[serde(rename = "election")]
    pub(crate) election_timeout: u64,
    /// The settings of maintenance; it is off without them.
    #[serde(rename = "works")]
    pub(crate) maintenance: Option<ternpick_maintenance::MaintenanceConfig>,
}

/// Why a settings file cannot be used.
#[derive(Debug, thiserror::Error)]
pub(crate) enum SettingsError {
    /// The file cannot be read or does not match the schema. The message marks each mistake in the file's text.
    #[error("{0}")]
    Refused(#[from] ReadError),
    /// A value matches the schema but is not valid.
    #[error("{}: {source}", path.display())]
    Invalid {
        path: PathBuf,
        source: InvalidSettings,
    },
}

/// Why a value that matches the schema is not valid.
#[derive(Debug, thiserror::Error)]
pub(crate) enum InvalidSettings {
    /// A value under `identity` has the wrong type.
    #[error("{0}")]
    Type(#[from] serde_json::Error),
    /// The identity settings contradict each other.
    #[error("identity: {0}")]
    Identity(String),
    /// The TLS listener's address is not valid.
    #[error("tls.listen must be an address and port, found {found:?}")]
    TlsListen { found: String },
    /// A member's address is not valid.
    #[error("fleet.members.{member}.address must be an address and port, found {found:?}")]
    MemberAddress { member: String, found: String },
    /// The fleet listener's address is not valid.
    #[error("fleet.listen must be an address and port, found {found:?}")]
    FleetListen { found: String },
    /// The number of voters is zero or too large.
    #[error("fleet.members has {found} voters, expected 1 to {MAX_VOTERS}, preferably 3, 5 or 7")]
    Voters { found: usize },
    /// The renewals of the lease are too far apart.
    #[error(
        "fleet.renew is {} ms, more than half of fleet.lease, {} ms: a lease would end between two requests",
        renew.0 / 1000,
        lease.0 / 1000
    )]
    RenewInterval { renew: Micros, lease: Micros },
}

/// For callers whose errors are strings.
impl From<SettingsError> for String {
    fn from(error: SettingsError) -> Self {
        error.to_string()
    }
}

impl FleetConfig {
    /// Checks the rules that the schema cannot express.
    fn check(&self) -> Result<(), InvalidSettings> {
        for (member, settings) in &self.members {
            if !is_address(&settings.address) {
                let member = member.clone();
                let found = settings.address.clone();
                return Err(InvalidSettings::MemberAddress { member, found });
            }
        }
        if let Some(found) = self.listen.clone().filter(|address| !is_address(address)) {
            return Err(InvalidSettings::FleetListen { found });
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
            return Err(InvalidSettings::RenewInterval {
                renew: Micros(self.renew_interval),
                lease: Micros(self.lease_duration),
            });
        }
        Ok(())
    }
}

fn is_address(text: &str) -> bool {
    text.parse::<SocketAddr>().is_ok()
}

/// The settings file, with the keys of the schema.
#[derive(Debug, Deserialize)]
struct SettingsFile {
    log: LogSettings,
    control: Option<ControlConfig>,
    identity: Option<Value>,
    tls: Option<TlsSettings>,
    fleet: Option<FleetConfig>,
}

/// The identity settings, and the limits of the tenants.
pub(crate) struct IdentitySettings {
    /// The settings that the identity module itself reads.
    pub(crate) terms: IdentityConfig,
    /// The limits of each tenant, with the tenant's name.
    pub(crate) limits: Vec<(String, TenantLimitConfig)>,
    /// The limit shared by all tenants.
    pub(crate) shared_limit: SharedLimitConfig,
}

/// All settings of a router.
pub(crate) struct Settings {
    /// The settings of the log.
    pub(crate) log: LogSettings,
    /// The control socket; off without it.
    pub(crate) control: Option<ControlConfig>,
    /// Identity and limits of tenants; off without it.
    pub(crate) identity: Option<IdentitySettings>,
    /// The TLS listener; off without it.
    pub(crate) tls: Option<TlsSettings>,
    /// The fleet; off without it.
    pub(crate) fleet: Option<FleetConfig>,
    /// Every value in use: one line each, with the value's origin.
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
    /// Replaces `{name}` in paths by the router's name, so that several routers of a machine can share a settings file.
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

/// The limits in a tenant's record. The identity module reads the record's other fields.
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

/// Reads a settings file. The error reports all mistakes against the schema at once and marks each in the file's text.
pub(crate) fn read(path: &Path) -> Result<Settings, SettingsError> {
    let LoadedSettings { value: file, used } = SCHEMA.read_file::<SettingsFile>(path)?;
    let invalid = |source| SettingsError::Invalid {
        path: path.to_owned(),
        source,
    };
    let identity = file.identity.map(identity).transpose().map_err(invalid)?;
    if let Some(tls) = &file.tls {
        if !is_address(&tls.listen) {
            let found = tls.listen.clone();
            return Err(invalid(InvalidSettings::TlsListen { found }));
        }
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
