//! The router's own settings: typed records in a file beside what the platform hands over. None of it is on without.

use std::collections::BTreeMap;
use std::path::Path;

use serde::Deserialize;
use serde_json::Value;
use ternpick_identity::Terms;
use ternpick_settings::{Read, Schema};
use ternpick_tenant_limits::{Terms as LimitTerms, Whole};

const SCHEMA: Schema = Schema::new(
    &[
        ("settings.cue", include_str!("settings.cue")),
        ("identity.cue", ternpick_identity::DEFINITIONS),
    ],
    "#Settings",
);

#[derive(Clone, Debug, Deserialize)]
pub struct Log {
    pub form: String,
    pub level: String,
}

#[derive(Clone, Debug, Deserialize)]
pub struct TlsTerms {
    pub listen: String,
    pub certificate: String,
    pub key: String,
    pub authorities: Option<String>,
    pub lists: Vec<String>,
    pub required: bool,
    pub every: u64,
}

#[derive(Clone, Debug, Deserialize)]
pub struct ControlTerms {
    pub socket: String,
    pub upgrade: bool,
    pub pid_file: Option<String>,
    pub stays: bool,
    pub hello: u64,
    pub step: u64,
    pub ready: u64,
    pub silence: u64,
}

#[derive(Clone, Debug, Deserialize)]
pub struct MemberTerms {
    pub address: String,
    pub zone: String,
    pub vote: bool,
}

#[derive(Clone, Debug, Deserialize)]
pub struct FleetTerms {
    pub name: String,
    pub members: BTreeMap<String, MemberTerms>,
    pub listen: Option<String>,
    pub folder: String,
    pub lease: u64,
    pub renew: u64,
    pub drift_ppm: u64,
    pub hold: u64,
    pub patience: u64,
    pub without_lease: String,
    pub confirm: bool,
    pub election: u64,
    pub works: Option<ternpick_maintenance::MaintenanceConfig>,
}

impl FleetTerms {
    /// What the types do not say.
    fn check(&self) -> Result<(), String> {
        for (name, member) in &self.members {
            let address = member.address.parse::<std::net::SocketAddr>();
            address.map_err(|_| format!("fleet.members.{name}.address is no address and port"))?;
        }
        if self
            .listen
            .as_ref()
            .is_some_and(|of| of.parse::<std::net::SocketAddr>().is_err())
        {
            return Err("fleet.listen is no address and port".into());
        }
        let votes = self.members.values().filter(|member| member.vote).count();
        if votes == 0 || votes > 9 {
            return Err(format!(
                "fleet.members: {votes} vote, there have to be 1 to 9, best 3, 5 or 7"
            ));
        }
        if self.renew * 2 > self.lease {
            return Err(
                "fleet.renew is over half of fleet.lease: a lease would end between two requests"
                    .into(),
            );
        }
        Ok(())
    }
}

#[derive(Debug, Deserialize)]
struct Form {
    log: Log,
    control: Option<ControlTerms>,
    identity: Option<Value>,
    tls: Option<TlsTerms>,
    fleet: Option<FleetTerms>,
}

/// Identity's terms, and the limits of its tenants by name.
pub struct IdentityTerms {
    pub terms: Terms,
    pub limits: Vec<(String, LimitTerms)>,
    pub whole: Whole,
}

pub struct Settings {
    pub log: Log,
    pub control: Option<ControlTerms>,
    pub identity: Option<IdentityTerms>,
    pub tls: Option<TlsTerms>,
    pub fleet: Option<FleetTerms>,
    /// Every value used, a line each with its origin.
    pub used: Vec<String>,
}

impl Default for Settings {
    fn default() -> Self {
        let log = Log {
            form: "text".into(),
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

#[derive(Deserialize)]
struct TenantForm {
    limits: LimitTerms,
}

fn identity(value: Value) -> Result<IdentityTerms, String> {
    let words = |error: serde_json::Error| error.to_string();
    let whole = serde_json::from_value(value["whole"].clone()).map_err(words)?;
    let mut limits = Vec::new();
    for (name, tenant) in value["tenants"].as_object().into_iter().flatten() {
        let tenant: TenantForm = serde_json::from_value(tenant.clone()).map_err(words)?;
        limits.push((name.clone(), tenant.limits));
    }
    let terms: Terms = serde_json::from_value(value).map_err(words)?;
    terms
        .check()
        .map_err(|fault| format!("identity: {fault}"))?;
    Ok(IdentityTerms {
        terms,
        limits,
        whole,
    })
}

impl Settings {
    /// Paths that several routers of one machine may share a file for: `{name}` is this router's.
    pub fn for_router(mut self, name: &str) -> Settings {
        let own = |path: &mut String| *path = path.replace("{name}", name);
        if let Some(control) = &mut self.control {
            own(&mut control.socket);
            control.pid_file.iter_mut().for_each(own);
        }
        if let Some(fleet) = &mut self.fleet {
            own(&mut fleet.folder);
        }
        self
    }
}

/// Reads a settings file; all that is wrong with it comes back, each mistake marked in the text.
pub fn read(path: &Path) -> Result<Settings, String> {
    let Read { value: form, used } = SCHEMA
        .read_file::<Form>(path)
        .map_err(|refused| refused.to_string())?;
    let named = |what: String| format!("{}: {what}", path.display());
    let identity = form.identity.map(identity).transpose().map_err(named)?;
    if let Some(tls) = &form.tls {
        tls.listen
            .parse::<std::net::SocketAddr>()
            .map_err(|_| named("tls.listen is no address".into()))?;
    }
    if let Some(fleet) = &form.fleet {
        fleet.check().map_err(named)?;
    }
    let used = used.iter().map(ToString::to_string).collect();
    Ok(Settings {
        log: form.log,
        control: form.control,
        identity,
        tls: form.tls,
        fleet: form.fleet,
        used,
    })
}
