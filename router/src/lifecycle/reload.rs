//! Reload: on SIGHUP the router reads its files again. It applies discovery's address from the configuration file, and
//! identity's rights, tenants and limits from the settings file. All other values apply at the next start.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use serde_json::Value;
use ternpick_tenant_limits::Limits;

use crate::lifecycle::config::{self, RouterConfig, FIXED_FIELDS};
use crate::lifecycle::settings::{self, SettingsError};
use crate::router::Router;
use crate::stages::auth_filter::AuthFilter;

/// The files that a router was started with, and the configuration values that a reload cannot change.
pub(crate) struct StartupFiles {
    /// The configuration file.
    pub(crate) config: PathBuf,
    /// The settings file, if there is one.
    pub(crate) settings: Option<PathBuf>,
    /// The configuration's values that need a restart, in the order of [`FIXED_FIELDS`].
    pub(crate) fixed: [Value; FIXED_FIELDS.len()],
}

/// Why a reload does not apply identity's settings.
#[derive(Debug, thiserror::Error)]
enum ReloadError {
    #[error("{0}")]
    Settings(#[from] SettingsError),
    #[error("the settings file no longer has identity")]
    IdentityRemoved,
    /// The identity module rejects the settings.
    #[error("{0}")]
    Rejected(String),
}

impl StartupFiles {
    /// Reads the files again and applies them. A file that is not valid changes nothing.
    pub(crate) fn reload(&self, router: &Router) {
        let config = match config::read(&self.config) {
            Ok(config) => config,
            Err(error) => {
                tracing::warn!(%error, "reload: configuration unusable, keeping the running one");
                return;
            }
        };
        for field in self.changed(&config) {
            tracing::warn!(
                field,
                "reload: field cannot change while running, keeping its value"
            );
        }
        move_discovery(router, config.discovery);
        self.reload_identity(router);
    }

    /// Applies rights, tenants and limits. Changes of the key sources and of TLS need a restart.
    fn reload_identity(&self, router: &Router) {
        let (Some(path), Some(auth)) = (&self.settings, &router.auth) else {
            return;
        };
        let mut decisions = router.decisions.borrow_mut();
        match apply_identity(path, auth, decisions.effects.limits.as_mut()) {
            Ok(()) => tracing::info!("reload: identity settings applied"),
            Err(error) => {
                tracing::warn!(%error, "reload: identity settings unusable, keeping the running ones");
            }
        }
    }

    /// Returns the names of the fields that need a restart and differ in `config`.
    fn changed(&self, config: &RouterConfig) -> Vec<&'static str> {
        let pairs = self.fixed.iter().zip(&config.fixed);
        FIXED_FIELDS
            .into_iter()
            .zip(pairs)
            .filter(|(_, (old, new))| old != new)
            .map(|(name, _)| name)
            .collect()
    }
}

fn apply_identity(
    path: &Path,
    auth: &AuthFilter,
    limits: Option<&mut Limits>,
) -> Result<(), ReloadError> {
    let identity = settings::read(path)?
        .identity
        .ok_or(ReloadError::IdentityRemoved)?;
    let Some(limits) = limits else {
        return Ok(());
    };
    auth.update_settings(identity, limits)
        .map_err(|error| ReloadError::Rejected(error.to_string()))
}

fn move_discovery(router: &Router, discovery: SocketAddr) {
    let previous = router.discovery.move_to(discovery);
    if previous == discovery {
        tracing::info!(%discovery, "reload: done");
    } else {
        tracing::info!(%discovery, %previous, "reload: done, discovery has moved");
    }
}

#[cfg(test)]
mod tests;
